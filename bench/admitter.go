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
	// AdmissionTargets uses the admission service, which decides by the
	// classes' targets.
	AdmissionTargets = "targets"
	// AdmissionFIFO keeps one queue for each pool of engines and admits
	// requests in order of arrival.
	AdmissionFIFO = "fifo"
	// AdmissionNone admits every request at once.
	AdmissionNone = "none"
)

// decisionFunc receives the admission decision for a request. If refusal is nil,
// the request is admitted with the priority.
type decisionFunc func(priority int, refusal *verdict.Error)

// admitter is the admission policy of one node. setCapacity sets the number of
// slots that the node may use in a pool, done reports an admitted request that
// has ended, and cancel withdraws a request, whether it waits or was admitted.
type admitter interface {
	setCapacity(pool string, slots int)
	arrive(r *request, decide decisionFunc)
	done(r *request, service time.Duration)
	cancel(r *request)
}

func newAdmitter(name string, l *loop, classes []dynamic.Class) admitter {
	switch name {
	case AdmissionFIFO:
		return &fifoAdmitter{pools: map[string]*fifoPool{}, waiting: map[string]*list.Element{}}
	case AdmissionNone:
		return unlimitedAdmitter{}
	}
	a := &serviceAdmitter{loop: l, service: admission.New(nil), asks: map[kernel.AskID]decisionFunc{}}
	a.send(admission.Configure{Classes: classes})
	return a
}

// serviceAdmitter uses the admission service.
type serviceAdmitter struct {
	loop    *loop
	service *admission.Service
	asks    map[kernel.AskID]decisionFunc
	next    kernel.AskID
}

func (a *serviceAdmitter) send(m kernel.Message) {
	for _, e := range a.service.Handle(a.loop.now, m) {
		switch e := e.(type) {
		case kernel.SetTimer:
			a.loop.after(e.After, func() { a.send(e.Msg) })
		case kernel.Reply:
			a.reply(e)
		}
	}
}

func (a *serviceAdmitter) reply(e kernel.Reply) {
	decide := a.asks[e.ID]
	delete(a.asks, e.ID)
	a.loop.after(0, func() {
		switch m := e.Msg.(type) {
		case admission.Admitted:
			decide(m.Priority, nil)
		case *verdict.Error:
			decide(0, m)
		}
	})
}

func (a *serviceAdmitter) setCapacity(pool string, slots int) {
	a.send(admission.Capacity{Pool: pool, Slots: slots})
}

func (a *serviceAdmitter) arrive(r *request, decide decisionFunc) {
	a.next++
	a.asks[a.next] = decide
	a.send(admission.Arrive{Ask: a.next, RequestID: r.id, Class: r.kind.class.Name, Team: r.team})
}

func (a *serviceAdmitter) done(r *request, service time.Duration) {
	a.send(admission.Done{RequestID: r.id, Service: service})
}

func (a *serviceAdmitter) cancel(r *request) { a.send(admission.Cancel{RequestID: r.id}) }

// unlimitedAdmitter admits every request at once, whatever the capacity.
type unlimitedAdmitter struct{}

func (unlimitedAdmitter) setCapacity(string, int) {}

func (unlimitedAdmitter) arrive(_ *request, decide decisionFunc) { decide(0, nil) }

func (unlimitedAdmitter) done(*request, time.Duration) {}

func (unlimitedAdmitter) cancel(*request) {}

// fifoAdmitter keeps one unbounded queue for each pool and refuses no request.
type fifoAdmitter struct {
	pools   map[string]*fifoPool
	waiting map[string]*list.Element
}

// fifoPool holds the slots and the queue of one pool.
type fifoPool struct {
	slots, running int
	queue          list.List
}

// fifoWaiter is a queued request and the function that receives its decision.
type fifoWaiter struct {
	request *request
	decide  decisionFunc
}

func (a *fifoAdmitter) pool(name string) *fifoPool {
	p, ok := a.pools[name]
	if !ok {
		p = &fifoPool{}
		a.pools[name] = p
	}
	return p
}

func (a *fifoAdmitter) setCapacity(pool string, slots int) {
	p := a.pool(pool)
	p.slots = slots
	a.dispatch(p)
}

func (a *fifoAdmitter) arrive(r *request, decide decisionFunc) {
	p := a.pool(r.kind.class.Model)
	a.waiting[r.id] = p.queue.PushBack(fifoWaiter{request: r, decide: decide})
	a.dispatch(p)
}

func (a *fifoAdmitter) done(r *request, _ time.Duration) {
	p := a.pool(r.kind.class.Model)
	p.running--
	a.dispatch(p)
}

func (a *fifoAdmitter) cancel(r *request) {
	p := a.pool(r.kind.class.Model)
	if e, ok := a.waiting[r.id]; ok {
		p.queue.Remove(e)
		delete(a.waiting, r.id)
		return
	}
	p.running--
	a.dispatch(p)
}

func (a *fifoAdmitter) dispatch(p *fifoPool) {
	for p.running < p.slots && p.queue.Len() > 0 {
		w := p.queue.Remove(p.queue.Front()).(fifoWaiter)
		delete(a.waiting, w.request.id)
		p.running++
		w.decide(0, nil)
	}
}
