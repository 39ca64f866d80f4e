package controller

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/ledger"
	"github.com/tamarackcleat/tamarackcleat/record"
)

const (
	// LeaseTTL is the time from a claim or renewal of the lease until the lease
	// expires. The holder counts it from sending the record, other nodes from
	// reading it.
	LeaseTTL = 6 * time.Second
	// renewInterval is the time between renewals.
	renewInterval = LeaseTTL / 3
	// leaseMargin is how much earlier than for the other nodes the lease
	// expires for its holder, because clocks run at different rates.
	leaseMargin = LeaseTTL / 10
	// claimJitter is the upper bound of the random delay of a claim, which
	// keeps nodes from claiming the lease at the same time.
	claimJitter = time.Second
	// OrderTimeout is the timeout of one order request.
	OrderTimeout = 5 * time.Second
	// reclaimDelay is the time for which a node that gave the lease up because
	// it could not reach the VMs does not claim the lease again.
	reclaimDelay = 20 * time.Second
	// yieldCooldown is the time for which a node that gave the lease up because
	// it could not reach the VMs does not do so again. If the node holds the
	// lease again and most VMs are still unreachable, it treats them as lost.
	yieldCooldown = 5 * time.Minute
)

// leaseState is what this node knows of the control lease. All times are by
// this node's clock.
type leaseState struct {
	// last is the lease in the ledger at the last call of syncLease that found
	// a change, and readAt is the time of that call. known is false before the
	// first such call.
	last   ledger.Lease
	readAt time.Time
	known  bool
	// sentAt holds the times at which this node sent the claims and renewals
	// that have not been read back from the log, by record identifier.
	sentAt map[string]time.Time
	// claimID is the record identifier of this node's pending claim; empty if
	// there is none.
	claimID string
	// validUntil is the time at which this node's own lease expires; zero if
	// the node does not hold the lease.
	validUntil time.Time
	// unfencedFrom is the time from which this node, as holder, may send orders
	// to VMs that do not check fencing numbers.
	unfencedFrom time.Time
	// renewalSentAt is the time at which this node last sent a claim or renewal.
	renewalSentAt time.Time
	// claimAt is the time from which this node claims the lease if it reads no
	// renewal before. It is computed anew, with a new random delay, whenever
	// the lease changes in the ledger.
	claimAt time.Time
	// yieldedAt is the time at which this node last gave the lease up because it
	// could not reach the VMs; zero if it never did.
	yieldedAt time.Time
}

func newLeaseState() leaseState { return leaseState{sentAt: map[string]time.Time{}} }

// valid reports whether this node's own lease has not expired at the given time.
func (l *leaseState) valid(now time.Time) bool { return now.Before(l.validUntil) }

// forget drops a claim or renewal that was read back or abandoned.
func (l *leaseState) forget(id string) {
	delete(l.sentAt, id)
	if l.claimID == id {
		l.claimID = ""
	}
}

// inYieldCooldown reports whether less than yieldCooldown has passed since this
// node last gave the lease up because it could not reach the VMs.
func (l *leaseState) inYieldCooldown(now time.Time) bool {
	return !l.yieldedAt.IsZero() && now.Sub(l.yieldedAt) < yieldCooldown
}

// holdsLease reports whether this node is the lease holder in the ledger, even
// if the lease has expired by this node's clock.
func (s *Service) holdsLease() bool {
	l := s.Control.Lease()
	return l.Term != record.NoPosition && l.Holder == s.Node
}

// syncLease updates the lease state from the ledger.
func (s *Service) syncLease(now time.Time) {
	l := s.Control.Lease()
	if s.lease.known && l == s.lease.last {
		return
	}
	former, known := s.lease.last, s.lease.known
	s.lease.last, s.lease.known, s.lease.readAt = l, true, now
	s.lease.claimAt = now.Add(s.claimDelay(l))
	if l.Term != former.Term {
		s.termChanged(now, l, former, known)
	}
	if l.Holder != s.Node {
		s.lease.validUntil = time.Time{}
		return
	}
	if sent, ok := s.lease.sentAt[l.RenewalID]; ok {
		delete(s.lease.sentAt, l.RenewalID)
		s.lease.validUntil = sent.Add(l.TTL() - leaseMargin)
	}
}

