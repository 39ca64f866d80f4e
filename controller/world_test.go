package controller

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tamarackcleat/tamarackcleat/config/dynamic"
	"github.com/tamarackcleat/tamarackcleat/configuration"
	"github.com/tamarackcleat/tamarackcleat/health"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/ledger"
	"github.com/tamarackcleat/tamarackcleat/logfollow"
	"github.com/tamarackcleat/tamarackcleat/placement"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
)

// step is the time between two steps of the world.
const step = tickEvery

// world is a log, engine VMs and nodes under one clock, with fault switches.
type world struct {
	now     time.Time
	log     []record.Record
	logDown bool
	// twice appends each record twice, as after a lost answer.
	twice   bool
	engines map[port.VMID]*engine
	nodes   []*node
	// loadTime is how long an engine loads.
	loadTime time.Duration
	// stale notes orders obeyed after a later generation.
	stale []string
}

// engine is a fake engine VM.
type engine struct {
	vm      port.VM
	rep     port.Report
	dark    bool
	readyAt time.Time
	highest int64
	// streams is the number of streams in flight at rank 0.
	streams int
	orders  []port.Order
}

// node is an entry node with its own ledger.
type node struct {
	svc     *Service
	control *ledger.Control
	read    int
	paused  bool
	cutVMs  bool
	// cutLog loses appends and hangs reads, so that the node still believes
	// that it has read everything.
	cutLog bool
	// orderDelay is how long the node's orders travel.
	orderDelay time.Duration
	outbox     []logfollow.Append
	traffic    []flight
	sent       []SendOrder
	replies    []kernel.Message
	lastSeen   map[port.VMID]health.Observation
	caughtUp   bool
}

// flight is an order on its way.
type flight struct {
	SendOrder
	arrives time.Time
}

// CaughtUp implements Log.
func (n *node) CaughtUp(string) bool { return n.caughtUp }

func newWorld(nodes int, domains ...int) *world {
	w := &world{
		now:      time.Unix(1_000_000, 0),
		engines:  map[port.VMID]*engine{},
		loadTime: 2 * time.Second,
	}
	for d, size := range domains {
		name := string(rune('a' + d))
		for i := range size {
			id := port.VMID(fmt.Sprintf("%s-%d", name, i+1))
			w.engines[id] = &engine{
				vm: port.VM{
					ID: id, Kind: port.KindEngine, Address: string(id),
					Domain: name, Zone: fmt.Sprint("z", d%3), ChecksFencing: true,
				},
				rep: port.Report{VM: id, Boot: "1", State: port.EngineIdle},
			}
		}
	}
	for range nodes {
		w.addNode()
	}
	return w
}

var (
	testModels = port.ModelList{
		Models:         []port.Model{{Name: "draft", VMsPerReplica: 4, WeightBytes: 1 << 30}},
		BytesPerSecond: 1 << 30,
	}
	testDocument = &dynamic.Document{Classes: []dynamic.Class{{Name: "drafting", Kind: dynamic.KindGenerate, Model: "draft"}}}
)

func (w *world) addNode() *node {
	n := &node{control: ledger.NewControl(), lastSeen: map[port.VMID]health.Observation{}, caughtUp: true}
	id := len(w.nodes) + 1
	ids := 0
	n.svc = New(Settings{
		Node: record.NodeID(fmt.Sprint("node-", id)), Control: n.control, Log: n,
		Policy: placement.DefaultPolicy(), Rand: rand.New(rand.NewPCG(1, uint64(id))),
		NewID: func() string { ids++; return fmt.Sprint(id, "/", ids) },
	})
	w.nodes = append(w.nodes, n)
	w.take(n, n.svc.Start(w.now))
	w.take(n, n.svc.Handle(w.now, configuration.Changed{Version: 1, Document: testDocument}))
	return n
}

// run steps the world until the condition holds; it returns whether it did
// within the limit.
func (w *world) run(limit time.Duration, until func() bool) bool {
	for end := w.now.Add(limit); w.now.Before(end); {
		if until() {
			return true
		}
		w.step()
	}
	return until()
}

func (w *world) step() {
	w.now = w.now.Add(step)
	w.stepEngines()
	for _, n := range w.nodes {
		w.deliverOrders(n)
		if !n.paused {
			w.stepNode(n)
		}
	}
}

func (w *world) stepNode(n *node) {
	for _, m := range n.replies {
		w.take(n, n.svc.Handle(w.now, m))
	}
	n.replies = nil
	w.flush(n)
	n.caughtUp = !w.logDown
	if !w.logDown && !n.cutLog {
		w.readLog(n)
	}
	w.take(n, n.svc.Handle(w.now, w.observe(n)))
	w.take(n, n.svc.Handle(w.now, tick{}))
	w.flush(n)
}

