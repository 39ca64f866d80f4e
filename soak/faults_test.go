package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/tamarackcleat/tamarackcleat/platform/standin"
	"github.com/tamarackcleat/tamarackcleat/standin/link"
)

// faultRecord is an injected fault and the period for which it was in effect.
type faultRecord struct {
	description string
	// node is the affected node; nil if all nodes may be affected.
	node *node
	// planned says that it is a planned operation, such as a graceful stop,
	// which must not break off any request.
	planned bool
	// store says that it is a fault of the store or of a node's link to it.
	store bool
	// storeDown says that the store answers every call with status 503.
	storeDown bool
	// restoration says that the store came back from a backup at the end; nil otherwise.
	// It affects what dueAt says, and nothing else.
	restoration *restoration
	// from and to bound the period; to is zero while the fault is in effect.
	from, to time.Time
}

// faultLog records the injected faults of a run. It is safe for concurrent use.
type faultLog struct {
	mu      sync.Mutex
	records []*faultRecord
}

// begin records a fault that starts now; the returned function records its end.
func (l *faultLog) begin(description string, n *node, planned bool) func() {
	return l.add(faultRecord{description: description, node: n, planned: planned})
}

// add records r as a fault that starts now; the returned function records its end.
func (l *faultLog) add(r faultRecord) func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.from = time.Now()
	l.records = append(l.records, &r)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		r.to = time.Now()
	}
}

// overlapping returns the first recorded fault, apart from restorations, that affected a
// node between two times. It considers planned operations only if planned is set.
func (l *faultLog) overlapping(n *node, from, to time.Time, planned bool) (faultRecord, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.records {
		ended := !r.to.IsZero() && r.to.Before(from)
		if r.restoration == nil && (r.node == nil || r.node == n) && (planned || !r.planned) && !ended && r.from.Before(to) {
			return *r, true
		}
	}
	return faultRecord{}, false
}

// faultFree reports whether no fault or planned operation affected a node between
// two times, nor in the contactBound before.
func (l *faultLog) faultFree(n *node, from, to time.Time) bool {
	_, found := l.overlapping(n, from.Add(-contactBound), to, true)
	return !found
}

// storeDown reports whether the store answered every call with status 503 at a
// time.
func (l *faultLog) storeDown(at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.records, func(r *faultRecord) bool {
		return r.storeDown && r.from.Before(at) && (r.to.IsZero() || at.Before(r.to))
	})
}

// list describes all recorded faults, with their times relative to start.
func (l *faultLog) list(start time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for _, r := range l.records {
		name := "all"
		if r.node != nil {
			name = r.node.name
		}
		out = append(out, fmt.Sprintf("%6.2f to %6.2f s %-8s %s", r.from.Sub(start).Seconds(), r.to.Sub(start).Seconds(), name, r.description))
	}
	return out
}

// faultFunc injects one fault or planned operation, records it in the fault log and
// returns once it is over. How long it lasts depends on duration.
type faultFunc func(s *testSystem, rng *rand.Rand, duration time.Duration)

// plannedFaults are planned operations, which callers must not notice. Some seeds
// inject only these, because most guarantees with a time bound apply only once
// contactBound has passed since the last fault, which is rarely so in the runs of the
// other seeds.
var plannedFaults = []faultFunc{
	stopNode, reloadNode, publishConfigs, pauseEngine,
	drainEngine((*standin.Engine).StartLeaving), drainEngine((*standin.Engine).AnnounceLeaving),
}

// allFaults are the faults of the other seeds. A function that is listed twice is
// chosen twice as often, since it affects only one of many upstreams.
var allFaults = append([]faultFunc{
	killNode, suspendNode, killAllNodes, disturbStoreLink, disturbCallerLink,
	crashEngine, isolateEngine, isolateDomain, disturbUpstreamLink, injectEngineFaults, injectEngineFaults, delayOrders,
	storeFault(standin.StoreFaults{Down: true}),
	storeFault(standin.StoreFaults{LoseAnswers: true}),
	storeFault(standin.StoreFaults{Delay: 250 * time.Millisecond}),
	storeFault(standin.StoreFaults{AppendDelay: 1500 * time.Millisecond}),
	truncateStoreLogs,
}, plannedFaults...)

// plannedSeedInterval is the interval between seeds that inject only planned
// operations.
const plannedSeedInterval = 3

