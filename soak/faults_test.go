package soak_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/tamarackcleat/tamarackcleat/platform/standin"
	"github.com/tamarackcleat/tamarackcleat/standin/link"
)

// disturbance is a time in which something was wrong.
type disturbance struct {
	what string
	// node is the node that it concerns; nil for all.
	node *node
	// planned work excuses no request that it breaks off.
	planned bool
	// storeAway says that the store answers nobody.
	storeAway bool
	from, to  time.Time
}

// disturbances is what was done to the system. It is safe for concurrent use.
type disturbances struct {
	mu  sync.Mutex
	all []*disturbance
}

// begin notes the start of a disturbance; the result notes its end.
func (d *disturbances) begin(what string, n *node, planned bool) func() {
	return d.add(disturbance{what: what, node: n, planned: planned})
}

// add notes a disturbance that starts now; the result notes its end.
func (d *disturbances) add(e disturbance) func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	e.from = time.Now()
	d.all = append(d.all, &e)
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		e.to = time.Now()
	}
}

// during returns the first disturbance that meets a node between two times;
// planned ones count only if asked for.
func (d *disturbances) during(n *node, from, to time.Time, planned bool) (disturbance, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.all {
		over := !e.to.IsZero() && e.to.Before(from)
		if (e.node == nil || e.node == n) && (planned || !e.planned) && !over && e.from.Before(to) {
			return *e, true
		}
	}
	return disturbance{}, false
}

// calm reports whether a node and all that it depends on were well from a while
// before a time until another.
func (d *disturbances) calm(n *node, from, to time.Time) bool {
	_, any := d.during(n, from.Add(-contact), to, true)
	return !any
}

// storeAway reports whether the store answered nobody at a time.
func (d *disturbances) storeAway(at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.all, func(e *disturbance) bool {
		return e.storeAway && e.from.Before(at) && (e.to.IsZero() || at.Before(e.to))
	})
}

// list describes all disturbances relative to a start.
func (d *disturbances) list(start time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for _, e := range d.all {
		name := "all"
		if e.node != nil {
			name = e.node.name
		}
		out = append(out, fmt.Sprintf("%6.2f to %6.2f s %-8s %s", e.from.Sub(start).Seconds(), e.to.Sub(start).Seconds(), name, e.what))
	}
	return out
}

// fault does something to the system for a while.
type fault func(w *world, rng *rand.Rand, hold time.Duration)

// plannedWork must go unnoticed. It stands apart, because most promises with a
// time bound hold only for a while after the last fault.
var plannedWork = []fault{stopNode, hangUpNode, leaveEngine, leaveEngine, publishSome}

// allFaults are all that a series may choose from; the plain ones come twice where
// few upstreams meet them.
var allFaults = append([]fault{
	killNode, suspendNode, killAllNodes, cutFromStore, disturbFront,
	crashEngine, silenceEngine, silenceDomain, disturbUpstream, misbehave, misbehave, lateOrders,
	storeFault(standin.StoreFaults{Down: true}),
	storeFault(standin.StoreFaults{Mute: true}),
	storeFault(standin.StoreFaults{Slow: 250 * time.Millisecond}),
	storeFault(standin.StoreFaults{Late: 1500 * time.Millisecond}),
	forgetHistory,
}, plannedWork...)

// plannedEvery is one in how many seeds has planned work only.
const plannedEvery = 3

// faultsOf returns what the series of a seed choose from.
func faultsOf(seed uint64) []fault {
	if seed%plannedEvery == 0 {
		return plannedWork
	}
	return allFaults
}

const (
	// seriesCount is the number of series of faults that overlap.
	seriesCount = 4
	// longestGap and longestHold bound the pauses and the faults of a series.
	longestGap  = time.Second
	longestHold = 2500 * time.Millisecond
	shortest    = 200 * time.Millisecond
)

// harm runs series of faults for a time and returns once the last is over.
func (w *world) harm(faults []fault, length time.Duration) {
	end := time.Now().Add(length)
	var wait sync.WaitGroup
	for i := range seriesCount {
		rng := rand.New(rand.NewPCG(w.rng.Uint64(), uint64(i)))
		wait.Go(func() {
			defer GinkgoRecover()
			for time.Now().Before(end) {
				between(rng, longestGap)
				f := faults[rng.IntN(len(faults))]
				f(w, rng, shortest+time.Duration(rng.Int64N(int64(longestHold))))
			}
		})
	}
	wait.Wait()
}

