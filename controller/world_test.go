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

// step is the simulated time between two steps of the world.
const step = tickInterval

// world simulates the log, engine VMs and entry nodes under one clock, and
// injects faults.
type world struct {
	now     time.Time
	log     []record.Record
	logDown bool
	// duplicateAppends makes the log store each record twice, as happens when
	// the answer of an append is lost and the append is repeated.
	duplicateAppends bool
	engines          map[port.VMID]*engine
	nodes            []*node
	// loadTime is how long an engine loads the weights of a model.
	loadTime time.Duration
	// staleOrders names the VMs that obeyed an order of an older generation
	// than one that they had obeyed before.
	staleOrders []string
	// taken names the VMs that obeyed an order to join a replica while the replica
	// that they belonged to was live, by the whole log.
	taken []string
}

// engine is a simulated engine VM. An unreachable engine answers no order and
// sends no report.
type engine struct {
	vm                port.VM
	rep               port.Report
	unreachable       bool
	readyAt           time.Time
	highestGeneration int64
	// streams counts the streams in flight if the engine is rank 0; a leaving
	// engine becomes idle when there are none.
	streams int
	orders  []port.Order
}

// node is an entry node with its own copy of the ledger.
type node struct {
	svc     *Service
	control *ledger.Control
	// nextRead is the index of the first log record that the node has not read.
	nextRead int
	// paused says that the node handles no message.
	paused bool
	// cutVMs makes all VMs unreachable for the node's health checking.
	cutVMs bool
	// cutLog cuts the node off from the log: its appends wait, and its reads
	// hang, so that the node does not learn that it is behind.
	cutLog bool
	// orderDelay is the time from sending an order until it reaches its VM.
	orderDelay time.Duration
	// outbox holds the records that the node has not appended yet.
	outbox    []logfollow.AppendRecord
	inTransit []orderInTransit
	// sent holds all orders that the node sent.
	sent []SendOrder
	// replies holds the messages that are delivered to the node's service on
	// the next step.
	replies []kernel.Message
	// lastSeen holds the latest observation of each VM.
	lastSeen map[port.VMID]health.Observation
	caughtUp bool
}

// orderInTransit is an order that was sent and has not reached its VM.
type orderInTransit struct {
	SendOrder
	arrivesAt time.Time
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
	w.perform(n, n.svc.Start(w.now))
	w.perform(n, n.svc.Handle(w.now, configuration.Changed{Version: 1, Document: testDocument}))
	return n
}

// runUntil steps the world until the condition holds, for limit at most. It
// reports whether the condition held.
func (w *world) runUntil(limit time.Duration, until func() bool) bool {
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
		w.perform(n, n.svc.Handle(w.now, m))
	}
	n.replies = nil
	w.flush(n)
	n.caughtUp = !w.logDown
	if !w.logDown && !n.cutLog {
		w.readLog(n)
	}
	w.perform(n, n.svc.Handle(w.now, w.observe(n)))
	w.perform(n, n.svc.Handle(w.now, tick{}))
	w.flush(n)
}

// resume ends a node's pause. The overdue timer fires before the node reads
// anything new.
func (w *world) resume(n *node) {
	n.paused = false
	w.perform(n, n.svc.Handle(w.now, tick{}))
}

func (w *world) readLog(n *node) {
	for ; n.nextRead < len(w.log); n.nextRead++ {
		pos := record.At(int64(n.nextRead), 0)
		res := n.control.Apply(pos, w.log[n.nextRead])
		w.perform(n, n.svc.Handle(w.now, logfollow.RecordApplied{
			Stream: record.StreamControl, Position: pos, Record: w.log[n.nextRead], Result: res,
		}))
	}
}

// flush appends the node's waiting records to the log, or abandons those whose
// time to give up has passed.
func (w *world) flush(n *node) {
	waiting := n.outbox
	n.outbox = nil
	for _, a := range waiting {
		switch {
		case w.now.After(a.Deadline):
			w.perform(n, n.svc.Handle(w.now, logfollow.AppendAbandoned{Stream: a.Stream, Record: a.Record}))
		case w.logDown || n.cutLog:
			n.outbox = append(n.outbox, a)
		default:
			w.log = append(w.log, a.Record)
			if w.duplicateAppends {
				w.log = append(w.log, a.Record)
			}
		}
	}
}

