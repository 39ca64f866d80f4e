package admission

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/balance"
	"github.com/tamarackcleat/tamarackcleat/config/dynamic"
)

// Priorities that are passed to engines with a request.
const (
	// PriorityUrgent is the priority of urgent classes, which are short.
	PriorityUrgent = 10
	// PriorityNormal is the priority of all other classes.
	PriorityNormal = 0
)

const (
	// serviceSmoothing is the weight of a new sample in the exponential
	// moving average of service times.
	serviceSmoothing = 0.1
	// initialServiceShare is the fraction of a class's answer target that is
	// used as its mean service time before any of its requests has ended.
	initialServiceShare = 0.5
	// firstTokenReserve is the fraction of the first-token target that is
	// reserved for the upstream to process the prompt.
	firstTokenReserve = 0.5
	// toleratedLateness is the fraction of a class's tightest target by which
	// a request may be predicted to miss the target and still be accepted.
	toleratedLateness = 0.1
)

// class is a configured class with its pool and its mean service time.
type class struct {
	dynamic.Class
	pool   string
	urgent bool
	// priority is passed to the engine.
	priority int
	// meanService is the moving average of the service time.
	meanService time.Duration
}

func newClass(c dynamic.Class) *class {
	k := &class{Class: c, pool: c.Model, urgent: c.Urgent()}
	if c.Kind == dynamic.KindCall {
		k.pool = balance.ServicePool(c.Service)
	}
	if k.urgent {
		k.priority = PriorityUrgent
	}
	k.meanService = time.Duration(initialServiceShare * float64(c.Targets.AnsweredWithin))
	return k
}

// observeService updates the mean service time with that of a request that ran to
// its end.
func (k *class) observeService(service time.Duration) {
	k.meanService += time.Duration(serviceSmoothing * float64(service-k.meanService))
}

// latestStart returns the latest time at which a request that arrives now can be
// admitted and still be expected to meet its targets and its deadline. A zero
// deadline means none.
func (k *class) latestStart(now, deadline time.Time) time.Time {
	answered := time.Duration(k.Targets.AnsweredWithin)
	due := now.Add(max(0, answered-k.meanService))
	if first := time.Duration(k.Targets.FirstTokenWithin); first > 0 {
		wait := time.Duration((1 - firstTokenReserve) * float64(first))
		due = earlier(due, now.Add(wait))
	}
	if !deadline.IsZero() {
		due = earlier(due, deadline.Add(-k.meanService))
	}
	return due
}

// tolerance returns how long after its latestStart a request is still admitted.
func (k *class) tolerance() time.Duration {
	target := k.Targets.AnsweredWithin
	if first := k.Targets.FirstTokenWithin; first > 0 {
		target = min(target, first)
	}
	return time.Duration(toleratedLateness * float64(target))
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
