package formation

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/tamarackcleat/tamarackcleat/bootclock"
	"github.com/tamarackcleat/tamarackcleat/fleet"
)

const (
	// planInterval is the time between periodic planning rounds.
	planInterval = 100 * time.Millisecond
	// orderTimeout bounds the wait for the answer to an order. A VM may still
	// carry out an order that timed out.
	orderTimeout = time.Second
	// probeTimeout bounds the wait for the answer to a probe. VMs answer within
	// a few milliseconds.
	probeTimeout = 150 * time.Millisecond
	// delayMargin is how long after its timeout a call to send an order may
	// still return before it shows that this process was delayed, for lack of
	// processor time for example.
	delayMargin = 30 * time.Millisecond
	// minPlanGap is the shortest time between the end of a planning round and the next
	// round. What happens in between is planned together.
	minPlanGap = 15 * time.Millisecond
	// idlePerRound is how many times as long as the last round the pause before the next
	// one is at least. The node serves requests too, and a round of a large fleet takes
	// long on a small VM.
	idlePerRound = 4
)

// Sender sends orders to VMs. The fence is the fencing number of the order, the
// term of the control lease; a VM that checks it refuses orders of lower terms. An order
// is written only if permitted returns true once the VM is connected. Probes are not
// subject to it.
type Sender interface {
	Send(ctx context.Context, o Order, fence int64, permitted func() bool) Result
}

// Lease reports whether this node holds the control lease, which permits it to
// send orders, the lease's term, and when its claim was sent, by the boot clock. No other
// node has sent orders since then.
type Lease interface {
	Held() (term int64, held bool)
	ClaimedAt() time.Duration
}

// Driver runs a Planner and sends its orders while this node holds the control
// lease.
type Driver struct {
	Planner *Planner
	Sender  Sender
	Lease   Lease
	// View returns this node's current view of the deployment.
	View func() *fleet.View
	// ReportsVerifiedAt returns the time, by the boot clock, at which the read was sent
	// that proved the reports in the view to be current.
	ReportsVerifiedAt func() time.Duration
	// OnProbe is told whether the VM at an address has answered a probe. It returns false
	// if this node may be unable to reach any VM, so that a missing answer shows nothing.
	// nil stands for a function that returns true.
	OnProbe func(address string, answered bool) bool

	// changed signals that the view has changed since the last planning round.
	changed  chan struct{}
	results  chan outcome
	suspects chan string
	dead     atomic.Pointer[[]string]
	closing  atomic.Pointer[[]string]
}

// outcome is an order with its result.
type outcome struct {
	order  Order
	result Result
}

// queueLength is the capacity of each of the planner's two queues, for results
// of orders and for reports of suspected replicas.
const queueLength = 1024

// NewDriver returns a Driver, which does nothing until Run is called.
func NewDriver(p *Planner, s Sender, l Lease, view func() *fleet.View, reportsVerifiedAt func() time.Duration) *Driver {
	return &Driver{
		Planner:           p,
		Sender:            s,
		Lease:             l,
		View:              view,
		ReportsVerifiedAt: reportsVerifiedAt,
		changed:           make(chan struct{}, 1),
		results:           make(chan outcome, queueLength),
		suspects:          make(chan string, queueLength),
	}
}

// ReportSuspect reports that the replica with the given head makes no progress.
// It never blocks: if the queue is full, the report is dropped, because
// suspicions are reported again while the replica makes no progress.
func (d *Driver) ReportSuspect(head string) {
	select {
	case d.suspects <- head:
	default:
	}
}

// ViewChanged triggers a planning round after a change of the view. It never
// blocks.
func (d *Driver) ViewChanged() {
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

// Dead returns the VMs that don't answer probes or were evicted as slow. It
// returns nil unless this node holds the control lease.
func (d *Driver) Dead() []string { return d.publishedList(&d.dead) }

// Closing returns the heads of the replicas that are being dismantled. It
// returns nil unless this node holds the control lease.
func (d *Driver) Closing() []string { return d.publishedList(&d.closing) }

// publishedList returns a list that the planning loop stored last, or nil if
// this node does not hold the control lease.
func (d *Driver) publishedList(list *atomic.Pointer[[]string]) []string {
	if _, held := d.Lease.Held(); !held {
		return nil
	}
	if l := list.Load(); l != nil {
		return *l
	}
	return nil
}

// Run plans and sends orders until the context ends.
func (d *Driver) Run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	loop := planningLoop{Driver: d, next: time.NewTimer(0)}
	defer loop.next.Stop()
	for {
		var orders []Order
		select {
		case <-ctx.Done():
			return
		case <-d.changed:
			loop.requestRound()
		case <-ticker.C:
			loop.requestRound()
		case o := <-d.results:
			orders = d.Planner.HandleResult(bootclock.Now(), o.order, o.result)
			if d.Planner.NeedsReplan() {
				loop.requestRound()
			}
		case head := <-d.suspects:
			if current, held := d.Lease.Held(); held && current == loop.term {
				orders = d.Planner.ProbeMembers(bootclock.Now(), d.View(), head)
			}
		case <-loop.next.C:
			orders = loop.round()
		}
		for _, o := range orders {
			go d.send(ctx, o, loop.term)
		}
	}
}

// planningLoop is the state of Driver.Run.
type planningLoop struct {
	*Driver
	term int64
	// next fires when the requested round is due; requested says that one is.
	next      *time.Timer
	requested bool
	// earliest is when the next round may begin.
	earliest time.Time
	stats    roundStats
}

// requestRound makes a planning round begin as soon as the pause after the last one is over.
func (l *planningLoop) requestRound() {
	if !l.requested {
		l.requested = true
		l.next.Reset(time.Until(l.earliest))
	}
}

// round plans if this node holds the control lease.
func (l *planningLoop) round() []Order {
	l.requested = false
	current, held := l.Lease.Held()
	if !held {
		return nil
	}
	began := time.Now()
	if current != l.term {
		l.term = current
		l.Planner.Reset(current, l.Lease.ClaimedAt())
		l.stats = roundStats{}
	}
	// The view is at least as recent as the time that is read before it.
	verifiedAt := l.ReportsVerifiedAt()
	orders := l.Planner.Plan(bootclock.Now(), verifiedAt, l.View())
	dead, closing := l.Planner.Dead(), l.Planner.Closing()
	l.dead.Store(&dead)
	l.closing.Store(&closing)
	ended := time.Now()
	l.earliest = ended.Add(max(minPlanGap, idlePerRound*ended.Sub(began)))
	l.stats.record(l.Planner, began, ended)
	return orders
}

// send sends an order and queues its result. It drops the order if this node no
// longer holds the control lease with the given term.
func (d *Driver) send(ctx context.Context, o Order, term int64) {
	permitted := func() bool {
		current, held := d.Lease.Held()
		return held && current == term
	}
	if !permitted() {
		return
	}
	limit := orderTimeout
	if o.Kind == Probe {
		limit = probeTimeout
	}
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	started := time.Now()
	res := d.Sender.Send(bounded, o, term, permitted)
	res.ProcessDelayed = time.Since(started) > limit+delayMargin
	if o.Kind == Probe && d.OnProbe != nil {
		res.NodeUnreachable = !d.OnProbe(o.Address, res.Answered)
	}
	select {
	case d.results <- outcome{o, res}:
	case <-ctx.Done():
	}
}