func between(rng *rand.Rand, longest time.Duration) {
	time.Sleep(shortest + time.Duration(rng.Int64N(int64(longest))))
}

func (w *world) anyNode(rng *rand.Rand) *node { return w.nodes[rng.IntN(len(w.nodes))] }

// claim takes a random upstream for a fault; false if another fault has it.
func claim(rng *rand.Rand, of []*upstream) (*upstream, bool) {
	u := of[rng.IntN(len(of))]
	return u, u.busy.CompareAndSwap(false, true)
}

// anyUpstream claims an upstream of either service; the plain one's are few.
func (w *world) anyUpstream(rng *rand.Rand) (*upstream, bool) {
	if rng.IntN(2) == 0 {
		return claim(rng, w.desks)
	}
	return claim(rng, w.llms)
}

// during gives a node to a fault for its time, unless another one has it.
func (w *world) during(n *node, what string, planned bool, f func()) {
	if !n.exclusive.TryLock() {
		return
	}
	defer n.exclusive.Unlock()
	defer w.notes.begin(what, n, planned)()
	f()
}

func stopNode(w *world, rng *rand.Rand, hold time.Duration) {
	n := w.anyNode(rng)
	w.during(n, "stopped as planned", true, func() {
		n.end(syscall.SIGTERM)
		time.Sleep(hold / 4)
		n.start()
	})
}

func killNode(w *world, rng *rand.Rand, hold time.Duration) { w.kill(w.anyNode(rng), hold) }

func (w *world) kill(n *node, hold time.Duration) {
	w.during(n, "killed", false, func() {
		n.end(syscall.SIGKILL)
		time.Sleep(hold / 2)
		n.start()
	})
}

func killAllNodes(w *world, _ *rand.Rand, hold time.Duration) {
	var wait sync.WaitGroup
	for _, n := range w.nodes {
		wait.Go(func() {
			defer GinkgoRecover()
			w.kill(n, hold)
		})
	}
	wait.Wait()
}

func suspendNode(w *world, rng *rand.Rand, hold time.Duration) {
	n := w.anyNode(rng)
	w.during(n, "suspended", false, func() {
		n.signal(syscall.SIGSTOP)
		time.Sleep(hold)
		n.signal(syscall.SIGCONT)
	})
}

func hangUpNode(w *world, rng *rand.Rand, _ time.Duration) {
	n := w.anyNode(rng)
	w.during(n, "hung up", true, func() { n.signal(syscall.SIGHUP) })
}

// linkModes are the ways to harm a link.
var linkModes = []link.Mode{link.Refuse, link.Drop, link.DropToTarget, link.DropFromTarget}

// disturb harms a link for a while.
func disturb(rng *rand.Rand, k *link.Link, hold time.Duration) {
	switch rng.IntN(3) {
	case 0:
		k.SetDelay(time.Duration(10+rng.IntN(200)) * time.Millisecond)
		time.Sleep(hold)
		k.SetDelay(0)
	case 1:
		k.Reset()
	default:
		k.Set(linkModes[rng.IntN(len(linkModes))])
		time.Sleep(hold)
		k.Set(link.Pass)
	}
}

func cutFromStore(w *world, rng *rand.Rand, hold time.Duration) {
	n := w.anyNode(rng)
	// The node may hold the lease, so that all are concerned.
	end := w.notes.begin("cut "+n.name+" from the store", nil, false)
	w.config.publish()
	disturb(rng, n.toStore, hold)
	end()
}

func disturbFront(w *world, rng *rand.Rand, hold time.Duration) {
	n := w.anyNode(rng)
	end := w.notes.begin("callers' link disturbed", n, false)
	disturb(rng, n.inbound, hold)
	end()
}

// lapseAfter is how long the entry of a silent engine stays.
const lapseAfter = 1200 * time.Millisecond

func crashEngine(w *world, rng *rand.Rand, hold time.Duration) {
	u, ok := w.anyUpstream(rng)
	if !ok {
		return
	}
	defer u.busy.Store(false)
	end := w.notes.begin("crashed "+u.ID, nil, false)
	u.Crash()
	u.link.Set(link.Refuse)
	time.Sleep(hold)
	if hold > lapseAfter {
		u.Lapse()
	}
	u.link.Set(link.Pass)
	u.Restart()
	end()
}

