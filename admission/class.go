package admission

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/balance"
	"github.com/tamarackcleat/tamarackcleat/config/dynamic"
)

// Priorities that engines are asked to honour.
const (
	// PriorityUrgent is for short, urgent classes.
	PriorityUrgent = 10
	// PriorityNormal is for all others.
	PriorityNormal = 0
)

const (
	// serviceSmoothing is the weight of a new service time in the average.
	serviceSmoothing = 0.1
	// firstGuess is the part of the answer target that a class is assumed to
	// need before any request of it has ended.
	firstGuess = 0.5
	// firstTokenReserve is the part of the first-token target that is left
	// for the upstream to process the prompt.
	firstTokenReserve = 0.5
	// lateness is the part of the tightest target by which a request may be
	// predicted to miss it and still be let in.
	lateness = 0.1
)

// class is a class with what was learned about it.
type class struct {
	dynamic.Class
	pool     string
	urgent   bool
	priority int
	// service is the mean service time.
	service time.Duration
}

func newClass(c dynamic.Class) *class {
	k := &class{Class: c, pool: c.Model, urgent: c.Urgent()}
	if c.Kind == dynamic.KindCall {
		k.pool = balance.ServicePool(c.Service)
	}
	if k.urgent {
		k.priority = PriorityUrgent
	}
	k.service = time.Duration(firstGuess * float64(c.Targets.AnsweredWithin))
	return k
}

// learn takes the service time of a request that ran to its end.
func (k *class) learn(service time.Duration) {
	k.service += time.Duration(serviceSmoothing * float64(service-k.service))
}

// latestStart returns when a request that arrives now must be admitted to meet
// its targets.
func (k *class) latestStart(now, deadline time.Time) time.Time {
	answered := time.Duration(k.Targets.AnsweredWithin)
	due := now.Add(max(0, answered-k.service))
	if first := time.Duration(k.Targets.FirstTokenWithin); first > 0 {
		wait := time.Duration((1 - firstTokenReserve) * float64(first))
		due = earlier(due, now.Add(wait))
	}
	if !deadline.IsZero() {
		due = earlier(due, deadline.Add(-k.service))
	}
	return due
}

// tolerance is how long after latestStart a request is still let in.
func (k *class) tolerance() time.Duration {
	target := k.Targets.AnsweredWithin
	if first := k.Targets.FirstTokenWithin; first > 0 {
		target = min(target, first)
	}
	return time.Duration(lateness * float64(target))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
