package soak_test

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/platform/standin"
)

const (
	// restoredSeedInterval is the interval between seeds that don't restore the store.
	restoredSeedInterval = 2
	// restoreStream is the stream of the seed's random numbers for restorations, as
	// crowdStream is for crowds.
	restoreStream = 78
	// maxLossTime bounds the time between a backup and the outage that ends with its
	// restoration, apart from minDuration.
	maxLossTime = 4 * time.Second
	// rewriteTime and operatorTime bound the time from the store's return until the engines
	// and the operator have written again what they hold. What engines write then takes
	// effect within contactBound of the return.
	rewriteTime  = 800 * time.Millisecond
	operatorTime = 3 * time.Second
	// awayZone is the zone of the engine awayEngine, which no other fault affects.
	awayZone   = "away"
	awayEngine = "desk-away"
)

// restoration is a restoration of the store from a backup. A change that the store
// acknowledged from backupAt to restoredAt was lost, and the operator wrote again at
// writtenAt what it holds.
type restoration struct{ backupAt, restoredAt, writtenAt time.Time }

// restoreStore restores the store from backups for a period. It returns a function that
// waits for the end.
func (s *testSystem) restoreStore(seed uint64, period time.Duration) (wait func()) {
	rng := rand.New(rand.NewPCG(seed, restoreStream))
	end := time.Now().Add(period)
	var running sync.WaitGroup
	running.Go(func() {
		defer GinkgoRecover()
		for time.Now().Before(end) {
			pause(rng, maxPause)
			s.loseRecords(rng)
		}
	})
	return running.Wait
}

// loseRecords takes a backup, withdraws the engine away, and restores the backup later, at
// times twice.
func (s *testSystem) loseRecords(rng *rand.Rand) {
	b, backupAt := s.configs.backup()
	defer s.withdrawAway(rng)()
	pause(rng, maxLossTime)
	for range 1 + rng.IntN(2) {
		s.restore(rng, b, &restoration{backupAt: backupAt})
		pause(rng, maxPause)
	}
}

// withdrawAway evacuates the zone of the engine away or makes the engine leave. The returned
// function ends that.
func (s *testSystem) withdrawAway(rng *rand.Rand) (end func()) {
	if rng.IntN(2) == 0 {
		s.configs.evacuate()
		return s.configs.endEvacuation
	}
	s.away.StartLeaving()
	return func() {
		defer s.faults.begin(awayEngine+" is gone", nil, false)()
		s.away.Crash()
		s.away.Unlist()
		s.away.Restart()
	}
}

// restore makes the store unreachable for a moment, restores a backup, and lets the
// operator and the engines write again what they hold, some of them before any node
// reads it. The operator also publishes a further version.
func (s *testSystem) restore(rng *rand.Rand, b *standin.Backup, r *restoration) {
	var rewriting sync.WaitGroup
	defer rewriting.Wait()
	write := func(f func(), longest time.Duration) {
		if rng.IntN(4) == 0 {
			f()
			return
		}
		delay := time.Duration(rng.Int64N(int64(longest)))
		rewriting.Go(func() {
			time.Sleep(delay)
			f()
		})
	}
	s.storeFaultMu.Lock()
	defer s.storeFaultMu.Unlock()
	defer s.faults.add(faultRecord{description: "store restored from a backup", store: true, storeDown: true, restoration: r})()
	s.fleet.Store.SetFaults(standin.StoreFaults{Down: true})
	pause(rng, maxPause)
	formerEnd := s.fleet.Store.End("keyed.op")
	r.restoredAt = s.configs.restore(b)
	lost := max(0, formerEnd-s.fleet.Store.End("keyed.op"))
	write(func() {
		s.configs.publish()
		r.writtenAt = s.configs.writeAgain()
	}, operatorTime)
	write(s.away.WriteEntry, rewriteTime)
	for _, u := range slices.Concat(s.generators, s.plainUpstreams) {
		write(u.WriteEntry, rewriteTime)
	}
	for range rng.IntN(2 + 2*lost) {
		// Records of others, so that the log may end anywhere around its former end.
		s.fleet.EndEvacuation("none")
	}
	s.fleet.Store.SetFaults(standin.StoreFaults{})
}

// restorations returns the recorded restorations, in their order.
func (l *faultLog) restorations() []*faultRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(l.records), func(r *faultRecord) bool { return r.restoration == nil })
}

// dueAt returns when at the latest a change that the store acknowledged at a time, and that
// has a bound, had to be in force at the process that an attempt reached, as seen at time to.
// A restoration delays what was not in force before it, until renewed, zero for no delay. The
// other changes are kept; told says that a node that starts learns of them from its peers.
func (c *checker) dueAt(a *attempt, at time.Time, bound time.Duration, to time.Time, told bool, renewed func(*faultRecord, time.Time, time.Duration) time.Time) time.Time {
	due := at.Add(bound)
	for _, r := range c.system.faults.restorations() {
		inForce := due.Before(r.from) && c.keeps(a, r, to, told)
		if t := renewed(r, at, bound); r.from.Before(to) && !inForce && t.After(due) {
			due = t
		}
	}
	return due
}

