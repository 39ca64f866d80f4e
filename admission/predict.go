package admission

import "time"

// predictedWait estimates how long a new request waits. In its own team those
// that must start earlier go first. Teams take turns, so of each other team that
// was not served more at most as many go first as the request's own place.
func (p *pool) predictedWait(now time.Time, r *request) time.Duration {
	tier := r.tier()
	own := r.team.waiting[tier].before(r.latest)
	ahead := own
	for _, o := range p.teams {
		if o != r.team && o.served <= r.team.served+fairnessQuantum {
			ahead += min(o.waiting[tier].before(r.latest), own+1)
		}
	}
	room := p.room(now, tier)
	freeSlots := max(0, room-p.running[tier])
	if ahead < freeSlots {
		return 0
	}
	turns := float64(ahead+1-freeSlots) / float64(max(1, room))
	return time.Duration(turns * float64(p.service[tier]))
}

// overShare reports whether a team has more than an equal part of the pool
// among the teams that are not idle.
func (p *pool) overShare(t *team) bool {
	active, total := 0, 0
	for _, o := range p.teams {
		if !o.idle() {
			active++
			total += o.running + o.waits()
		}
	}
	return active > 1 && (t.running+t.waits())*active > total
}

// longest returns the team with the most waiting requests.
func (p *pool) longest() *team {
	var best *team
	for _, t := range p.teams {
		if best == nil || t.waits() > best.waits() {
			best = t
		}
	}
	return best
}