// faultsForSeed returns the faults from which the series of a seed choose.
func faultsForSeed(seed uint64) []faultFunc {
	if seed%plannedSeedInterval == 0 {
		return plannedFaults
	}
	return allFaults
}

const (
	// seriesCount is the number of concurrent series of faults.
	seriesCount = 4
	// A pause between two faults of a series takes between minDuration and
	// minDuration+maxPause. The duration passed to a faultFunc is between
	// minDuration and minDuration+maxFaultDuration.
	maxPause         = time.Second
	maxFaultDuration = 2500 * time.Millisecond
	minDuration      = 200 * time.Millisecond
)

// injectFaults runs concurrent series of pauses and faults. A series begins no new
// pause after period; injectFaults returns once the last fault has ended.
func (s *testSystem) injectFaults(faults []faultFunc, period time.Duration) {
	end := time.Now().Add(period)
	var wait sync.WaitGroup
	for i := range seriesCount {
		rng := rand.New(rand.NewPCG(s.rng.Uint64(), uint64(i)))
		wait.Go(func() {
			defer GinkgoRecover()
			for time.Now().Before(end) {
				pause(rng, maxPause)
				f := faults[rng.IntN(len(faults))]
				f(s, rng, minDuration+time.Duration(rng.Int64N(int64(maxFaultDuration))))
			}
		})
	}
	wait.Wait()
}

// pause sleeps for a random time between minDuration and minDuration+longest.
func pause(rng *rand.Rand, longest time.Duration) {
	time.Sleep(minDuration + time.Duration(rng.Int64N(int64(longest))))
}

func (s *testSystem) randomNode(rng *rand.Rand) *node { return s.nodes[rng.IntN(len(s.nodes))] }

// claimRandom claims a random upstream for a fault. It returns false if another
// fault has claimed that upstream.
func claimRandom(rng *rand.Rand, upstreams []*upstream) (*upstream, bool) {
	u := upstreams[rng.IntN(len(upstreams))]
	return u, u.claimed.CompareAndSwap(false, true)
}

// claimAnyUpstream is claimRandom for the upstreams of both services. It chooses
// each service with the same probability, since the plain service has few upstreams.
func (s *testSystem) claimAnyUpstream(rng *rand.Rand) (*upstream, bool) {
	if rng.IntN(2) == 0 {
		return claimRandom(rng, s.plainUpstreams)
	}
	return claimRandom(rng, s.generators)
}

// withNode calls f and records it as a fault of a node. It does nothing if another
// fault is being injected into the node.
func (s *testSystem) withNode(n *node, description string, planned bool, f func()) {
	if !n.faultMu.TryLock() {
		return
	}
	defer n.faultMu.Unlock()
	defer s.faults.begin(description, n, planned)()
	f()
}

// stopNode stops a node with SIGTERM and starts it again.
func stopNode(s *testSystem, rng *rand.Rand, duration time.Duration) {
	n := s.randomNode(rng)
	s.withNode(n, "stopped as planned", true, func() {
		n.terminate(syscall.SIGTERM)
		time.Sleep(duration / 4)
		n.start()
	})
}

// killNode kills a node with SIGKILL and starts it again.
func killNode(s *testSystem, rng *rand.Rand, d time.Duration) { s.kill(s.randomNode(rng), d) }

func (s *testSystem) kill(n *node, duration time.Duration) {
	s.withNode(n, "killed", false, func() {
		n.terminate(syscall.SIGKILL)
		time.Sleep(duration / 2)
		n.start()
	})
}

func killAllNodes(s *testSystem, _ *rand.Rand, duration time.Duration) {
	var wait sync.WaitGroup
	for _, n := range s.nodes {
		wait.Go(func() {
			defer GinkgoRecover()
			s.kill(n, duration)
		})
	}
	wait.Wait()
}

func suspendNode(s *testSystem, rng *rand.Rand, duration time.Duration) {
	n := s.randomNode(rng)
	s.withNode(n, "suspended", false, func() {
		n.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		n.signal(syscall.SIGCONT)
	})
}

// reloadNode makes a node reload its settings.
func reloadNode(s *testSystem, rng *rand.Rand, _ time.Duration) {
	n := s.randomNode(rng)
	s.withNode(n, "settings reloaded", true, func() { n.signal(syscall.SIGHUP) })
}

