package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/tamarackcleat/tamarackcleat/kernel"
)

const (
	// queuePerSlot and minQueue limit the waiting requests of a pool: with n
	// slots there are at most max(minQueue, n*queuePerSlot).
	queuePerSlot = 8
	minQueue     = 64
	// fairnessQuantum is how far a team may be ahead of the least served
	// waiting team, in service time, before its requests have to wait for
	// those of other teams. Up to it, requests are ordered only by when they
	// must start to meet their targets.
	fairnessQuantum = 2 * time.Second
	// maxTeams is the number of teams in a pool above which idle teams are
	// removed even if they were served ahead of the others.
	maxTeams = 256
)

// request is a waiting or running request.
type request struct {
	id    string
	ask   kernel.AskID
	class *class
	team  *team
	pool  *pool
	// latestStart is when the request must start to meet its targets.
	latestStart time.Time
	// seq orders requests with the same latestStart by arrival.
	seq uint64
	// index is the position in the team's wait queue.
	index   int
	running bool
	// precharged is the expected service time that was added to the team's
	// virtual time when the request started.
	precharged time.Duration
}

// tier returns the tier of the pool's queue that the request belongs to.
func (r *request) tier() int {
	if r.class.urgent {
		return tierUrgent
	}
	return tierNormal
}

// expiresAt returns when the request is refused if it is still waiting.
func (r *request) expiresAt() time.Time { return r.latestStart.Add(r.class.tolerance()) }

// pool holds the waiting and running requests of one model or plain service.
type pool struct {
	name string
	// slots is how many requests this node may run at a time.
	slots int
	// running and waiting are the numbers of requests by tier.
	running [tierCount]int
	waiting [tierCount]int
	// meanService is the moving average of the service time by tier.
	meanService [tierCount]time.Duration
	// teams is sorted by name.
	teams []*team
	// virtualTime is the pool's virtual time for fair queuing: the least
	// virtual time of the teams that waited when a request was last started.
	// It never goes back.
	virtualTime time.Duration
	// urgentLoad is the moving average of the slots that urgent requests
	// need, as of urgentLoadAt.
	urgentLoad   float64
	urgentLoadAt time.Time
	// timerAt is when the next expiryDue is due; zero if none is set.
	timerAt time.Time
}

// team returns the team with a name, a new one if the name is unknown. The virtual
// time of a team without waiting requests is raised to that of the pool, so that
// the team gets no credit for the time in which it asked for no service.
func (p *pool) team(name string) *team {
	i, found := slices.BinarySearchFunc(p.teams, name, func(t *team, name string) int {
		return cmp.Compare(t.name, name)
	})
	if !found {
		p.teams = slices.Insert(p.teams, i, &team{name: name})
	}
	t := p.teams[i]
	if t.waitingCount() == 0 {
		t.virtualTime = max(t.virtualTime, p.virtualTime)
	}
	return t
}

// removeIdleTeams removes teams without waiting or running requests. A team that
// was served ahead of the others is kept until they have caught up, unless there
// are more than maxTeams teams.
func (p *pool) removeIdleTeams() {
	many := len(p.teams) > maxTeams
	p.teams = slices.DeleteFunc(p.teams, func(t *team) bool {
		return t.idle() && (many || t.virtualTime <= p.virtualTime)
	})
}

// next returns the waiting request of a tier that starts next, nil if there is
// none: the one with the earliest latestStart among the teams that are at most
// fairnessQuantum ahead of the least served one.
func (p *pool) next(tier int) *request {
	least := p.minVirtualTime(tier)
	var best *request
	for _, t := range p.teams {
		if len(t.waiting[tier]) == 0 || t.virtualTime > least+fairnessQuantum {
			continue
		}
		if r := t.waiting[tier][0]; best == nil || r.latestStart.Before(best.latestStart) {
			best = r
		}
	}
	return best
}

// minVirtualTime returns the least virtual time of the teams with waiting requests
// in a tier.
func (p *pool) minVirtualTime(tier int) time.Duration {
	least := time.Duration(math.MaxInt64 / 2)
	for _, t := range p.teams {
		if len(t.waiting[tier]) > 0 {
			least = min(least, t.virtualTime)
		}
	}
	return least
}

// add adds a waiting request.
func (p *pool) add(r *request) {
	r.team.add(r)
	p.waiting[r.tier()]++
}

// start makes a waiting request a running one and adds its expected service time
// to the virtual time of its team.
func (p *pool) start(r *request) {
	p.virtualTime = max(p.virtualTime, p.minVirtualTime(r.tier()))
	r.team.remove(r)
	p.waiting[r.tier()]--
	r.running = true
	r.team.running++
	p.running[r.tier()]++
	r.precharged = r.class.meanService
	r.team.virtualTime += r.precharged
}

// end removes a waiting or running request. If the request ran to its end, its
// service time replaces the expected one in the virtual time of its team and
// updates the mean service times of its class and tier. The service time is 0 if the
// request didn't run to its end; if it had started, the expected service time then
// stays in the virtual time.
func (p *pool) end(r *request, service time.Duration) {
	if r.running {
		r.team.running--
		p.running[r.tier()]--
	} else {
		r.team.remove(r)
		p.waiting[r.tier()]--
	}
	if service > 0 {
		r.team.virtualTime += service - r.precharged
		r.class.observeService(service)
		p.observeService(r.tier(), service)
	}
	p.removeIdleTeams()
}

// observeService updates the mean service time of a tier with that of a request
// that ran to its end.
func (p *pool) observeService(tier int, service time.Duration) {
	p.meanService[tier] += time.Duration(serviceSmoothing * float64(service-p.meanService[tier]))
}

// maxWaiting returns the maximum number of waiting requests.
func (p *pool) maxWaiting() int { return max(minQueue, queuePerSlot*p.slots) }

// full reports whether the pool has its maximum number of waiting requests.
func (p *pool) full() bool {
	return p.waiting[tierUrgent]+p.waiting[tierNormal] >= p.maxWaiting()
}
