// Package bench compares policies for routing, admission and retries in a
// simulation. It runs the services of entry VMs against simulated engines. An
// engine has a request queue, a continuous batch and a prompt cache, and its
// load and cache reports arrive late. The same seed gives the same result.
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
	// zones is the number of availability zones, domains the number of fabric
	// domains.
	zones   = 3
	domains = 5
	// reportPeriod is the time between two reports of an engine, reportDelay
	// the time that a report takes to reach the nodes.
	reportPeriod = time.Second
	reportDelay  = 500 * time.Millisecond
	// cacheReportLossShare is the share of cache reports that are lost.
	cacheReportLossShare = 0.02
	// sharePeriod is the time between updates of each node's share of the
	// engines' batch slots.
	sharePeriod = 200 * time.Millisecond
	// healthDelay is the time until the nodes learn that an engine has crashed
	// or restarted.
	healthDelay = 3 * time.Second
	// drainTime is how long a run continues after the last arrival. It exceeds
	// the longest caller timeout, so that every request ends within the run.
	drainTime = 13 * time.Minute
)

// Scenario describes one simulation run.
type Scenario struct {
	// Name is the name of the suite that the run belongs to.
	Name string
	// Policy names the compared policy in results.
	Policy string
	// Deployment defines the engines and the traffic.
	Deployment Deployment
	// Nodes is the number of entry VMs.
	Nodes int
	// Seed initializes every random generator of the run.
	Seed uint64
	// Warmup is the time at the start of the run whose requests are left out of
	// the result. Length is the time during which requests arrive, Warmup
	// included.
	Warmup, Length time.Duration
	// Fill is the offered load of the engines for long generations, as a
	// fraction of their batch slots.
	Fill float64
	// DeskFill is the offered load of the desk model's engines, as a fraction
	// of their slots.
	DeskFill float64
	// Routing, Admission and Retry are the names of the policies that the
	// nodes use.
	Routing, Admission, Retry string
	// KeepStragglers disables the ejection of slow engines.
	KeepStragglers bool
	// Capacity selects how a node's share of the slots is computed. Empty means
	// CapacityRouter.
	Capacity string
	// Skewed sends twice as many requests to the first node as to each of the
	// other nodes.
	Skewed bool
	// SubsetSize is the maximum number of engines that a node sends requests
	// to. 0 means the router's default.
	SubsetSize int
	// faults are the faults injected during the run.
	faults []fault
}

// Values of Scenario.Capacity.
const (
	// CapacityRouter uses the share that the router service computes.
	CapacityRouter = "router"
	// CapacityEqual divides the slots equally among the nodes.
	CapacityEqual = "equal"
	// CapacityMargin gives each node 1.5 times an equal share.
	CapacityMargin = "margin-1.5"
)

// capacityMargin is the factor by which CapacityMargin exceeds an equal share.
const capacityMargin = 1.5

// fault is a change to the engines at a time after the start of the run.
type fault struct {
	at    time.Duration
	apply func(w *world)
}

// world is the state of one simulation run.
type world struct {
	scenario Scenario
	loop     *loop
	rng      *rand.Rand
	engines  []*engine
	byID     map[string]*engine
	nodes    []*node
	report   *recorder
}

// Run simulates a scenario and returns its measurements. It fails if the
// routing policy is unknown.
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
	w.loop.every(sharePeriod, sharePeriod, w.updateShares)
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

// announce sends the list of running engines to every node and updates the
// nodes' shares of the slots.
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
	w.updateShares()
}

// updateShares sets the capacity of each node's admission policy to the node's
// share of the slots of each model.
func (w *world) updateShares() {
	for _, n := range w.nodes {
		for _, f := range w.scenario.Deployment.fleets {
			n.admitter.setCapacity(f.model, w.share(n, f.model))
		}
	}
}

// share returns a node's share of a model's slots, in slots.
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

// drawNode returns a random node for a request to arrive at.
func (w *world) drawNode(rng *rand.Rand) *node {
	if !w.scenario.Skewed {
		return w.nodes[rng.IntN(len(w.nodes))]
	}
	return w.nodes[max(0, rng.IntN(len(w.nodes)+1)-1)]
}

// scheduleReports makes each engine send its load and cache events to all nodes
// periodically. The engines report at different moments of the period.
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
	lost := w.rng.Float64() < cacheReportLossShare
	w.loop.after(reportDelay, func() {
		for _, n := range w.nodes {
			n.router.Handle(w.loop.now, load)
			if !lost {
				n.router.Handle(w.loop.now, cache)
			}
		}
	})
}

// scheduleTraffic starts the arrivals of each model's requests. Each request
// arrives at a random node.
func (w *world) scheduleTraffic() {
	for i, f := range w.scenario.Deployment.fleets {
		fill := w.scenario.Fill
		if i > 0 {
			fill = w.scenario.DeskFill
		}
		rng := rand.New(rand.NewPCG(w.scenario.Seed, 1<<32+uint64(i)))
		t := w.scenario.Deployment.traffic(f, w.scenario.Deployment.arrivals(f, fill), rng)
		w.scheduleNextArrival(t)
	}
}

func (w *world) scheduleNextArrival(t *traffic) {
	w.loop.after(t.interarrivalTime(), func() {
		if w.loop.now.After(epoch.Add(w.scenario.Length)) {
			return
		}
		w.drawNode(t.rng).serve(t.draw(w.loop.now))
		w.scheduleNextArrival(t)
	})
}

// crash stops engines. The nodes learn of it after healthDelay.
func (w *world) crash(engines []*engine) {
	for _, e := range engines {
		e.crash()
	}
	w.loop.after(healthDelay, w.announce)
}

// restart starts crashed engines again. The nodes learn of it after healthDelay.
func (w *world) restart(engines []*engine) {
	for _, e := range engines {
		e.restart()
	}
	w.loop.after(healthDelay, w.announce)
}

// largeModelEnginesIn returns the engines in a fabric domain that serve the
// deployment's first model, the one for long generations.
func (w *world) largeModelEnginesIn(domain int) []*engine {
	var found []*engine
	for _, e := range w.engines {
		if e.domain == domain && e.upstream.Pool == w.scenario.Deployment.fleets[0].model {
			found = append(found, e)
		}
	}
	return found
}
