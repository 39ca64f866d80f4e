package dispatch

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/fleet"
)

const (
	// passesToFirstEvent is how many passes of the engine a request takes until its first
	// event: on average half of the one that runs when it arrives, and one of its own.
	passesToFirstEvent = 1.5
)

// Observed is what was measured of the requests of a pool.
type Observed struct {
	// Duration is the mean time of a request at its upstream, PromptTokens the mean size
	// of its prompt; 0 before any was measured.
	Duration     time.Duration
	PromptTokens float64
}

// plus returns the sum of two loads.
func (l Load) plus(other Load) Load {
	return Load{InFlight: l.InFlight + other.InFlight, PendingPromptTokens: l.PendingPromptTokens + other.PendingPromptTokens}
}

// Predict returns the predicted time to the first event of a request at a replica
// that has load l without the request: the passes of the engine until then, each of which
// makes an event of every running stream, the reading of the prompts that are pending, and
// the wait for a slot.
func Predict(engine *fleet.Engine, model string, l Load, r Request, o Observed) time.Duration {
	m, ok := engine.Model(model)
	if !ok {
		m.TimeFactor = 1
	}
	running := min(l.InFlight, engine.Slots)
	step := engine.StepTime + time.Duration(running)*engine.StepTimePerRequest
	pass := passesToFirstEvent * float64(time.Duration(engine.StepsPerEvent)*step) * m.TimeFactor
	read := func(tokens float64) float64 {
		if engine.PromptTokensPerSecond <= 0 {
			return 0
		}
		return tokens / engine.PromptTokensPerSecond * float64(time.Second) * m.TimeFactor
	}
	queue := 0.0
	if queued := l.InFlight + 1 - engine.Slots; queued > 0 {
		queue = float64(queued) * turnover(engine, o, pass)
	}
	return time.Duration(pass + read(float64(l.PendingPromptTokens+r.PromptTokens)) + queue)
}

// turnover returns the time between the ends of two requests at a replica whose slots are
// all taken.
func turnover(engine *fleet.Engine, o Observed, pass float64) float64 {
	if o.Duration > 0 {
		return float64(o.Duration) / float64(max(1, engine.Slots))
	}
	return pass
}
