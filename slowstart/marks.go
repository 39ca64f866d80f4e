package slowstart

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/fleet"
)

// markStep is added to the end of a cold time when it is recorded. A cold upstream says
// every second or so how long it stays cold, and reports take different times to arrive;
// without the addition each one that took longer would be a change.
const markStep = 250 * time.Millisecond

// Marks holds until when upstreams are cold, by the boot clock. A mark ends with the
// incarnation only, and no report makes it end sooner: reports arrive late, and an older one
// may come after a newer one.
type Marks map[fleet.Incarnation]time.Duration

// Record records that an upstream was said at the time now to be cold for a further time,
// which is 0 if it is warm. It returns until when the upstream counts as cold; 0 if it never
// was.
func (m Marks) Record(now time.Duration, i fleet.Incarnation, remaining time.Duration) time.Duration {
	if until := now + remaining; remaining > 0 && until > m[i] {
		m[i] = until + markStep
	}
	return m[i]
}

// Retain drops the marks of incarnations for which keep returns false, unless they are
// still cold.
func (m Marks) Retain(now time.Duration, keep func(fleet.Incarnation) bool) {
	for i, until := range m {
		if now > until && !keep(i) {
			delete(m, i)
		}
	}
}
