// Package bench measures the request policy. It drives the services of the
// daemons against fake engines in simulated time: each engine is a queue before
// a continuous batch with a prompt cache and lagging reports. The same seed
// gives the same result.
package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/tamarackcleat/tamarackcleat/balance"
	"github.com/tamarackcleat/tamarackcleat/router"
)

const (
	// zones is the number of availability zones and domains that of fabric
	// domains.
	zones   = 3
	domains = 5
	// reportPeriod is the time between reports and reportDelay the time
	// until a report arrives.
	reportPeriod = time.Second
	reportDelay  = 500 * time.Millisecond
	// gapShare is the part of cache reports that lose events.
	gapShare = 0.02
	// sharePeriod is the time between updates of the nodes' shares.
	sharePeriod = 200 * time.Millisecond
	// healthDelay is the time until nodes know that an engine is gone or back.
	healthDelay = 3 * time.Second
	// drainTime is how long a run goes on after the last arrival.
	drainTime = 13 * time.Minute
)

// Scenario is one run.
type Scenario struct {
	// Name says what is measured.
	Name string
	// Policy names the compared policy in results.
	Policy string
	// Deployment gives engines and traffic.
	Deployment Deployment
	// Nodes is the number of entry VMs.
	Nodes int
	// Seed makes the run repeatable.
	Seed uint64
	// Warmup is the time before requests count, Length the time of arrivals.
	Warmup, Length time.Duration
	// Fill is the offered load as a part of all slots.
	Fill float64
	// DeskFill is the offered load of the desk's engines.
	DeskFill float64
	// Routing, Admission and Retry name the policies.
	Routing, Admission, Retry string
	// KeepStragglers turns the ejection of stragglers off.
	KeepStragglers bool
	// Capacity names how a node's share of the slots is worked out; empty
	// stands for CapacityRouter.
	Capacity string
	// Skewed sends twice as many requests to the first node as to another.
	Skewed bool
	// SubsetSize bounds the engines per node; 0 stands for the default.
	SubsetSize int
	// faults happen during the run.
	faults []fault
}

// Names of the ways to work out a node's share of the slots.
const (
	// CapacityRouter asks the service "router".
	CapacityRouter = "router"
	// CapacityEqual divides the slots by the nodes.
	CapacityEqual = "equal"
	// CapacityMargin gives half as much again as an equal part.
	CapacityMargin = "margin-1.5"
)

// capacityMargin is the margin of CapacityMargin.
const capacityMargin = 1.5

// fault is something that happens to the engines.
type fault struct {
	at    time.Duration
	apply func(w *world)
}

// world is the state of one run.
type world struct {
	scenario Scenario
	loop     *loop
	rng      *rand.Rand
	engines  []*engine
	byID     map[string]*engine
	nodes    []*node
	report   *recorder
}

// Run performs a scenario.
func Run(s Scenario) (Result, error) {
	l := newLoop()
	w := &world{
		scenario: s, loop: l, rng: rand.New(rand.NewPCG(s.Seed, 0)), byID: map[string]*engine{},
		report: newRecorder(s, l),
	}
	w.addEngines()
	for i := range s.Nodes {
		n, err := newNode(l, s, i, w.report, w.byID)
		if err != nil {
			return Result{}, err
		}
		w.nodes = append(w.nodes, n)
	}
	w.announce()
	w.loop.every(sharePeriod, sharePeriod, w.shareCapacity)
	w.scheduleReports()
	w.scheduleTraffic()
	for _, f := range s.faults {
		l.after(f.at, func() { f.apply(w) })
	}
	l.run(epoch.Add(s.Length + drainTime))
	return w.report.result(w), nil
}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i%zones) }

func nodeName(i int) string { return fmt.Sprintf("node-%d", i) }

func (w *world) addEngines() {
	for _, f := range w.scenario.Deployment.fleets {
		for i := range f.engines {
			u := balance.Upstream{
				ID: fmt.Sprintf("%s-%03d", f.model, i), Generation: 1, Pool: f.model,
				Zone: zoneName(i), Slots: engineSlots,
			}
			e := newEngine(w.loop, u, i%domains)
			w.engines = append(w.engines, e)
			w.byID[u.ID] = e
		}
	}
}

