package admission

import "time"

// predictedWait estimates how long a new request will wait. The requests of its own
// team whose latestStart is not later go first. Teams take turns: if k requests of
// its own team go first, at most k+1 of each other team do. Teams that are more
// than fairnessQuantum ahead of its own team are not counted.
func (p *pool) predictedWait(now time.Time, r *request) time.Duration {
	tier := r.tier()
	ownAhead := r.team.waiting[tier].countBefore(r.latestStart)
	ahead := ownAhead
	for _, o := range p.teams {
		if o != r.team && o.virtualTime <= r.team.virtualTime+fairnessQuantum {
			ahead += min(o.waiting[tier].countBefore(r.latestStart), ownAhead+1)
		}
	}
	limit := p.limit(now, tier)
	freeSlots := max(0, limit-p.running[tier])
	if ahead < freeSlots {
		return 0
	}
	turns := float64(ahead+1-freeSlots) / float64(max(1, limit))
	return time.Duration(turns * float64(p.meanService[tier]))
}

// exceedsFairShare reports whether a team has more than an equal part of the
// pool's waiting and running requests, among the teams that have any.
func (p *pool) exceedsFairShare(t *team) bool {
	active, total := 0, 0
	for _, o := range p.teams {
		if !o.idle() {
			active++
			total += o.running + o.waitingCount()
		}
	}
	return active > 1 && (t.running+t.waitingCount())*active > total
}

// longestQueueTeam returns the team with the most waiting requests, nil if the
// pool has no teams.
func (p *pool) longestQueueTeam() *team {
	var best *team
	for _, t := range p.teams {
		if best == nil || t.waitingCount() > best.waitingCount() {
			best = t
		}
	}
	return best
}
