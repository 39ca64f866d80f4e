package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/tamarackcleat/tamarackcleat/kernel"
)

const (
	// queuePerSlot and minQueue bound the waiting requests of a pool.
	queuePerSlot = 8
	minQueue     = 64
	// fairnessQuantum is how much more service a team may have been given
	// than the least served one and still go by deadline alone.
	fairnessQuantum = 2 * time.Second
	// maxTeams bounds the idle teams that a pool remembers.
	maxTeams = 256
)

// request is a request, waiting or running.
type request struct {
	id    string
	ask   kernel.AskID
	class *class
	team  *team
	pool  *pool
	// latest is when the request must start to meet its targets.
	latest time.Time
	seq    uint64
	// index is the place in the team's heap.
	index   int
	running bool
	// charged is the service that the team was charged in advance.
	charged time.Duration
}

func (r *request) tier() int {
	if r.class.urgent {
		return tierUrgent
	}
	return tierNormal
}

// tooLate returns when the request is refused if it still waits.
func (r *request) tooLate() time.Time { return r.latest.Add(r.class.tolerance()) }

// pool is the queue before one model or service.
type pool struct {
	name    string
	slots   int
	running [tiers]int
	waiting [tiers]int
	// service is the mean service time per tier.
	service [tiers]time.Duration
	// teams is sorted by name.
	teams []*team
	// floor is the pool's virtual time: that of the least served team which
	// had a request waiting when one was started last.
	floor time.Duration
	// urgentLoad is the moving average of slots that urgent work needs.
	urgentLoad float64
	urgentAt   time.Time
	// timerAt is when the next expire is due; zero if none is set.
	timerAt time.Time
}

// team returns the team of a name. A team that had nothing waiting gets no
// credit for the service that it didn't ask for.
func (p *pool) team(name string) *team {
	i, found := slices.BinarySearchFunc(p.teams, name, func(t *team, name string) int {
		return cmp.Compare(t.name, name)
	})
	if !found {
		p.teams = slices.Insert(p.teams, i, &team{name: name})
	}
	t := p.teams[i]
	if t.waits() == 0 {
		t.served = max(t.served, p.floor)
	}
	return t
}

// forgetIdle removes teams that have nothing left to do. A team that was served
// ahead of the others is kept until they have caught up, unless there are very
// many teams.
func (p *pool) forgetIdle() {
	many := len(p.teams) > maxTeams
	p.teams = slices.DeleteFunc(p.teams, func(t *team) bool {
		return t.idle() && (many || t.served <= p.floor)
	})
}

// next returns the waiting request of a tier that starts next: the one with the
// earliest latest start of the teams that are not served ahead of the others.
func (p *pool) next(tier int) *request {
	least := p.leastServed(tier)
	var best *request
	for _, t := range p.teams {
		if len(t.waiting[tier]) == 0 || t.served > least+fairnessQuantum {
			continue
		}
		if r := t.waiting[tier][0]; best == nil || r.latest.Before(best.latest) {
			best = r
		}
	}
	return best
}

// leastServed returns the least virtual time of the teams that wait in a tier.
func (p *pool) leastServed(tier int) time.Duration {
	least := time.Duration(math.MaxInt64 / 2)
	for _, t := range p.teams {
		if len(t.waiting[tier]) > 0 {
			least = min(least, t.served)
		}
	}
	return least
}

// add lets a request wait.
func (p *pool) add(r *request) {
	r.team.add(r)
	p.waiting[r.tier()]++
}

// start moves a waiting request into a slot.
func (p *pool) start(r *request) {
	p.floor = max(p.floor, p.leastServed(r.tier()))
	r.team.remove(r)
	p.waiting[r.tier()]--
	r.running = true
	r.team.running++
	p.running[r.tier()]++
	r.charged = r.class.service
	r.team.served += r.charged
}

// end takes a request out, waiting or running. The service is 0 if it didn't
// run to its end.
func (p *pool) end(r *request, service time.Duration) {
	if r.running {
		r.team.running--
		p.running[r.tier()]--
	} else {
		r.team.remove(r)
		p.waiting[r.tier()]--
	}
	if service > 0 {
		r.team.served += service - r.charged
		r.class.learn(service)
		p.learn(r.tier(), service)
	}
	p.forgetIdle()
}

// learn takes the service time of a request that ran to its end.
func (p *pool) learn(tier int, service time.Duration) {
	p.service[tier] += time.Duration(serviceSmoothing * float64(service-p.service[tier]))
}

// maxWaiting bounds the waiting requests.
func (p *pool) maxWaiting() int { return max(minQueue, queuePerSlot*p.slots) }

// full reports whether no more requests may wait.
func (p *pool) full() bool {
	return p.waiting[tierUrgent]+p.waiting[tierNormal] >= p.maxWaiting()
}
