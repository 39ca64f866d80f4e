package controller

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/ledger"
	"github.com/tamarackcleat/tamarackcleat/record"
)

const (
	// LeaseTTL is how long the lease lasts after its last renewal.
	LeaseTTL = 6 * time.Second
	// renewEvery is the time between renewals.
	renewEvery = LeaseTTL / 3
	// leaseMargin is how much earlier the holder's own lease ends, for
	// clocks that run at different rates.
	leaseMargin = LeaseTTL / 10
	// claimJitter spreads the claims of several nodes.
	claimJitter = time.Second
	// LongestOrder bounds the time of one order request.
	LongestOrder = 5 * time.Second
	// yieldPause is how long a node that gave the lease up for its lost
	// connections does not claim it.
	yieldPause = 20 * time.Second
	// yieldMemory is how long such a node, holding the lease again, trusts
	// that the VMs are lost indeed.
	yieldMemory = 5 * time.Minute
)

// leaseState is what the node knows of the control lease and its own part in
// it. All times are of this node's clock.
type leaseState struct {
	// seen is the lease by the ledger at the last look, readAt the time at
	// which its latest renewal was read.
	seen   ledger.Lease
	readAt time.Time
	known  bool
	// sentAt holds the times at which this node sent claims and renewals
	// that were not read back yet.
	sentAt map[string]time.Time
	// claimID is the identifier of a claim on its way.
	claimID string
	// validUntil is the end of this node's lease.
	validUntil time.Time
	// carelessFrom is the time from which VMs that do not check fencing
	// numbers may be ordered.
	carelessFrom time.Time
	// renewedAt is when the last renewal was sent.
	renewedAt time.Time
	// claimAt is the time from which an unrenewed lease is claimed; it is
	// drawn again for each renewal that was read.
	claimAt time.Time
	// yieldedAt is when the node gave the lease up for lost connections.
	yieldedAt time.Time
}

func newLeaseState() leaseState { return leaseState{sentAt: map[string]time.Time{}} }

// valid reports whether the node's lease has time left.
func (l *leaseState) valid(now time.Time) bool { return now.Before(l.validUntil) }

// settle forgets a claim or renewal that was read back or given up.
func (l *leaseState) settle(id string) {
	delete(l.sentAt, id)
	if l.claimID == id {
		l.claimID = ""
	}
}

func (l *leaseState) yieldedLately(now time.Time) bool {
	return !l.yieldedAt.IsZero() && now.Sub(l.yieldedAt) < yieldMemory
}

// holds reports whether this node holds the lease by the ledger.
func (s *Service) holds() bool {
	l := s.Control.Lease()
	return l.Term != record.NoPosition && l.Holder == s.Node
}

// syncLease takes in what the ledger says of the lease.
func (s *Service) syncLease(now time.Time) {
	l := s.Control.Lease()
	if s.lease.known && l == s.lease.seen {
		return
	}
	before, known := s.lease.seen, s.lease.known
	s.lease.seen, s.lease.known, s.lease.readAt = l, true, now
	s.lease.claimAt = now.Add(s.claimDelay(l))
	if l.Term != before.Term {
		s.termChanged(now, l, before, known)
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

// claimDelay is how long after reading a lease this node claims it, unless a
// renewal is read before. A vacant lease is claimed after the jitter alone.
func (s *Service) claimDelay(l ledger.Lease) time.Duration {
	jitter := time.Duration(s.Rand.Int64N(int64(claimJitter)))
	if l.Holder == "" {
		return jitter
	}
	return l.TTL() + jitter
}

// termChanged works out from when careless VMs may be ordered in a new term of
// this node. The former holder may have renewed just before the claim, so its
// lease is waited out in full from now, unless it gave the lease up.
func (s *Service) termChanged(now time.Time, l, before ledger.Lease, known bool) {
	s.lease.claimID = ""
	s.pending = newPendingRecords()
	if l.Holder != s.Node {
		return
	}
	s.count("lease.claimed")
	s.lease.carelessFrom = now
	if !known || before.Holder != "" {
		s.lease.carelessFrom = now.Add(max(before.TTL(), LeaseTTL) + LongestOrder)
	}
}

// keepLease renews the node's lease or claims one that is not renewed. A node
// that could not plan does not claim.
func (s *Service) keepLease(now time.Time) []kernel.Effect {
	pausing := !s.lease.yieldedAt.IsZero() && now.Sub(s.lease.yieldedAt) < yieldPause
	if pausing || !s.Log.CaughtUp(record.StreamControl) {
		return nil
	}
	if s.holds() {
		if now.Sub(s.lease.renewedAt) < renewEvery {
			return nil
		}
		return s.renew(now, false)
	}
	if s.lease.claimID != "" || now.Before(s.lease.claimAt) || s.whyUnfit(now) != "" {
		return nil
	}
	return s.claim(now)
}

func (s *Service) claim(now time.Time) []kernel.Effect {
	r := s.newRecord(now)
	r.Lease = &record.LeaseClaim{
		Holder:    s.Node,
		Replaces:  s.Control.Lease().Term,
		TTLMillis: LeaseTTL.Milliseconds(),
	}
	s.lease.claimID = r.ID
	s.lease.sentAt[r.ID] = now
	s.lease.renewedAt = now
	return []kernel.Effect{s.append(r, now.Add(LeaseTTL))}
}

func (s *Service) renew(now time.Time, released bool) []kernel.Effect {
	r := s.newRecord(now)
	r.Renewal = &record.LeaseRenewal{Term: s.Control.Lease().Term, Released: released}
	s.lease.renewedAt = now
	if !released {
		s.lease.sentAt[r.ID] = now
	}
	return []kernel.Effect{s.append(r, now.Add(LeaseTTL))}
}

// release ends the lease at once, if no order of this or the former holder can
// still be on its way; otherwise the lease is left to lapse, and the next
// holder waits.
func (s *Service) release(now time.Time) []kernel.Effect {
	s.lease.validUntil = time.Time{}
	if now.Before(s.lease.carelessFrom) {
		return nil
	}
	s.count("lease.released")
	return s.renew(now, true)
}

// yield gives the lease up because this node seems cut off from the VMs.
func (s *Service) yield(now time.Time) []kernel.Effect {
	if s.orders.inFlight > 0 {
		return nil
	}
	s.lease.yieldedAt = now
	return s.release(now)
}

// handOver ends this node's part as controller. It waits for the answers to
// orders in flight, each of which ends within LongestOrder.
func (s *Service) handOver(now time.Time) []kernel.Effect {
	if s.drained || s.orders.inFlight > 0 {
		return nil
	}
	s.drained = true
	var out []kernel.Effect
	if s.holds() {
		out = s.release(now)
	}
	return append(out, kernel.Send{To: s.drain.ReplyTo, Msg: Drained{}})
}