// linkFaultModes are the modes that disturbLink chooses from.
var linkFaultModes = []link.Mode{link.Refuse, link.Drop, link.DropToTarget, link.DropFromTarget}

// disturbLink delays a link, resets its connections, or sets one of linkFaultModes.
func disturbLink(rng *rand.Rand, k *link.Link, duration time.Duration) {
	switch rng.IntN(3) {
	case 0:
		k.SetDelay(time.Duration(10+rng.IntN(200)) * time.Millisecond)
		time.Sleep(duration)
		k.SetDelay(0)
	case 1:
		k.Reset()
	default:
		k.SetMode(linkFaultModes[rng.IntN(len(linkFaultModes))])
		time.Sleep(duration)
		k.SetMode(link.Pass)
	}
}

func disturbStoreLink(s *testSystem, rng *rand.Rand, duration time.Duration) {
	n := s.randomNode(rng)
	// The node may be the holder of the control lease, which manages the replicas
	// for all nodes, so the fault may affect all nodes.
	end := s.faults.add(faultRecord{description: "link from " + n.name + " to the store disturbed", store: true})
	s.configs.publish()
	disturbLink(rng, n.storeLink, duration)
	end()
}

func disturbCallerLink(s *testSystem, rng *rand.Rand, duration time.Duration) {
	n := s.randomNode(rng)
	end := s.faults.begin("callers' link disturbed", n, false)
	disturbLink(rng, n.callerLink, duration)
	end()
}

// entryTTL is how long the store keeps the entry of an engine that is unreachable
// or has crashed.
const entryTTL = 1200 * time.Millisecond

// crashEngine ends an engine without notice and starts it again.
func crashEngine(s *testSystem, rng *rand.Rand, duration time.Duration) {
	u, ok := s.claimAnyUpstream(rng)
	if !ok {
		return
	}
	defer u.claimed.Store(false)
	end := s.faults.begin("crashed "+u.ID, nil, false)
	u.Crash()
	u.link.SetMode(link.Refuse)
	time.Sleep(duration)
	if duration > entryTTL {
		u.Unlist()
	}
	u.link.SetMode(link.Pass)
	u.Restart()
	end()
}

func isolateEngine(s *testSystem, rng *rand.Rand, duration time.Duration) {
	if u, ok := s.claimAnyUpstream(rng); ok {
		s.isolate(u, duration)
	}
}

// isolate makes a claimed engine unreachable for callers and the store and releases it
// afterwards. The store removes the engine's entry after entryTTL.
func (s *testSystem) isolate(u *upstream, duration time.Duration) {
	defer u.claimed.Store(false)
	end := s.faults.begin("isolated "+u.ID, nil, false)
	u.SetUnreachable(true)
	u.link.SetMode(link.Drop)
	time.Sleep(min(duration, entryTTL))
	if duration > entryTTL {
		u.Unlist()
		time.Sleep(duration - entryTTL)
	}
	u.link.SetMode(link.Pass)
	u.SetUnreachable(false)
	end()
}

// isolateDomain isolates all engines of a fabric domain that no other fault has claimed.
func isolateDomain(s *testSystem, rng *rand.Rand, duration time.Duration) {
	domain := s.generators[rng.IntN(len(s.generators))].Domain()
	var wait sync.WaitGroup
	for _, u := range s.generators {
		if u.Domain() == domain && u.claimed.CompareAndSwap(false, true) {
			wait.Go(func() { s.isolate(u, duration) })
		}
	}
	wait.Wait()
}

func disturbUpstreamLink(s *testSystem, rng *rand.Rand, duration time.Duration) {
	u, ok := s.claimAnyUpstream(rng)
	if !ok {
		return
	}
	defer u.claimed.Store(false)
	defer s.faults.begin("link of "+u.ID+" disturbed", nil, false)()
	disturbLink(rng, u.link, duration)
}

// engineFaultSets are the faults that injectEngineFaults chooses from. LoseAnswers
// is listed twice, because only lost answers show whether a request that must not
// run twice is repeated. DuplicateAnswers concerns plain services alone and Spoiling
// streams alone. A client that gets the body of Raw gets one that is not the engine's.
var engineFaultSets = []standin.EngineFaults{
	{LoseAnswers: true}, {LoseAnswers: true}, {FailStatus: http.StatusInternalServerError}, {FailStatus: http.StatusServiceUnavailable}, {DuplicateAnswers: true, Spoiling: standin.SpoilRepeat}, {TruncateAnswers: true},
	{RefuseRequests: true}, {Delay: 150 * time.Millisecond, Spoiling: standin.SpoilLastID},
	{Raw: &standin.RawAnswer{End: standin.EndClose, Bytes: func(fields, id string) string {
		return "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding : chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"
	}}},
}

