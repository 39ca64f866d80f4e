// Package admission decides which requests run, which wait and which are
// refused at the door. It is the kernel service "admission".
//
// Each pool has a queue. Short, urgent classes go first and keep some slots
// free of long generations. Within a tier teams share slots evenly, and among
// teams that are about even the request that must start first goes first. A
// request that can't meet its target is refused before it costs anything.
package admission

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// Name is the name of the service.
const Name = "admission"

// minRetryAfter is the shortest advice of when to try again.
const minRetryAfter = time.Second

// Service is the kernel service "admission".
type Service struct {
	metrics  metrics.Registry
	classes  map[string]*class
	pools    map[string]*pool
	requests map[string]*request
	seq      uint64
}

// New returns a Service without classes. A nil registry stands for one of its
// own.
func New(registry metrics.Registry) *Service {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	return &Service{
		metrics:  registry,
		classes:  map[string]*class{},
		pools:    map[string]*pool{},
		requests: map[string]*request{},
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Handle implements kernel.Service.
func (s *Service) Handle(now time.Time, msg kernel.Message) []kernel.Effect {
	switch m := msg.(type) {
	case Configure:
		s.configure(m)
	case Capacity:
		p := s.pool(m.Pool)
		p.slots = m.Slots
		return s.dispatch(now, p)
	case Arrive:
		return s.arrive(now, m)
	case Done:
		return s.done(now, m.RequestID, m.Service)
	case Cancel:
		return s.cancel(now, m.RequestID)
	case expire:
		return s.expire(now, m.pool)
	}
	return nil
}

// Waiting counts the waiting requests of a pool.
func (s *Service) Waiting(pool string) int {
	p, ok := s.pools[pool]
	if !ok {
		return 0
	}
	return p.waiting[tierUrgent] + p.waiting[tierNormal]
}

// Running counts the admitted requests of a pool.
func (s *Service) Running(pool string) int {
	p, ok := s.pools[pool]
	if !ok {
		return 0
	}
	return p.running[tierUrgent] + p.running[tierNormal]
}

// configure replaces the classes and keeps what was learned about them.
func (s *Service) configure(m Configure) {
	classes := make(map[string]*class, len(m.Classes))
	for _, c := range m.Classes {
		k := newClass(c)
		if old, ok := s.classes[c.Name]; ok && old.Targets == k.Targets {
			k.service = old.service
		}
		classes[c.Name] = k
	}
	s.classes = classes
}

func (s *Service) pool(name string) *pool {
	p, ok := s.pools[name]
	if !ok {
		p = &pool{name: name}
		s.pools[name] = p
	}
	return p
}

// arrive starts, queues or refuses a request.
func (s *Service) arrive(now time.Time, m Arrive) []kernel.Effect {
	k, ok := s.classes[m.Class]
	if !ok {
		e := verdict.Refuse(verdict.ReasonUnknownClass, "no class %q", m.Class)
		return []kernel.Effect{s.refuse(m.Ask, e)}
	}
	p := s.pool(k.pool)
	s.seq++
	r := &request{
		id: m.RequestID, ask: m.Ask, class: k, pool: p, seq: s.seq,
		team: p.team(m.Team), latest: k.latestStart(now, m.Deadline),
	}
	if k.urgent {
		p.noteUrgent(now, k.service)
	}
	if p.service[r.tier()] == 0 {
		p.service[r.tier()] = k.service
	}
	if e := s.refusal(now, r); e != nil {
		p.forgetIdle()
		return []kernel.Effect{s.refuse(m.Ask, e)}
	}
	var effects []kernel.Effect
	s.requests[r.id] = r
	if p.full() {
		last := p.longest().last()
		p.add(r)
		effects = append(effects, s.displace(last))
	} else {
		p.add(r)
	}
	return append(effects, s.dispatch(now, p)...)
}

// refusal returns why a request is refused at the door, nil if it isn't.
func (s *Service) refusal(now time.Time, r *request) *verdict.Error {
	p := r.pool
	if p.full() && (r.team == p.longest() || p.overShare(r.team)) {
		return s.overload(r, verdict.ReasonQueueFull, minRetryAfter)
	}
	if p.slots == 0 {
		return nil
	}
	wait := p.predictedWait(now, r)
	late := now.Add(wait).Sub(r.tooLate())
	if late <= 0 {
		return nil
	}
	return s.overload(r, verdict.ReasonDeadline, late)
}

// overload returns a refusal for lack of capacity. A team with more than its
// share is told so.
func (s *Service) overload(r *request, reason verdict.Reason, after time.Duration) *verdict.Error {
	if r.pool.overShare(r.team) {
		reason = verdict.ReasonTeamLimit
	}
	return verdict.Refuse(reason, "pool %q is busy", r.pool.name).
		WithRetryAfter(max(minRetryAfter, after))
}

// displace refuses a waiting request of the team that has most waiting, so that
// a team with few is not kept out of a full queue.
func (s *Service) displace(r *request) kernel.Effect {
	s.remove(r, 0)
	e := verdict.Refuse(verdict.ReasonTeamLimit, "pool %q is busy", r.pool.name)
	return s.refuse(r.ask, e.WithRetryAfter(minRetryAfter))
}

// remove ends a request, waiting or running.
func (s *Service) remove(r *request, service time.Duration) {
	delete(s.requests, r.id)
	r.pool.end(r, service)
}

func (s *Service) done(now time.Time, id string, service time.Duration) []kernel.Effect {
	r, ok := s.requests[id]
	if !ok {
		return nil
	}
	s.remove(r, service)
	return s.dispatch(now, r.pool)
}

func (s *Service) cancel(now time.Time, id string) []kernel.Effect {
	r, ok := s.requests[id]
	if !ok {
		return nil
	}
	var effects []kernel.Effect
	if !r.running {
		e := verdict.Refuse(verdict.ReasonCanceled, "canceled while waiting")
		effects = append(effects, s.refuse(r.ask, e))
	}
	s.remove(r, 0)
	return append(effects, s.dispatch(now, r.pool)...)
}

// dispatch starts the requests that there is room for and sets the timer for
// those that still wait.
func (s *Service) dispatch(now time.Time, p *pool) []kernel.Effect {
	var effects []kernel.Effect
	for tier := range tiers {
		for p.waiting[tier] > 0 && p.free(now, tier) {
			r := p.next(tier)
			p.start(r)
			s.count("admitted")
			effects = append(effects, kernel.Reply{ID: r.ask, Msg: Admitted{Priority: r.class.priority}})
		}
	}
	return append(effects, s.setTimer(now, p)...)
}

// setTimer sets the timer for the waiting request that is too late first.
func (s *Service) setTimer(now time.Time, p *pool) []kernel.Effect {
	first, ok := p.firstTooLate()
	if !ok || (!p.timerAt.IsZero() && !first.Before(p.timerAt)) {
		return nil
	}
	p.timerAt = first
	return []kernel.Effect{kernel.SetTimer{
		To: Name, After: max(0, first.Sub(now)), Msg: expire{pool: p.name},
	}}
}

// expire refuses the waiting requests that are too late to start.
func (s *Service) expire(now time.Time, name string) []kernel.Effect {
	p := s.pool(name)
	p.timerAt = time.Time{}
	var effects []kernel.Effect
	for r := p.expired(now); r != nil; r = p.expired(now) {
		reason := verdict.ReasonDeadline
		if p.slots == 0 {
			reason = verdict.ReasonNoReplica
		}
		s.remove(r, 0)
		e := verdict.Refuse(reason, "waited too long in pool %q", p.name)
		effects = append(effects, s.refuse(r.ask, e.WithRetryAfter(minRetryAfter)))
	}
	return append(effects, s.dispatch(now, p)...)
}

// refuse counts a refusal and returns its reply.
func (s *Service) refuse(ask kernel.AskID, e *verdict.Error) kernel.Effect {
	s.count("refused." + string(e.Reason))
	return kernel.Reply{ID: ask, Msg: e}
}

func (s *Service) count(name string) {
	metrics.GetOrRegisterCounter("admission."+name, s.metrics).Inc(1)
}
