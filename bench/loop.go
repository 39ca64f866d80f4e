package bench

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/eventqueue"
)

// epoch is the time at which every run starts.
var epoch = time.Unix(1_700_000_000, 0).UTC()

// loop is a queue of events in simulated time.
type loop struct {
	now    time.Time
	events eventqueue.Queue[func()]
}

func newLoop() *loop { return &loop{now: epoch} }

// after runs fn after a delay in simulated time.
func (l *loop) after(d time.Duration, fn func()) {
	l.events.Push(l.now.Add(max(0, d)), fn)
}

// every runs fn periodically, at first after offset.
func (l *loop) every(offset, period time.Duration, fn func()) {
	l.after(offset, func() {
		fn()
		l.every(period, period, fn)
	})
}

// run performs events until the given time.
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
