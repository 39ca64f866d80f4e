// Package soak holds a randomized soak test of the gateway. It runs gateway
// processes on loopback against stand-ins of the store and the upstreams, and
// injects overlapping series of faults from outside the processes. During a run it
// records what callers and upstreams observe; after the run it checks the
// guarantees of the system against these records. In odd seeds the store also comes
// back from backups, without what it had acknowledged since.
//
// Run it with `make soak SEED=1 TIME=5m`. The test doesn't change clocks: the
// gateway decides nothing by the time of day, and suspending a process tests the
// use of the boot clock. Traffic between nodes doesn't pass a proxy; nodes are
// suspended and killed instead.
//
// A seed determines the size of the system and the series of faults, but not the
// scheduling of the processes, so two runs of a seed differ. Sleeps only set the
// lengths of faults and pauses; no check depends on a sleep. Every check must hold
// under any timing, so a violation that appears in a single run is a real one.
package soak
