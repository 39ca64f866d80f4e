package admission

import (
	"math"
	"time"
)

const (
	// headroomPeriod is the time over which urgent demand is averaged.
	headroomPeriod = 30 * time.Second
	// headroomDeviations is how many standard deviations above the mean
	// urgent demand the headroom covers.
	headroomDeviations = 1.0
	// maxHeadroom is the largest part of the slots kept for urgent work.
	maxHeadroom = 0.5
	// normalReserve is the part of the slots that urgent work leaves to
	// waiting requests of other classes.
	normalReserve = 0.1
	// leastLoad is the urgent demand in slots below which there is no
	// headroom.
	leastLoad = 1e-3
)

// noteUrgent adds the arrival of an urgent request to the demand average.
func (p *pool) noteUrgent(now time.Time, service time.Duration) {
	p.decayUrgent(now)
	p.urgentLoad += service.Seconds() / headroomPeriod.Seconds()
}

func (p *pool) decayUrgent(now time.Time) {
	if !p.urgentAt.IsZero() {
		p.urgentLoad *= math.Exp(-now.Sub(p.urgentAt).Seconds() / headroomPeriod.Seconds())
	}
	p.urgentAt = now
}

// headroom returns the slots that only urgent work may take: its mean demand
// and some deviations, as arrivals vary.
func (p *pool) headroom(now time.Time) int {
	p.decayUrgent(now)
	if p.slots < 2 || p.urgentLoad < leastLoad {
		return 0
	}
	want := int(math.Ceil(p.urgentLoad + headroomDeviations*math.Sqrt(p.urgentLoad)))
	return min(want, int(maxHeadroom*float64(p.slots)))
}

// room returns the slots that a tier may take over all of its requests. Urgent
// work may always take its headroom, even if other work has more than the rest
// because the capacity shrank.
func (p *pool) room(now time.Time, tier int) int {
	if tier == tierUrgent {
		normal := p.running[tierNormal]
		reserve := min(normal+p.waiting[tierNormal], int(normalReserve*float64(p.slots)))
		return max(p.slots-max(normal, reserve), p.headroom(now))
	}
	return p.slots - max(p.headroom(now), p.running[tierUrgent])
}

// free reports whether a request of a tier may start.
func (p *pool) free(now time.Time, tier int) bool { return p.running[tier] < p.room(now, tier) }
