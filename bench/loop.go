package bench

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/eventqueue"
)

// epoch is the simulated time at which every run starts.
var epoch = time.Unix(1_700_000_000, 0).UTC()

// loop is an event loop in simulated time.
type loop struct {
	now    time.Time
	events eventqueue.Queue[func()]
}

func newLoop() *loop { return &loop{now: epoch} }

// after schedules fn after a delay in simulated time. A negative delay counts as
// 0.
func (l *loop) after(d time.Duration, fn func()) {
	l.events.Push(l.now.Add(max(0, d)), fn)
}

// every schedules fn periodically, for the first time after offset.
func (l *loop) every(offset, period time.Duration, fn func()) {
	l.after(offset, func() {
		fn()
		l.every(period, period, fn)
	})
}

// run executes the events that are due up to and including the given time.
func (l *loop) run(until time.Time) {
	for {
		at, fn, ok := l.events.PopDue(until)
		if !ok {
			break
		}
		l.now = at
		fn()
	}
	l.now = until
}