// perform carries out the effects of a node's service.
func (w *world) perform(n *node, effects []kernel.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case kernel.Send:
			if a, ok := e.Msg.(logfollow.AppendRecord); ok {
				n.outbox = append(n.outbox, a)
			}
		case SendOrder:
			n.sent = append(n.sent, e)
			n.inTransit = append(n.inTransit, orderInTransit{SendOrder: e, arrivesAt: w.now.Add(n.orderDelay)})
		}
	}
}

func (w *world) deliverOrders(n *node) {
	var remaining []orderInTransit
	for _, f := range n.inTransit {
		if f.arrivesAt.After(w.now) {
			remaining = append(remaining, f)
			continue
		}
		n.replies = append(n.replies, OrderDone{VM: f.VM, Err: w.handleOrder(w.engines[f.VM], f.Order)})
	}
	n.inTransit = remaining
}

// handleOrder applies an order to an engine and returns the engine's answer.
func (w *world) handleOrder(e *engine, o port.Order) error {
	if e.unreachable {
		return fmt.Errorf("no answer")
	}
	if o.Generation < e.highestGeneration {
		if e.vm.ChecksFencing {
			return ErrStaleFencing
		}
		w.staleOrders = append(w.staleOrders, string(e.vm.ID))
	}
	e.highestGeneration = max(e.highestGeneration, o.Generation)
	e.orders = append(e.orders, o)
	if o.Verb == port.OrderLeave {
		e.rep.State = port.EngineLeaving
		return nil
	}
	w.checkFree(e, o)
	e.rep.Replica, e.rep.Generation, e.rep.Rank = o.Replica, o.Generation, o.Rank
	e.rep.State, e.rep.Model = port.EngineLoading, o.Model
	e.readyAt = w.now.Add(w.loadTime)
	return nil
}

// checkFree records an engine that belongs to a live replica in taken, if an order makes
// it join another one.
func (w *world) checkFree(e *engine, o port.Order) {
	if e.rep.Replica == "" || e.rep.Replica == o.Replica && e.rep.Generation == o.Generation {
		return
	}
	for _, r := range w.ledger().Replicas() {
		if inReplica(e.rep, r) {
			w.taken = append(w.taken, fmt.Sprintf("%s left live replica %s for %s", e.vm.ID, e.rep.Replica, o.Replica))
		}
	}
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

// restart resets an engine to the state of a new process with a new boot
// identifier. The highest fencing number that it has seen is lost too.
func (w *world) restart(id port.VMID) {
	e := w.engines[id]
	e.rep = port.Report{VM: id, Boot: e.rep.Boot + "+", State: port.EngineIdle}
	e.highestGeneration = 0
}

// observe returns what a node's health checking would report.
func (w *world) observe(n *node) health.Observed {
	var all []health.Observation
	for _, id := range slices.Sorted(maps.Keys(w.engines)) {
		e := w.engines[id]
		o := n.lastSeen[id]
		o.VM, o.Listed = e.vm, true
		if !e.unreachable && !n.cutVMs {
			o.Report, o.LastSeen = e.rep, w.now
			o.AsOf, o.ReportedBy, o.Source = w.now, w.now, n.svc.Node
		}
		n.lastSeen[id] = o
		all = append(all, o)
	}
	return health.Observed{VMs: all, Models: testModels}
}

// completeReplicas returns the live replicas whose VMs are all reachable and
// ready in the replica's generation.
func (w *world) completeReplicas() []ledger.Replica {
	return slices.DeleteFunc(w.ledger().Replicas(), func(r ledger.Replica) bool {
		return slices.ContainsFunc(r.VMs, func(id port.VMID) bool {
			e := w.engines[id]
			return e.unreachable || e.rep.State != port.EngineReady || !inReplica(e.rep, r)
		})
	})
}

// ledger returns a copy of the ledger that has read the whole log.
func (w *world) ledger() *ledger.Control {
	control := ledger.NewControl()
	for i, r := range w.log {
		control.Apply(record.At(int64(i), 0), r)
	}
	return control
}

// hasComplete returns the condition that exactly n replicas are complete.
func (w *world) hasComplete(n int) func() bool {
	return func() bool { return len(w.completeReplicas()) == n }
}

// holder returns the first node that holds a lease by its own copy of the ledger
// and its own clock, nil if none does.
func (w *world) holder() *node {
	for _, n := range w.nodes {
		if n.svc.holdsLease() && n.svc.lease.valid(w.now) {
			return n
		}
	}
	return nil
}
