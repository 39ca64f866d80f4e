// Package soak holds a randomized soak of the gateway: real processes on
// loopback before stand-ins of the store and the upstreams, with faults from
// outside in series that overlap. While it runs it notes what callers and
// upstreams see, and at the end it checks the system's promises against that.
//
// Run it with `make soak SEED=1 TIME=5m`. Clocks are not tampered with: the
// gateway decides nothing by the time of day, and suspending a process is the
// fault that its boot clock is for. Traffic between nodes is not proxied; nodes
// are suspended and killed instead.
//
// A seed fixes the size of the system and the series of faults, not the moments at
// which processes act, so two plays of a seed differ. Sleeps are the lengths of
// faults and pauses; no check waits by one. What is checked must hold whatever the
// timing, so a finding that shows once is one.
package soak
