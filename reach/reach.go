// Package reach tells a node that can't connect to any upstream from one that lost some of
// them.
//
// Failures at different upstreams, without a sign of life from any, only raise the suspicion.
// The node then tries to connect to a few upstreams, and is unreachable only if none accepts:
// neither the loss of some upstreams nor the silence of a sound one suffices.
//
// The package reads no clock and opens no connections; callers pass times of the boot clock.
// A Monitor is not safe for concurrent use.
package reach

import "time"

const (
	// minFailed is the number of upstreams at which something must have failed before the
	// node checks its connections.
	minFailed = 2
	// backConnections is the number of connections that upstreams must have accepted, in one
	// check or in several without a fruitless one between them, until the node is reachable
	// again.
	backConnections = 2
	// checkPause is the least time between two checks.
	checkPause = 500 * time.Millisecond
	// CheckTargets is the number of upstreams that a check connects to.
	CheckTargets = 4
)

// Kind is what failed at an upstream.
type Kind int

// Kinds of failures. NoConnection: no connection could be opened. NoAnswer: an upstream
// with requests sends nothing, or a connection to it broke.
const (
	NoConnection Kind = iota
	NoAnswer
)

// State is what a node knows of its connections to upstreams.
type State int

// States of a node.
const (
	// Reachable: nothing speaks against it.
	Reachable State = iota
	// Doubtful: a check is under way.
	Doubtful
	// Unreachable: no upstream accepts connections of the node.
	Unreachable
)

// Monitor draws the conclusions. The zero value is that of a reachable node.
type Monitor struct {
	state State
	// silent holds the upstreams at which something failed since the last sign of life of
	// any upstream; unconnected those that refused a connection since the last one that
	// was opened.
	silent, unconnected map[string]struct{}
	// since is when the first failure in either was recorded.
	since time.Duration
	// lively says that an upstream has sent something since then.
	lively bool
	// checkedAt is when the last check began; checked says that there was one.
	checkedAt time.Duration
	checked   bool
	// accepted counts the connections that upstreams accepted since the last fruitless check
	// of an unreachable node.
	accepted int
}

// State returns the state of the node.
func (m *Monitor) State() State { return m.state }

// Watching reports whether signs of life matter to the state.
func (m *Monitor) Watching() bool {
	return m.state != Reachable || len(m.silent) > 0 || len(m.unconnected) > 0
}

// Since returns when the first failure was recorded that led to the state.
func (m *Monitor) Since() time.Duration { return m.since }

// Lively reports whether an upstream has sent something since the first failure, so that
// the connections that are open still work.
func (m *Monitor) Lively() bool { return m.lively }

// Failed records a failure at one of known upstreams. It reports whether a check is to
// begin.
func (m *Monitor) Failed(now time.Duration, upstream string, kind Kind, known int) bool {
	if !m.Watching() {
		m.since, m.lively = now, false
		m.silent, m.unconnected = map[string]struct{}{}, map[string]struct{}{}
	}
	m.silent[upstream] = struct{}{}
	if kind == NoConnection {
		m.unconnected[upstream] = struct{}{}
	}
	enough := min(minFailed, known)
	if len(m.silent) < enough && len(m.unconnected) < enough {
		return false
	}
	if m.state == Unreachable && len(m.silent) >= enough {
		m.lively = false
	}
	if m.state != Reachable || m.checked && now-m.checkedAt < checkPause {
		return false
	}
	m.state = Doubtful
	m.checkedAt, m.checked = now, true
	return true
}

// Alive records that an upstream has sent something on a connection of the node.
func (m *Monitor) Alive() {
	m.lively = true
	clear(m.silent)
}

// Connected records that an upstream has accepted a connection of the node.
func (m *Monitor) Connected() {
	m.Alive()
	clear(m.unconnected)
}

// Due reports whether an unreachable node is to check its connections again, and counts
// that check as begun.
func (m *Monitor) Due(now time.Duration) bool {
	if m.state != Unreachable || now-m.checkedAt < checkPause {
		return false
	}
	m.checkedAt = now
	return true
}

// Checked records that of tried upstreams some accepted a connection. It reports whether
// the node became unreachable or is so no longer.
func (m *Monitor) Checked(tried, accepted int) bool {
	before := m.state
	m.accepted += accepted
	if accepted == 0 {
		m.accepted = 0
	}
	switch {
	case before == Unreachable && m.accepted >= min(backConnections, max(1, tried)), before == Doubtful && (accepted > 0 || tried == 0):
		m.state = Reachable
		clear(m.silent)
		clear(m.unconnected)
	case before == Doubtful:
		m.state = Unreachable
	}
	return (before == Unreachable) != (m.state == Unreachable)
}