func injectEngineFaults(s *testSystem, rng *rand.Rand, duration time.Duration) {
	if u, ok := s.claimAnyUpstream(rng); ok {
		s.setEngineFaults(u, engineFaultSets[rng.IntN(len(engineFaultSets))], duration)
	}
}

// delayOrders makes an engine execute the orders to join and leave replicas late, and
// close the connections on which they arrive without an answer.
func delayOrders(s *testSystem, rng *rand.Rand, duration time.Duration) {
	if u, ok := claimRandom(rng, s.generators); ok {
		s.setEngineFaults(u, standin.EngineFaults{OrderDelay: duration / 2}, duration)
	}
}

// setEngineFaults injects faults into a claimed engine for a duration and releases
// the engine.
func (s *testSystem) setEngineFaults(u *upstream, faults standin.EngineFaults, duration time.Duration) {
	defer u.claimed.Store(false)
	defer s.faults.begin(fmt.Sprintf("faults of %s: %+v", u.ID, faults), nil, false)()
	u.SetFaults(faults)
	time.Sleep(duration)
	u.SetFaults(standin.EngineFaults{})
}

// drainEngine returns a faultFunc that makes an engine say that it is leaving, in its
// report or in its answers, ends the engine drainBound+duration later, and starts it again
// as a new incarnation.
func drainEngine(sayLeaving func(*standin.Engine)) faultFunc {
	return func(s *testSystem, rng *rand.Rand, duration time.Duration) {
		u, ok := s.claimAnyUpstream(rng)
		if !ok {
			return
		}
		defer u.claimed.Store(false)
		end := s.faults.begin(u.ID+" leaves", nil, true)
		sayLeaving(u.Engine)
		time.Sleep(drainBound + duration)
		endAbsence := s.faults.begin(u.ID+" is gone", nil, false)
		u.Crash()
		u.Unlist()
		time.Sleep(duration / 2)
		u.Restart()
		endAbsence()
		end()
	}
}

// pauseEngine makes an engine refuse requests and ask for a pause.
func pauseEngine(s *testSystem, rng *rand.Rand, duration time.Duration) {
	u, ok := s.claimAnyUpstream(rng)
	if !ok {
		return
	}
	defer u.claimed.Store(false)
	defer s.faults.begin(u.ID+" pauses", nil, true)()
	u.AskForPause(duration)
	time.Sleep(duration)
}

// storeFault returns a faultFunc that injects faults into the store.
func storeFault(faults standin.StoreFaults) func(*testSystem, *rand.Rand, time.Duration) {
	return func(s *testSystem, _ *rand.Rand, duration time.Duration) {
		if !s.storeFaultMu.TryLock() {
			return
		}
		defer s.storeFaultMu.Unlock()
		end := s.faults.add(faultRecord{description: fmt.Sprintf("store: %+v", faults), store: true, storeDown: faults.Down})
		s.fleet.Store.SetFaults(faults)
		if faults.Down {
			// The new version removes a key, which the nodes must stop accepting
			// within revokeBound although they can't read the version.
			s.configs.publish()
			time.Sleep(revokeBound)
		}
		time.Sleep(duration)
		s.fleet.Store.SetFaults(standin.StoreFaults{})
		end()
	}
}

// truncateStoreLogs truncates the store's logs of engine entries and configurations. The
// store retains the newest record of each key.
func truncateStoreLogs(s *testSystem, _ *rand.Rand, _ time.Duration) {
	end := s.faults.add(faultRecord{description: "logs of the store truncated", store: true})
	s.fleet.Store.TruncateLog("keyed.servers")
	s.fleet.Store.TruncateLog("keyed.op")
	end()
}

// publishConfigs publishes one to three configurations. It records no fault, so the
// checks of faultFree nodes apply meanwhile.
func publishConfigs(s *testSystem, rng *rand.Rand, duration time.Duration) {
	for range 1 + rng.IntN(3) {
		s.configs.publish()
		time.Sleep(duration / 4)
	}
}
