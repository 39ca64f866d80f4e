package bench

import (
	"container/list"
	"time"

	"github.com/tamarackcleat/tamarackcleat/admission"
	"github.com/tamarackcleat/tamarackcleat/config/dynamic"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// Names of the admission policies.
const (
	// AdmissionTargets is the service "admission".
	AdmissionTargets = "targets"
	// AdmissionFIFO is one shared queue per pool, served in order of arrival.
	AdmissionFIFO = "fifo"
	// AdmissionNone lets every request through.
	AdmissionNone = "none"
)

// outcome takes the decision on a request: its priority, or a refusal.
type outcome func(priority int, refusal *verdict.Error)

// door is an admission policy of one node.
type door interface {
	capacity(pool string, slots int)
	arrive(r *request, decide outcome)
	done(r *request, service time.Duration)
	cancel(r *request)
}

func newDoor(name string, l *loop, classes []dynamic.Class) door {
	switch name {
	case AdmissionFIFO:
		return &fifoDoor{pools: map[string]*fifoPool{}, waiting: map[string]*list.Element{}}
	case AdmissionNone:
		return openDoor{}
	}
	d := &serviceDoor{loop: l, service: admission.New(nil), asks: map[kernel.AskID]outcome{}}
	d.send(admission.Configure{Classes: classes})
	return d
}

// serviceDoor drives the service "admission".
type serviceDoor struct {
	loop    *loop
	service *admission.Service
	asks    map[kernel.AskID]outcome
	next    kernel.AskID
}

func (d *serviceDoor) send(m kernel.Message) {
	for _, e := range d.service.Handle(d.loop.now, m) {
		switch e := e.(type) {
		case kernel.SetTimer:
			d.loop.after(e.After, func() { d.send(e.Msg) })
		case kernel.Reply:
			d.reply(e)
		}
	}
}

func (d *serviceDoor) reply(e kernel.Reply) {
	decide := d.asks[e.ID]
	delete(d.asks, e.ID)
	d.loop.after(0, func() {
		switch m := e.Msg.(type) {
		case admission.Admitted:
			decide(m.Priority, nil)
		case *verdict.Error:
			decide(0, m)
		}
	})
}

func (d *serviceDoor) capacity(pool string, slots int) {
	d.send(admission.Capacity{Pool: pool, Slots: slots})
}

func (d *serviceDoor) arrive(r *request, decide outcome) {
	d.next++
	d.asks[d.next] = decide
	d.send(admission.Arrive{Ask: d.next, RequestID: r.id, Class: r.kind.class.Name, Team: r.team})
}

func (d *serviceDoor) done(r *request, service time.Duration) {
	d.send(admission.Done{RequestID: r.id, Service: service})
}

func (d *serviceDoor) cancel(r *request) { d.send(admission.Cancel{RequestID: r.id}) }

// openDoor admits every request at once.
type openDoor struct{}

func (openDoor) capacity(string, int) {}

func (openDoor) arrive(_ *request, decide outcome) { decide(0, nil) }

func (openDoor) done(*request, time.Duration) {}

func (openDoor) cancel(*request) {}

// fifoDoor has one queue per pool and refuses nothing.
type fifoDoor struct {
	pools   map[string]*fifoPool
	waiting map[string]*list.Element
}

// fifoPool is the queue of one pool.
type fifoPool struct {
	slots, running int
	queue          list.List
}

// fifoWaiter is a waiting request.
type fifoWaiter struct {
	request *request
	decide  outcome
}

func (d *fifoDoor) pool(name string) *fifoPool {
	p, ok := d.pools[name]
	if !ok {
		p = &fifoPool{}
		d.pools[name] = p
	}
	return p
}

func (d *fifoDoor) capacity(pool string, slots int) {
	p := d.pool(pool)
	p.slots = slots
	d.dispatch(p)
}

func (d *fifoDoor) arrive(r *request, decide outcome) {
	p := d.pool(r.kind.class.Model)
	d.waiting[r.id] = p.queue.PushBack(fifoWaiter{request: r, decide: decide})
	d.dispatch(p)
}

func (d *fifoDoor) done(r *request, _ time.Duration) {
	p := d.pool(r.kind.class.Model)
	p.running--
	d.dispatch(p)
}

func (d *fifoDoor) cancel(r *request) {
	p := d.pool(r.kind.class.Model)
	if e, ok := d.waiting[r.id]; ok {
		p.queue.Remove(e)
		delete(d.waiting, r.id)
		return
	}
	p.running--
	d.dispatch(p)
}

func (d *fifoDoor) dispatch(p *fifoPool) {
	for p.running < p.slots && p.queue.Len() > 0 {
		w := p.queue.Remove(p.queue.Front()).(fifoWaiter)
		delete(d.waiting, w.request.id)
		p.running++
		w.decide(0, nil)
	}
}
