package admission

import (
	"math"
	"time"
)

const (
	// headroomPeriod is the time constant of the exponential moving average
	// of urgent demand.
	headroomPeriod = 30 * time.Second
	// headroomDeviations is how many standard deviations above the mean
	// urgent demand the headroom covers.
	headroomDeviations = 1.0
	// maxHeadroom is the maximum fraction of the slots that is reserved for
	// urgent requests.
	maxHeadroom = 0.5
	// normalReserve is the fraction of the slots that urgent requests leave
	// to running and waiting requests of other classes.
	normalReserve = 0.1
	// minUrgentLoad is the urgent demand, in slots, below which no slots are
	// reserved for urgent requests.
	minUrgentLoad = 1e-3
)

// addUrgentDemand adds the arrival of an urgent request with an expected service
// time to the average demand.
func (p *pool) addUrgentDemand(now time.Time, service time.Duration) {
	p.decayUrgentDemand(now)
	p.urgentLoad += service.Seconds() / headroomPeriod.Seconds()
}

// decayUrgentDemand decays the average demand to the present time.
func (p *pool) decayUrgentDemand(now time.Time) {
	if !p.urgentLoadAt.IsZero() {
		p.urgentLoad *= math.Exp(-now.Sub(p.urgentLoadAt).Seconds() / headroomPeriod.Seconds())
	}
	p.urgentLoadAt = now
}

// headroom returns the number of slots that only urgent requests may use: their
// mean demand plus headroomDeviations standard deviations, because arrivals vary.
func (p *pool) headroom(now time.Time) int {
	p.decayUrgentDemand(now)
	if p.slots < 2 || p.urgentLoad < minUrgentLoad {
		return 0
	}
	want := int(math.Ceil(p.urgentLoad + headroomDeviations*math.Sqrt(p.urgentLoad)))
	return min(want, int(maxHeadroom*float64(p.slots)))
}

// limit returns how many requests of a tier may run at a time. Urgent requests
// may always use the headroom, even if normal requests already run on more than
// the remaining slots because the capacity shrank.
func (p *pool) limit(now time.Time, tier int) int {
	if tier == tierUrgent {
		normal := p.running[tierNormal]
		reserve := min(normal+p.waiting[tierNormal], int(normalReserve*float64(p.slots)))
		return max(p.slots-max(normal, reserve), p.headroom(now))
	}
	return p.slots - max(p.headroom(now), p.running[tierUrgent])
}

// hasSlot reports whether another request of a tier may start.
func (p *pool) hasSlot(now time.Time, tier int) bool { return p.running[tier] < p.limit(now, tier) }