// resume ends a pause: timers fire before anything new is read.
func (w *world) resume(n *node) {
	n.paused = false
	w.take(n, n.svc.Handle(w.now, tick{}))
}

func (w *world) readLog(n *node) {
	for ; n.read < len(w.log); n.read++ {
		pos := record.At(int64(n.read), 0)
		res := n.control.Apply(pos, w.log[n.read])
		w.take(n, n.svc.Handle(w.now, logfollow.Applied{
			Stream: record.StreamControl, Position: pos, Record: w.log[n.read], Result: res,
		}))
	}
}

// flush appends what waits, or gives it up.
func (w *world) flush(n *node) {
	waiting := n.outbox
	n.outbox = nil
	for _, a := range waiting {
		switch {
		case w.now.After(a.GiveUp):
			w.take(n, n.svc.Handle(w.now, logfollow.Abandoned{Stream: a.Stream, Record: a.Record}))
		case w.logDown || n.cutLog:
			n.outbox = append(n.outbox, a)
		default:
			w.log = append(w.log, a.Record)
			if w.twice {
				w.log = append(w.log, a.Record)
			}
		}
	}
}

// take performs a node's effects.
func (w *world) take(n *node, effects []kernel.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case kernel.Send:
			if a, ok := e.Msg.(logfollow.Append); ok {
				n.outbox = append(n.outbox, a)
			}
		case SendOrder:
			n.sent = append(n.sent, e)
			n.traffic = append(n.traffic, flight{SendOrder: e, arrives: w.now.Add(n.orderDelay)})
		}
	}
}

func (w *world) deliverOrders(n *node) {
	var later []flight
	for _, f := range n.traffic {
		if f.arrives.After(w.now) {
			later = append(later, f)
			continue
		}
		n.replies = append(n.replies, OrderDone{VM: f.VM, Err: w.obey(w.engines[f.VM], f.Order)})
	}
	n.traffic = later
}

// obey is the engine's part of an order.
func (w *world) obey(e *engine, o port.Order) error {
	if e.dark {
		return fmt.Errorf("no answer")
	}
	if o.Generation < e.highest {
		if e.vm.ChecksFencing {
			return ErrStaleFencing
		}
		w.stale = append(w.stale, string(e.vm.ID))
	}
	e.highest = max(e.highest, o.Generation)
	e.orders = append(e.orders, o)
	if o.Verb == port.OrderLeave {
		e.rep.State = port.EngineLeaving
		return nil
	}
	e.rep.Replica, e.rep.Generation, e.rep.Rank = o.Replica, o.Generation, o.Rank
	e.rep.State, e.rep.Model = port.EngineLoading, o.Model
	e.readyAt = w.now.Add(w.loadTime)
	return nil
}

func (w *world) stepEngines() {
	for _, e := range w.engines {
		switch {
		case e.rep.State == port.EngineLoading && !w.now.Before(e.readyAt):
			e.rep.State = port.EngineReady
			e.rep.HeldWeights = []string{e.rep.Model}
		case e.rep.State == port.EngineLeaving && e.streams == 0:
			e.rep.State, e.rep.Replica, e.rep.Generation, e.rep.Rank = port.EngineIdle, "", 0, 0
		}
	}
}

// restart makes an engine forget everything, as a new process.
func (w *world) restart(id port.VMID) {
	e := w.engines[id]
	e.rep = port.Report{VM: id, Boot: e.rep.Boot + "+", State: port.EngineIdle}
	e.highest = 0
}

// observe returns what a node's health checking would say.
func (w *world) observe(n *node) health.Observed {
	var all []health.Observation
	for _, id := range slices.Sorted(maps.Keys(w.engines)) {
		e := w.engines[id]
		o := n.lastSeen[id]
		o.VM, o.Listed = e.vm, true
		if !e.dark && !n.cutVMs {
			o.Report, o.LastSeen = e.rep, w.now
		}
		n.lastSeen[id] = o
		all = append(all, o)
	}
	return health.Observed{VMs: all, Models: testModels}
}

// complete returns the live replicas whose VMs all report them as ready.
func (w *world) complete() []ledger.Replica {
	control := ledger.NewControl()
	for i, r := range w.log {
		control.Apply(record.At(int64(i), 0), r)
	}
	return slices.DeleteFunc(control.Replicas(), func(r ledger.Replica) bool {
		return slices.ContainsFunc(r.VMs, func(id port.VMID) bool {
			e := w.engines[id]
			return e.dark || e.rep.State != port.EngineReady || !inReplica(e.rep, r)
		})
	})
}

// serves is a condition: so many replicas are complete.
func (w *world) serves(n int) func() bool {
	return func() bool { return len(w.complete()) == n }
}

// holder returns the node that holds the lease by the log, nil if none does.
func (w *world) holder() *node {
	for _, n := range w.nodes {
		if n.svc.holds() && n.svc.lease.valid(w.now) {
			return n
		}
	}
	return nil
}
