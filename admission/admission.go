// Package admission decides which requests run, which wait and which are refused
// on arrival. It is the kernel service "admission".
//
// Each pool has a queue with two tiers. Requests of urgent classes, which are
// short, start first, and some slots are kept free of long generations for them.
// Within a tier, teams share the slots evenly; among teams with about the same
// share, the request that must start first to meet its targets goes first. A
// request that is not expected to meet its targets is refused before it uses an
// upstream.
package admission

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// Name is the name of the service.
const Name = "admission"

// minRetryAfter is the shortest retry delay advised to callers.
const minRetryAfter = time.Second

// Service is the kernel service "admission".
type Service struct {
	metrics metrics.Registry
	classes map[string]*class
	pools   map[string]*pool
	// requests holds the waiting and running requests by id.
	requests map[string]*request
	// seq numbers the requests in the order of their arrival.
	seq uint64
}

// New returns a Service without classes. The counters go to the registry; nil
// means a new one.
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
	case expiryDue:
		return s.expire(now, m.pool)
	}
	return nil
}

// Waiting returns the number of waiting requests of a pool.
func (s *Service) Waiting(pool string) int {
	p, ok := s.pools[pool]
	if !ok {
		return 0
	}
	return p.waiting[tierUrgent] + p.waiting[tierNormal]
}

// Running returns the number of admitted requests of a pool.
func (s *Service) Running(pool string) int {
	p, ok := s.pools[pool]
	if !ok {
		return 0
	}
	return p.running[tierUrgent] + p.running[tierNormal]
}

// configure replaces the classes. A class whose targets are unchanged keeps its
// mean service time.
func (s *Service) configure(m Configure) {
	classes := make(map[string]*class, len(m.Classes))
	for _, c := range m.Classes {
		k := newClass(c)
		if old, ok := s.classes[c.Name]; ok && old.Targets == k.Targets {
			k.meanService = old.meanService
		}
		classes[c.Name] = k
	}
	s.classes = classes
}

// pool returns the pool with a name, a new one if the name is unknown.
func (s *Service) pool(name string) *pool {
	p, ok := s.pools[name]
	if !ok {
		p = &pool{name: name}
		s.pools[name] = p
	}
	return p
}

// arrive admits, queues or refuses a request. If the queue is full, the request
// replaces a waiting one of the team with the most waiting requests.
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
		team: p.team(m.Team), latestStart: k.latestStart(now, m.Deadline),
	}
	if k.urgent {
		p.addUrgentDemand(now, k.meanService)
	}
	if p.meanService[r.tier()] == 0 {
		p.meanService[r.tier()] = k.meanService
	}
	if e := s.refusal(now, r); e != nil {
		p.removeIdleTeams()
		return []kernel.Effect{s.refuse(m.Ask, e)}
	}
	var effects []kernel.Effect
	s.requests[r.id] = r
	if p.full() {
		last := p.longestQueueTeam().lastToStart()
		p.add(r)
		effects = append(effects, s.evictWaiting(last))
	} else {
		p.add(r)
	}
	return append(effects, s.dispatch(now, p)...)
}

// refusal returns the reason to refuse a request on arrival, nil if it may wait. A
// full queue refuses only teams with the most waiting requests or with more than
// their fair share. While the pool has no slots, the wait can't be predicted, and
// no request is refused for it.
func (s *Service) refusal(now time.Time, r *request) *verdict.Error {
	p := r.pool
	if p.full() && (r.team == p.longestQueueTeam() || p.exceedsFairShare(r.team)) {
		return s.overloadRefusal(r, verdict.ReasonQueueFull, minRetryAfter)
	}
	if p.slots == 0 {
		return nil
	}
	wait := p.predictedWait(now, r)
	late := now.Add(wait).Sub(r.expiresAt())
	if late <= 0 {
		return nil
	}
	return s.overloadRefusal(r, verdict.ReasonDeadline, late)
}

// overloadRefusal returns a refusal for lack of capacity. If the team has more
// than its fair share of the pool, the reason says that instead.
func (s *Service) overloadRefusal(r *request, reason verdict.Reason, after time.Duration) *verdict.Error {
	if r.pool.exceedsFairShare(r.team) {
		reason = verdict.ReasonTeamLimit
	}
	return verdict.Refuse(reason, "pool %q is busy", r.pool.name).
		WithRetryAfter(max(minRetryAfter, after))
}

// evictWaiting refuses a waiting request of the team with the most waiting
// requests, so that a full queue doesn't keep out a team with few requests.
func (s *Service) evictWaiting(r *request) kernel.Effect {
	s.remove(r, 0)
	e := verdict.Refuse(verdict.ReasonTeamLimit, "pool %q is busy", r.pool.name)
	return s.refuse(r.ask, e.WithRetryAfter(minRetryAfter))
}

// remove ends a waiting or running request. The service time is 0 if the request
// didn't run to its end.
func (s *Service) remove(r *request, service time.Duration) {
	delete(s.requests, r.id)
	r.pool.end(r, service)
}

// done ends an admitted request and starts waiting ones.
func (s *Service) done(now time.Time, id string, service time.Duration) []kernel.Effect {
	r, ok := s.requests[id]
	if !ok {
		return nil
	}
	s.remove(r, service)
	return s.dispatch(now, r.pool)
}

// cancel ends a request whose caller went away and starts waiting ones.
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

// dispatch starts waiting requests while there are free slots and sets the timer
// for those that still wait.
func (s *Service) dispatch(now time.Time, p *pool) []kernel.Effect {
	var effects []kernel.Effect
	for tier := range tierCount {
		for p.waiting[tier] > 0 && p.hasSlot(now, tier) {
			r := p.next(tier)
			p.start(r)
			s.count("admitted")
			effects = append(effects, kernel.Reply{ID: r.ask, Msg: Admitted{Priority: r.class.priority}})
		}
	}
	return append(effects, s.setTimer(now, p)...)
}

// setTimer sets the timer for the waiting request that expires first, unless a
// timer that fires earlier is set.
func (s *Service) setTimer(now time.Time, p *pool) []kernel.Effect {
	first, ok := p.nextExpiry()
	if !ok || (!p.timerAt.IsZero() && !first.Before(p.timerAt)) {
		return nil
	}
	p.timerAt = first
	return []kernel.Effect{kernel.SetTimer{
		To: Name, After: max(0, first.Sub(now)), Msg: expiryDue{pool: p.name},
	}}
}

// expire refuses the waiting requests that can no longer be expected to meet their
// targets. In a pool without slots, the reason given is that there is no replica.
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

// count increments a counter of the service.
func (s *Service) count(name string) {
	metrics.GetOrRegisterCounter("admission."+name, s.metrics).Inc(1)
}
