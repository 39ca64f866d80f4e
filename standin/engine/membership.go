package engine

import (
	"context"
	"slices"

	"github.com/tamarackcleat/tamarackcleat/port"
)

// maxHeldWeights is the number of models whose weights fit on a VM.
const maxHeldWeights = 2

// membership is the VM's state as a member of a replica. Service.mu guards it.
type membership struct {
	state      port.EngineState
	replica    string
	generation int64
	model      string
	rank       int
	members    []string
	// highestGeneration is the highest generation of any order that the VM
	// accepted.
	highestGeneration int64
	// heldWeights names the models whose weights are on the VM, the most
	// recently loaded first.
	heldWeights []string
	// stopping says that the VM itself shuts down. draining says that it takes
	// no new requests and becomes idle once its streams have ended, because of
	// an order to leave or because another member of the replica shuts down.
	stopping bool
	draining bool
	// cancel ends the loading of weights and the checks of members.
	cancel context.CancelFunc
}

func newMembership() membership {
	return membership{state: port.EngineIdle, cancel: func() {}}
}

// report returns a report with the fields that follow from the membership.
func (m *membership) report() port.Report {
	state := m.state
	if m.stopping || m.draining {
		state = port.EngineLeaving
	}
	return port.Report{
		State:       state,
		Replica:     m.replica,
		Generation:  m.generation,
		Rank:        m.rank,
		Model:       m.model,
		HeldWeights: slices.Clone(m.heldWeights),
	}
}

// refusal returns the reason to refuse a request for a replica of a generation.
// It is empty if the VM is the replica's rank 0 and takes requests.
func (m *membership) refusal(replica string, generation int64) string {
	switch {
	case m.stopping || m.draining:
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

// isIn reports whether the VM is a member of the replica of that generation.
func (m *membership) isIn(replica string, generation int64) bool {
	return m.state != port.EngineIdle && m.replica == replica && m.generation == generation
}

// join makes the VM a member of the order's replica, in the state of loading
// weights. cancel ends the background work of the new membership.
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

// setReady makes the VM a ready member and its model the most recently loaded
// one. If the VM then has the weights of more than maxHeldWeights models, those of
// the least recently loaded model are removed.
func (m *membership) setReady() {
	m.state = port.EngineReady
	m.heldWeights = slices.DeleteFunc(m.heldWeights, func(name string) bool { return name == m.model })
	m.heldWeights = slices.Insert(m.heldWeights, 0, m.model)
	m.heldWeights = m.heldWeights[:min(len(m.heldWeights), maxHeldWeights)]
}

// becomeIdle takes the VM out of its replica. Only heldWeights, highestGeneration
// and stopping keep their values.
func (m *membership) becomeIdle() {
	m.cancel()
	*m = membership{
		state:             port.EngineIdle,
		highestGeneration: m.highestGeneration,
		heldWeights:       m.heldWeights,
		stopping:          m.stopping,
		cancel:            func() {},
	}
}