// claimDelay returns the time from reading lease l until this node claims the
// lease if it reads no renewal before: the TTL and a random delay, or the random
// delay alone if nobody holds the lease.
func (s *Service) claimDelay(l ledger.Lease) time.Duration {
	jitter := time.Duration(s.Rand.Int64N(int64(claimJitter)))
	if l.Holder == "" {
		return jitter
	}
	return l.TTL() + jitter
}

// termChanged resets the state that belongs to a term of the lease. If this
// node holds the new term, termChanged also sets the time from which VMs that
// do not check fencing numbers may get orders. The former holder may have
// renewed its lease just before the claim, so unless it released the lease,
// such VMs get no orders for the TTL of the former lease, or LeaseTTL if that is
// longer, plus OrderTimeout, counted from now. known says that this node knows
// the former lease.
func (s *Service) termChanged(now time.Time, l, former ledger.Lease, known bool) {
	s.lease.claimID = ""
	s.pending = newPendingRecords()
	if l.Holder != s.Node {
		return
	}
	s.count("lease.claimed")
	s.lease.unfencedFrom = now
	if !known || former.Holder != "" {
		s.lease.unfencedFrom = now.Add(max(former.TTL(), LeaseTTL) + OrderTimeout)
	}
}

// maintainLease renews this node's lease when a renewal is due, or claims a
// lease that its holder does not renew. A node that lacks an input of the planner
// does not claim. A node that has not read the control stream to its end, or that
// gave the lease up less than reclaimDelay before now because it could not reach
// the VMs, neither renews nor claims.
func (s *Service) maintainLease(now time.Time) []kernel.Effect {
	reclaimDelayed := !s.lease.yieldedAt.IsZero() && now.Sub(s.lease.yieldedAt) < reclaimDelay
	if reclaimDelayed || !s.Log.CaughtUp(record.StreamControl) {
		return nil
	}
	if s.holdsLease() {
		if now.Sub(s.lease.renewalSentAt) < renewInterval {
			return nil
		}
		return s.renewLease(now, false)
	}
	if s.lease.claimID != "" || now.Before(s.lease.claimAt) || s.missingInput(now) != "" {
		return nil
	}
	return s.claimLease(now)
}

// claimLease returns the effect that appends a claim of the lease.
func (s *Service) claimLease(now time.Time) []kernel.Effect {
	r := s.newRecord(now)
	r.Lease = &record.LeaseClaim{
		Holder:    s.Node,
		Replaces:  s.Control.Lease().Term,
		TTLMillis: LeaseTTL.Milliseconds(),
	}
	s.lease.claimID = r.ID
	s.lease.sentAt[r.ID] = now
	s.lease.renewalSentAt = now
	return []kernel.Effect{s.append(r, now.Add(LeaseTTL))}
}

// renewLease returns the effect that appends a renewal of the lease, or its
// release if released is set.
func (s *Service) renewLease(now time.Time, released bool) []kernel.Effect {
	r := s.newRecord(now)
	r.Renewal = &record.LeaseRenewal{Term: s.Control.Lease().Term, Released: released}
	s.lease.renewalSentAt = now
	if !released {
		s.lease.sentAt[r.ID] = now
	}
	return []kernel.Effect{s.append(r, now.Add(LeaseTTL))}
}

// releaseLease ends this node's lease at once in the ledger, provided that no
// order of the former holder can still be in flight. Otherwise it leaves the
// lease to expire, so that the next holder waits before it sends orders to VMs
// that do not check fencing numbers. The caller has made sure that no order of
// this node is in flight.
func (s *Service) releaseLease(now time.Time) []kernel.Effect {
	s.lease.validUntil = time.Time{}
	if now.Before(s.lease.unfencedFrom) {
		return nil
	}
	s.count("lease.released")
	return s.renewLease(now, true)
}

// yieldLease gives the lease up because this node seems to be cut off from the
// VMs. It does nothing while an order is in flight.
func (s *Service) yieldLease(now time.Time) []kernel.Effect {
	if s.orders.inFlight > 0 {
		return nil
	}
	s.lease.yieldedAt = now
	return s.releaseLease(now)
}

// handOver releases the lease and replies to the request to drain with a
// Drained message. It does nothing while an order is in flight; each order ends
// within OrderTimeout.
func (s *Service) handOver(now time.Time) []kernel.Effect {
	if s.drained || s.orders.inFlight > 0 {
		return nil
	}
	s.drained = true
	var out []kernel.Effect
	if s.holdsLease() {
		out = s.releaseLease(now)
	}
	return append(out, kernel.Send{To: s.drain.ReplyTo, Msg: Drained{}})
}
