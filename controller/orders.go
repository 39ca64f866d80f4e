package controller

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/health"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/ledger"
	"github.com/tamarackcleat/tamarackcleat/placement"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
)

const (
	// resendAfter is the time from the result of an order until the same order
	// is sent again if the VM's reports do not show its effect.
	resendAfter = 2 * time.Second
	// maxOrdersInFlight is the number of orders that a node may have in flight.
	maxOrdersInFlight = 64
)

// orderState is what this node remembers of the orders that it sent and of the
// generations that it saw.
type orderState struct {
	// last holds the last order to each VM.
	last map[port.VMID]*sentOrder
	// inFlight counts the orders that have no result yet.
	inFlight int
	// generationSeenAt holds the time at which this node first planned with
	// a replica of each generation.
	generationSeenAt map[record.Position]time.Time
}

// sentOrder is the last order to a VM.
type sentOrder struct {
	verb       port.OrderVerb
	generation int64
	// updatedAt is the time at which the order was sent or, once it has a
	// result, the time of the result.
	updatedAt time.Time
	inFlight  bool
}

// formedAt returns the time at which this node first planned with a replica of
// generation g. The first call for a generation records the time.
func (o *orderState) formedAt(g record.Position, now time.Time) time.Time {
	if o.generationSeenAt == nil {
		o.generationSeenAt = map[record.Position]time.Time{}
	}
	at, ok := o.generationSeenAt[g]
	if !ok {
		at = now
		o.generationSeenAt[g] = now
	}
	return at
}

// sendDueOrders returns the effects that send orders to the live VMs whose
// reports differ from the ledger.
func (s *Service) sendDueOrders(now time.Time) []kernel.Effect {
	withRank0 := s.replicasWithRank0(now)
	var out []kernel.Effect
	for _, o := range s.fleet.vms {
		if s.fleet.liveness(o, now) != placement.Live {
			continue
		}
		order, due := s.dueOrder(o, withRank0)
		if due && s.maySend(now, o, order) {
			out = append(out, s.sendOrder(now, o, order))
		}
	}
	s.pruneOrders()
	return out
}

// replicaKey identifies one generation of a replica in the VMs' reports.
type replicaKey struct {
	replica    string
	generation int64
}

// replicasWithRank0 returns the replicas whose rank 0, by its latest report, is
// still a member, unless that VM is lost. While this holds for a replica that
// the ledger has dissolved, rank 0 may have streams to finish.
func (s *Service) replicasWithRank0(now time.Time) map[replicaKey]bool {
	keys := map[replicaKey]bool{}
	for _, o := range s.fleet.vms {
		r := o.Report
		lost := s.fleet.liveness(o, now) == placement.Lost
		if r.Replica != "" && r.Rank == 0 && r.State != port.EngineIdle && !lost {
			keys[replicaKey{r.Replica, r.Generation}] = true
		}
	}
	return keys
}

// dueOrder returns the order that brings a VM in line with the ledger, and false
// if there is none to send.
func (s *Service) dueOrder(o health.Observation, withRank0 map[replicaKey]bool) (port.Order, bool) {
	if name, owned := s.Control.ReplicaOf(o.VM.ID); owned {
		r, _ := s.Control.Replica(name)
		return s.joinOrder(o, r)
	}
	return leaveOrder(o.Report, withRank0)
}

// joinOrder returns the order for a VM to join the replica that it belongs to
// by the ledger. It returns false if the VM has joined already, if the
// replica's dissolution is pending or if the address of a member is not known.
// It also returns false if the VM has lost its membership of this generation,
// because the planner dissolves such a replica.
func (s *Service) joinOrder(o health.Observation, r ledger.Replica) (port.Order, bool) {
	if inReplica(o.Report, r) || s.fleet.restarted[o.VM.ID] == r.Generation {
		return port.Order{}, false
	}
	members, ok := s.fleet.addresses(r.VMs)
	if !ok || s.pending.dissolving(r.Name, r.Generation) {
		return port.Order{}, false
	}
	return port.Order{
		Verb:       port.OrderJoin,
		Replica:    r.Name,
		Generation: int64(r.Generation),
		Model:      r.Model,
		Rank:       rankOf(r, o.VM.ID),
		Members:    members,
	}, true
}

// rankOf returns a VM's rank in a replica, -1 if it is not a member.
func rankOf(r ledger.Replica, id port.VMID) int {
	for i, vm := range r.VMs {
		if vm == id {
			return i
		}
	}
	return -1
}

// leaveOrder returns the order to leave the replica named in the report of a VM
// that belongs to no replica by the ledger, and false if the report names none.
// Rank 0 serves the response streams, so a member of another rank is not
// ordered to leave until rank 0 has left or is lost.
func leaveOrder(r port.Report, withRank0 map[replicaKey]bool) (port.Order, bool) {
	member := r.Replica != "" && r.State != port.EngineIdle
	if !member || (r.Rank != 0 && withRank0[replicaKey{r.Replica, r.Generation}]) {
		return port.Order{}, false
	}
	return port.Order{
		Verb:       port.OrderLeave,
		Replica:    r.Replica,
		Generation: r.Generation,
		Rank:       r.Rank,
	}, true
}

// maySend reports whether an order may be sent to a VM now. An order is held
// back until leaseState.unfencedFrom if the VM does not check fencing numbers,
// while maxOrdersInFlight orders or an order to the same VM are in flight, and
// for resendAfter after the result of the same order.
func (s *Service) maySend(now time.Time, o health.Observation, order port.Order) bool {
	if !o.VM.ChecksFencing && now.Before(s.lease.unfencedFrom) {
		s.count("order.held.former_lease")
		return false
	}
	if s.orders.inFlight >= maxOrdersInFlight {
		s.count("order.held.in_flight")
		return false
	}
	last, ok := s.orders.last[o.VM.ID]
	if !ok {
		return true
	}
	if last.inFlight {
		return false
	}
	same := last.verb == order.Verb && last.generation == order.Generation
	return !same || now.Sub(last.updatedAt) >= resendAfter
}

// sendOrder records an order as in flight and returns the effect that sends it.
func (s *Service) sendOrder(now time.Time, o health.Observation, order port.Order) kernel.Effect {
	s.count("order." + string(order.Verb))
	s.orders.last[o.VM.ID] = &sentOrder{
		verb: order.Verb, generation: order.Generation, updatedAt: now, inFlight: true,
	}
	s.orders.inFlight++
	return SendOrder{VM: o.VM.ID, Address: o.VM.Address, Order: order, NotAfter: s.lease.validUntil}
}

// orderDone handles the result of an order.
func (s *Service) orderDone(now time.Time, m OrderDone) {
	last, ok := s.orders.last[m.VM]
	if !ok || !last.inFlight {
		return
	}
	last.inFlight = false
	last.updatedAt = now
	s.orders.inFlight--
	switch {
	case m.Err == nil:
	case errors.Is(m.Err, ErrStaleFencing):
		s.count("order.refused.stale_fencing_number")
	default:
		s.count("order.failed")
	}
}

// pruneOrders drops the state of generations that the ledger has dissolved and
// of VMs that are not listed any more and have no order in flight.
func (s *Service) pruneOrders() {
	live := map[record.Position]bool{}
	for _, r := range s.Control.Replicas() {
		live[r.Generation] = true
	}
	for g := range s.orders.generationSeenAt {
		if !live[g] {
			delete(s.orders.generationSeenAt, g)
		}
	}
	for id, o := range s.orders.last {
		if _, listed := s.fleet.firstSeen[id]; !listed && !o.inFlight {
			delete(s.orders.last, id)
		}
	}
}