// announce tells the nodes which engines are up.
func (w *world) announce() {
	var up []balance.Upstream
	for _, e := range w.engines {
		if !e.down {
			up = append(up, e.upstream)
		}
	}
	for _, n := range w.nodes {
		n.router.Handle(w.loop.now, router.NodesChanged{Nodes: len(w.nodes)})
		n.router.Handle(w.loop.now, router.UpstreamsChanged{Upstreams: up})
	}
	w.shareCapacity()
}

// shareCapacity tells each node's admission its share of the slots.
func (w *world) shareCapacity() {
	for _, n := range w.nodes {
		for _, f := range w.scenario.Deployment.fleets {
			n.door.capacity(f.model, w.share(n, f.model))
		}
	}
}

// share returns a node's share of a model's slots.
func (w *world) share(n *node, model string) int {
	if w.scenario.Capacity == "" || w.scenario.Capacity == CapacityRouter {
		return n.router.Share(w.loop.now, model)
	}
	slots := 0
	for _, e := range w.engines {
		if !e.down && e.upstream.Pool == model {
			slots += e.upstream.Slots
		}
	}
	equal := float64(slots) / float64(len(w.nodes))
	if w.scenario.Capacity == CapacityMargin {
		equal *= capacityMargin
	}
	return int(math.Ceil(equal))
}

// drawNode draws the node that a request arrives at.
func (w *world) drawNode(rng *rand.Rand) *node {
	if !w.scenario.Skewed {
		return w.nodes[rng.IntN(len(w.nodes))]
	}
	return w.nodes[max(0, rng.IntN(len(w.nodes)+1)-1)]
}

// scheduleReports sends each engine's load and cache events to the nodes.
func (w *world) scheduleReports() {
	for i, e := range w.engines {
		offset := reportPeriod * time.Duration(i) / time.Duration(len(w.engines))
		w.loop.every(offset, reportPeriod, func() { w.sendReport(e) })
	}
}

func (w *world) sendReport(e *engine) {
	if e.down {
		return
	}
	running, queued := e.load()
	load := router.LoadReported{ID: e.upstream.ID, Running: running, Queued: queued, LoadAt: w.loop.now}
	cache := router.CacheEvents{ID: e.upstream.ID, Boot: fmt.Sprint(e.boot), Events: e.events}
	e.events = nil
	lost := w.rng.Float64() < gapShare
	w.loop.after(reportDelay, func() {
		for _, n := range w.nodes {
			n.router.Handle(w.loop.now, load)
			if !lost {
				n.router.Handle(w.loop.now, cache)
			}
		}
	})
}

// scheduleTraffic draws requests and gives each to a random node.
func (w *world) scheduleTraffic() {
	for i, f := range w.scenario.Deployment.fleets {
		fill := w.scenario.Fill
		if i > 0 {
			fill = w.scenario.DeskFill
		}
		rng := rand.New(rand.NewPCG(w.scenario.Seed, 1<<32+uint64(i)))
		t := w.scenario.Deployment.traffic(f, w.scenario.Deployment.arrivals(f, fill), rng)
		w.arriveNext(t)
	}
}

func (w *world) arriveNext(t *traffic) {
	w.loop.after(t.gap(), func() {
		if w.loop.now.After(epoch.Add(w.scenario.Length)) {
			return
		}
		w.drawNode(t.rng).serve(t.draw(w.loop.now))
		w.arriveNext(t)
	})
}

// crash stops engines; nodes learn of it later.
func (w *world) crash(engines []*engine) {
	for _, e := range engines {
		e.crash()
	}
	w.loop.after(healthDelay, w.announce)
}

// restart brings engines back; nodes learn of it later.
func (w *world) restart(engines []*engine) {
	for _, e := range engines {
		e.restart()
	}
	w.loop.after(healthDelay, w.announce)
}

// inDomain returns the engines of the large fleet in a fabric domain.
func (w *world) inDomain(domain int) []*engine {
	var found []*engine
	for _, e := range w.engines {
		if e.domain == domain && e.upstream.Pool == w.scenario.Deployment.fleets[0].model {
			found = append(found, e)
		}
	}
	return found
}
