package engine

import (
	"context"
	"slices"

	"github.com/tamarackcleat/tamarackcleat/port"
)

// maxHeldWeights is the number of models whose weights a VM holds.
const maxHeldWeights = 2

// membership is what the VM knows of its replica. The service's mutex guards
// it.
type membership struct {
	state      port.EngineState
	replica    string
	generation int64
	model      string
	rank       int
	members    []string
	// highest is the highest generation of any order.
	highest int64
	// held names the models whose weights are on the VM, the newest first.
	held []string
	// leaving says that the VM itself is going away, draining that it
	// finishes its streams before it leaves the replica or that another
	// member is going away.
	leaving  bool
	draining bool
	// cancel ends the background work of the membership.
	cancel context.CancelFunc
}

func newMembership() membership {
	return membership{state: port.EngineIdle, cancel: func() {}}
}

// report returns the part of a report that the membership decides.
func (m *membership) report() port.Report {
	state := m.state
	if m.leaving || m.draining {
		state = port.EngineLeaving
	}
	return port.Report{
		State:       state,
		Replica:     m.replica,
		Generation:  m.generation,
		Rank:        m.rank,
		Model:       m.model,
		HeldWeights: slices.Clone(m.held),
	}
}

// refusal returns why a request for a replica is not run; it is empty if the
// request may run.
func (m *membership) refusal(replica string, generation int64) string {
	switch {
	case m.leaving || m.draining:
		return refusedLeaving
	case m.state == port.EngineIdle:
		return refusedNotReady
	case m.replica != replica || m.generation != generation:
		return refusedGeneration
	case m.state != port.EngineReady || m.rank != 0:
		return refusedNotReady
	}
	return ""
}

// is reports whether the VM is in a replica of a generation.
func (m *membership) is(replica string, generation int64) bool {
	return m.state != port.EngineIdle && m.replica == replica && m.generation == generation
}

// join makes the VM a loading member of the order's replica.
func (m *membership) join(o port.Order, cancel context.CancelFunc) {
	m.cancel()
	m.cancel = cancel
	m.state = port.EngineLoading
	m.replica = o.Replica
	m.generation = o.Generation
	m.model = o.Model
	m.rank = o.Rank
	m.members = slices.Clone(o.Members)
	m.draining = false
}

// loaded makes the VM a working member.
func (m *membership) loaded() {
	m.state = port.EngineReady
	m.held = slices.DeleteFunc(m.held, func(name string) bool { return name == m.model })
	m.held = slices.Insert(m.held, 0, m.model)
	m.held = m.held[:min(len(m.held), maxHeldWeights)]
}

// free takes the VM out of its replica. It keeps its weights and the highest
// generation.
func (m *membership) free() {
	m.cancel()
	*m = membership{
		state:   port.EngineIdle,
		highest: m.highest,
		held:    m.held,
		leaving: m.leaving,
		cancel:  func() {},
	}
}