// afterReturn is when changes must be in force that were not before a restoration, unless
// it lost them.
func afterReturn(r *faultRecord, _ time.Time, _ time.Duration) time.Time {
	return r.to.Add(contactBound)
}

// afterWriting is when a change with a bound must be in force that the store acknowledged at
// a time and that a restoration lost, by when the operator wrote it again; zero if it is not
// lost.
func afterWriting(r *faultRecord, at time.Time, bound time.Duration) time.Time {
	if at.Before(r.restoration.backupAt) || at.After(r.restoration.restoredAt) {
		return time.Time{}
	}
	return r.restoration.writtenAt.Add(bound)
}

// afterBoth is the later one of afterReturn and afterWriting.
func afterBoth(r *faultRecord, at time.Time, bound time.Duration) time.Time {
	if t := afterWriting(r, at, bound); t.After(afterReturn(r, at, bound)) {
		return t
	}
	return afterReturn(r, at, bound)
}

// keeps reports whether the process that an attempt reached had in force, until time to, what
// had to be in force before a restoration: it was informed and ran before, or another node
// that ran all the time could tell it.
func (c *checker) keeps(a *attempt, r *faultRecord, to time.Time, told bool) bool {
	l, from := c.system.faults, r.from.Add(-contactBound)
	return l.informed(a.node, from, to) && (a.node.startedAt(a.incarnation).Before(from) ||
		told && slices.ContainsFunc(c.system.nodes, func(p *node) bool { return p != a.node && !l.interrupted(p, from, to) }))
}

// informed reports whether neither an unplanned fault of a node itself nor one of the store or
// of a link to it, apart from restorations, overlapped a period.
func (l *faultLog) informed(n *node, from, to time.Time) bool {
	return !l.any(from, to, func(r *faultRecord) bool { return r.node == n && !r.planned || r.store && r.restoration == nil })
}

// interrupted reports whether a fault or planned operation of a node itself overlapped a
// period.
func (l *faultLog) interrupted(n *node, from, to time.Time) bool {
	return l.any(from, to, func(r *faultRecord) bool { return r.node == n })
}

// any reports whether a recorded fault of a kind overlapped a period.
func (l *faultLog) any(from, to time.Time, isKind func(*faultRecord) bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.records, func(r *faultRecord) bool {
		return isKind(r) && r.from.Before(to) && (r.to.IsZero() || r.to.After(from))
	})
}

// checkEvacuations checks that a node sends no request to an engine whose zone has been
// evacuated for more than drainBound, as checkLeavingEngines does.
func (c *checker) checkEvacuations() {
	for id, runs := range c.runs {
		a, known := c.byID[id]
		for _, r := range runs {
			for _, e := range c.system.configs.evacuations {
				if known && r.Engine == awayEngine && r.At.Before(e.to) && r.At.After(c.dueAt(a, e.from, drainBound, r.At, false, afterBoth)) && c.mustKnow(a, r.At) {
					c.addViolation("sent to %s %v after its zone was evacuated: %v", r.Engine, r.At.Sub(e.from), a)
				}
			}
		}
	}
}

// leaseLine is a line in a node's log which says that the node holds the control lease or
// doesn't any more.
type leaseLine struct {
	Time time.Time
	Msg  string
	Held bool
	Term int64
	node *node
}

// leaseLines returns the lines on the control lease in the logs of all nodes.
func (s *testSystem) leaseLines() []leaseLine {
	var lines []leaseLine
	for _, n := range s.nodes {
		data, err := os.ReadFile(n.LogPath)
		Expect(err).NotTo(HaveOccurred())
		for text := range bytes.Lines(data) {
			l := leaseLine{node: n}
			// A process that was killed may have written a part of a line.
			if json.Unmarshal(text, &l) == nil && (l.Msg == "lease.held" || l.Msg == "lease.handed_over") {
				lines = append(lines, l)
			}
		}
	}
	return lines
}

// holders returns how many of the nodes' processes hold the control lease.
func (s *testSystem) holders() int {
	last := map[*node]leaseLine{}
	for _, l := range s.leaseLines() {
		last[l.node] = l
	}
	count := 0
	for n, l := range last {
		if l.Held && l.Time.After(n.startedAt(n.incarnation.Load())) {
			count++
		}
	}
	return count
}

// checkLease checks that each term of the control lease has one holder and is higher than
// the terms before, and that a holder which no fault affects has ended rollbackTolerance
// after another one's begin.
func (c *checker) checkLease() {
	lines := c.system.leaseLines()
	for _, l := range lines {
		for _, o := range lines {
			switch {
			case !l.Held:
			case o.Held && o.Time.Before(l.Time) && (o.Term > l.Term || o.Term == l.Term && o.node != l.node):
				c.addViolation("%s held the lease in term %d at %s, after %s in term %d", l.node.name, l.Term, l.Time.Format("05.000"), o.node.name, o.Term)
			case !o.Held && o.node != l.node && o.Term < l.Term && o.Time.After(l.Time.Add(rollbackTolerance)) && c.system.faults.faultFreeExceptPlanned(o.node, l.Time, o.Time):
				c.addViolation("%s held the lease in term %d until %s, although %s did in term %d at %s", o.node.name, o.Term, o.Time.Format("05.000"), l.node.name, l.Term, l.Time.Format("05.000"))
			}
		}
	}
}
