package formation

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/tamarackcleat/tamarackcleat/bootclock"
	"github.com/tamarackcleat/tamarackcleat/fleet"
)

const (
	// planEvery is the time between two plans.
	planEvery = 100 * time.Millisecond
	// orderTimeout bounds an order. One without an answer may still be
	// carried out.
	orderTimeout = time.Second
	// probeTimeout bounds a probe; VMs answer within a few milliseconds.
	probeTimeout = 150 * time.Millisecond
	// lateBy is the time beyond its limit after which an order's end shows
	// that this process was held up.
	lateBy = 30 * time.Millisecond
	// planGap separates plans, so that changes that come together are
	// planned together.
	planGap = 15 * time.Millisecond
)

// Sender sends orders. The fence is the term of the lease; a VM that checks it
// refuses orders of lower terms.
type Sender interface {
	Send(ctx context.Context, o Order, fence int64) Result
}

// Lease says whether this node may give orders, and under which term.
type Lease interface {
	Held() (term int64, held bool)
}

// Driver runs a planner while this node holds the control lease.
type Driver struct {
	Planner *Planner
	Sender  Sender
	Lease   Lease
	// View returns what the node believes now.
	View func() *fleet.View

	// changed holds a signal that the view has changed since the last plan.
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

// pendingResults bounds results and suspicions that wait for the planner.
const pendingResults = 1024

// NewDriver returns a driver that is not running yet.
func NewDriver(p *Planner, s Sender, l Lease, view func() *fleet.View) *Driver {
	return &Driver{
		Planner:  p,
		Sender:   s,
		Lease:    l,
		View:     view,
		changed:  make(chan struct{}, 1),
		results:  make(chan outcome, pendingResults),
		suspects: make(chan string, pendingResults),
	}
}

// Suspect reports that a replica's head stands still. It never blocks: a
// suspicion that finds no room comes again.
func (d *Driver) Suspect(head string) {
	select {
	case d.suspects <- head:
	default:
	}
}

// Changed says that the view has changed, so that a plan need not wait. It never
// blocks.
func (d *Driver) Changed() {
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

// Dead returns the VMs that don't answer this node, if it gives the orders.
func (d *Driver) Dead() []string { return d.told(&d.dead) }

// Closing returns the heads of replicas that are being ended, if this node gives
// the orders.
func (d *Driver) Closing() []string { return d.told(&d.closing) }

// told returns a list of the last plan while this node holds the lease.
func (d *Driver) told(list *atomic.Pointer[[]string]) []string {
	if _, held := d.Lease.Held(); !held {
		return nil
	}
	if l := list.Load(); l != nil {
		return *l
	}
	return nil
}

// Run plans until the context ends.
func (d *Driver) Run(ctx context.Context) {
	t := time.NewTicker(planEvery)
	defer t.Stop()
	term := int64(0)
	planned := time.Time{}
	plan := func() []Order {
		now, held := d.Lease.Held()
		if !held {
			return nil
		}
		planned = time.Now()
		if now != term {
			term = now
			d.Planner.Reset(term)
		}
		return d.Planner.Plan(bootclock.Now(), d.View())
	}
	for {
		var orders []Order
		select {
		case <-ctx.Done():
			return
		case <-d.changed:
			time.Sleep(planGap - time.Since(planned))
			orders = plan()
		case o := <-d.results:
			orders = d.Planner.Done(bootclock.Now(), o.order, o.result)
			if d.Planner.Changed() {
				orders = append(orders, plan()...)
			}
		case head := <-d.suspects:
			if now, held := d.Lease.Held(); held && now == term {
				orders = d.Planner.Suspect(bootclock.Now(), d.View(), head)
			}
		case <-t.C:
			orders = plan()
		}
		dead, closing := d.Planner.Dead(), d.Planner.Closing()
		d.dead.Store(&dead)
		d.closing.Store(&closing)
		for _, o := range orders {
			go d.send(ctx, o, term)
		}
	}
}

// send sends an order if the lease still holds.
func (d *Driver) send(ctx context.Context, o Order, term int64) {
	if now, held := d.Lease.Held(); !held || now != term {
		return
	}
	limit := orderTimeout
	if o.Kind == Probe {
		limit = probeTimeout
	}
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	started := time.Now()
	res := d.Sender.Send(bounded, o, term)
	res.Late = time.Since(started) > limit+lateBy
	select {
	case d.results <- outcome{o, res}:
	case <-ctx.Done():
	}
}