func silenceEngine(w *world, rng *rand.Rand, hold time.Duration) {
	if u, ok := w.anyUpstream(rng); ok {
		w.silence(u, hold)
	}
}

func (w *world) silence(u *upstream, hold time.Duration) {
	defer u.busy.Store(false)
	end := w.notes.begin("silenced "+u.ID, nil, false)
	u.SetDark(true)
	u.link.Set(link.Drop)
	time.Sleep(min(hold, lapseAfter))
	if hold > lapseAfter {
		u.Lapse()
		time.Sleep(hold - lapseAfter)
	}
	u.link.Set(link.Pass)
	u.SetDark(false)
	end()
}

func silenceDomain(w *world, rng *rand.Rand, hold time.Duration) {
	domain := w.llms[rng.IntN(len(w.llms))].Domain()
	var wait sync.WaitGroup
	for _, u := range w.llms {
		if u.Domain() == domain && u.busy.CompareAndSwap(false, true) {
			wait.Go(func() { w.silence(u, hold) })
		}
	}
	wait.Wait()
}

func disturbUpstream(w *world, rng *rand.Rand, hold time.Duration) {
	u, ok := w.anyUpstream(rng)
	if !ok {
		return
	}
	defer u.busy.Store(false)
	defer w.notes.begin("link of "+u.ID+" disturbed", nil, false)()
	disturb(rng, u.link, hold)
}

// misbehaviours are the ways in which an engine may misbehave; lost answers come
// twice, because they alone show whether an unsafe request is repeated.
var misbehaviours = []standin.EngineFaults{
	{LoseAnswers: true}, {LoseAnswers: true}, {Fail: true}, {Extra: true}, {Cut: true}, {Shed: true}, {Slow: 150 * time.Millisecond},
}

func misbehave(w *world, rng *rand.Rand, hold time.Duration) {
	if u, ok := w.anyUpstream(rng); ok {
		w.spoil(u, misbehaviours[rng.IntN(len(misbehaviours))], hold)
	}
}

func lateOrders(w *world, rng *rand.Rand, hold time.Duration) {
	if u, ok := claim(rng, w.llms); ok {
		w.spoil(u, standin.EngineFaults{LateOrders: hold / 2}, hold)
	}
}

// spoil gives a claimed engine faults for a while.
func (w *world) spoil(u *upstream, how standin.EngineFaults, hold time.Duration) {
	defer u.busy.Store(false)
	defer w.notes.begin(fmt.Sprintf("%s misbehaves: %+v", u.ID, how), nil, false)()
	u.Set(how)
	time.Sleep(hold)
	u.Set(standin.EngineFaults{})
}

// leaveEngine lets an engine leave as planned; it comes back as a new one.
func leaveEngine(w *world, rng *rand.Rand, hold time.Duration) {
	u, ok := w.anyUpstream(rng)
	if !ok {
		return
	}
	defer u.busy.Store(false)
	end := w.notes.begin(u.ID+" leaves", nil, true)
	u.Drain()
	time.Sleep(drainBound + hold)
	gone := w.notes.begin(u.ID+" is gone", nil, false)
	u.Crash()
	u.Lapse()
	time.Sleep(hold / 2)
	u.Restart()
	gone()
	end()
}

func storeFault(f standin.StoreFaults) func(*world, *rand.Rand, time.Duration) {
	return func(w *world, _ *rand.Rand, hold time.Duration) {
		if !w.storeBusy.TryLock() {
			return
		}
		defer w.storeBusy.Unlock()
		end := w.notes.add(disturbance{what: fmt.Sprintf("store: %+v", f), storeAway: f.Down})
		w.fleet.Store.SetFaults(f)
		if f.Down {
			// A key that is taken away meanwhile must not be honoured for long.
			w.config.publish()
			time.Sleep(revokeBound)
		}
		time.Sleep(hold)
		w.fleet.Store.SetFaults(standin.StoreFaults{})
		end()
	}
}

func forgetHistory(w *world, _ *rand.Rand, _ time.Duration) {
	end := w.notes.begin("store forgets its history", nil, false)
	w.fleet.Store.Forget("keyed.servers")
	w.fleet.Store.Forget("keyed.op")
	end()
}

func publishSome(w *world, rng *rand.Rand, hold time.Duration) {
	for range 1 + rng.IntN(3) {
		w.config.publish()
		time.Sleep(hold / 4)
	}
}
