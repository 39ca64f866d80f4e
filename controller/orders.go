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
	// reorderAfter is how long an accepted order has to show in reports
	// before it is sent again.
	reorderAfter = 2 * time.Second
	// maxOrdersInFlight bounds the order requests of a node.
	maxOrdersInFlight = 64
)

// orderState holds the orders of this node.
type orderState struct {
	sent     map[port.VMID]*sentOrder
	inFlight int
	// formed holds when this node first saw a generation.
	formed map[record.Position]time.Time
}

// sentOrder is the last order to a VM.
type sentOrder struct {
	verb       port.OrderVerb
	generation int64
	at         time.Time
	inFlight   bool
}

// formedAt returns when this node first saw a generation.
func (o *orderState) formedAt(g record.Position, now time.Time) time.Time {
	if o.formed == nil {
		o.formed = map[record.Position]time.Time{}
	}
	at, ok := o.formed[g]
	if !ok {
		at = now
		o.formed[g] = now
	}
	return at
}

// order sends orders to the VMs whose reports disagree with the ledger.
func (s *Service) order(now time.Time) []kernel.Effect {
	serving := s.servingFormer(now)
	var out []kernel.Effect
	for _, o := range s.fleet.vms {
		if s.fleet.liveness(o, now) != placement.Live {
			continue
		}
		order, due := s.dueOrder(o, serving)
		if due && s.mayOrder(now, o, order) {
			out = append(out, s.send(now, o, order))
		}
	}
	s.forgetDissolved()
	return out
}

// place identifies a replica in reports.
type place struct {
	replica    string
	generation int64
}

// servingFormer returns the replicas that a rank 0 within reach still follows:
// if the ledger has them no more, it may have streams to finish.
func (s *Service) servingFormer(now time.Time) map[place]bool {
	serving := map[place]bool{}
	for _, o := range s.fleet.vms {
		r := o.Report
		lost := s.fleet.liveness(o, now) == placement.Lost
		if r.Replica != "" && r.Rank == 0 && r.State != port.EngineIdle && !lost {
			serving[place{r.Replica, r.Generation}] = true
		}
	}
	return serving
}

// dueOrder returns the order that would make a VM follow the ledger, false if
// it follows already.
func (s *Service) dueOrder(o health.Observation, serving map[place]bool) (port.Order, bool) {
	if name, owned := s.Control.Owner(o.VM.ID); owned {
		r, _ := s.Control.Replica(name)
		return s.joinOrder(o, r)
	}
	return leaveOrder(o.Report, serving)
}

// joinOrder returns the order to join a replica. A member that lost its
// membership is not asked again: the replica is to be dissolved.
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

func rankOf(r ledger.Replica, id port.VMID) int {
	for i, vm := range r.VMs {
		if vm == id {
			return i
		}
	}
	return -1
}

// leaveOrder returns the order to leave a replica that the ledger does not
// have. Other ranks leave after rank 0, which carries the streams.
func leaveOrder(r port.Report, serving map[place]bool) (port.Order, bool) {
	member := r.Replica != "" && r.State != port.EngineIdle
	if !member || (r.Rank != 0 && serving[place{r.Replica, r.Generation}]) {
		return port.Order{}, false
	}
	return port.Order{
		Verb:       port.OrderLeave,
		Replica:    r.Replica,
		Generation: r.Generation,
		Rank:       r.Rank,
	}, true
}

// mayOrder reports whether an order may be sent now.
func (s *Service) mayOrder(now time.Time, o health.Observation, order port.Order) bool {
	if !o.VM.ChecksFencing && now.Before(s.lease.carelessFrom) {
		s.count("order.held.former_lease")
		return false
	}
	if s.orders.inFlight >= maxOrdersInFlight {
		s.count("order.held.in_flight")
		return false
	}
	last, ok := s.orders.sent[o.VM.ID]
	if !ok {
		return true
	}
	if last.inFlight {
		return false
	}
	same := last.verb == order.Verb && last.generation == order.Generation
	return !same || now.Sub(last.at) >= reorderAfter
}

func (s *Service) send(now time.Time, o health.Observation, order port.Order) kernel.Effect {
	s.count("order." + string(order.Verb))
	s.orders.sent[o.VM.ID] = &sentOrder{
		verb: order.Verb, generation: order.Generation, at: now, inFlight: true,
	}
	s.orders.inFlight++
	return SendOrder{VM: o.VM.ID, Address: o.VM.Address, Order: order, NotAfter: s.lease.validUntil}
}

func (s *Service) orderDone(now time.Time, m OrderDone) {
	last, ok := s.orders.sent[m.VM]
	if !ok || !last.inFlight {
		return
	}
	last.inFlight = false
	last.at = now
	s.orders.inFlight--
	switch {
	case m.Err == nil:
	case errors.Is(m.Err, ErrStaleFencing):
		s.count("order.refused.stale_fencing_number")
	default:
		s.count("order.failed")
	}
}

// forgetDissolved drops what is kept for generations and VMs that are gone.
func (s *Service) forgetDissolved() {
	live := map[record.Position]bool{}
	for _, r := range s.Control.Replicas() {
		live[r.Generation] = true
	}
	for g := range s.orders.formed {
		if !live[g] {
			delete(s.orders.formed, g)
		}
	}
	for id, o := range s.orders.sent {
		if _, listed := s.fleet.firstSeen[id]; !listed && !o.inFlight {
			delete(s.orders.sent, id)
		}
	}
}
