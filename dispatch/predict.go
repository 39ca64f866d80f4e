package dispatch

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/fleet"
)

// passesToFirstEvent is how many passes of the engine a request takes until its first event:
// on average half of the one that runs when it arrives, and one of its own.
const passesToFirstEvent = 1.5

// plus returns the sum of two loads.
func (l Load) plus(other Load) Load {
	return Load{InFlight: l.InFlight + other.InFlight, PendingPromptTokens: l.PendingPromptTokens + other.PendingPromptTokens}
}

// predictor predicts times to the first event at the replicas of a model. Its fields are in
// nanoseconds; the zero value is for plain services and predicts nothing.
type predictor struct {
	slots int
	// passes is the time of the passes until the first event at an idle replica,
	// passesPerRequest what each running request adds to it. perToken is the time to read
	// a token of a prompt.
	passes, passesPerRequest, perToken float64
	// turnover is the time between the ends of two requests at a replica whose slots are
	// all taken; 0 if it is not known.
	turnover float64
}

// newPredictor returns the predictor for a model of an engine, given the mean duration of its
// requests in nanoseconds, or 0 if none has been measured.
func newPredictor(engine *fleet.Engine, model string, duration float64) predictor {
	if engine == nil {
		return predictor{}
	}
	m, ok := engine.Model(model)
	if !ok {
		m.TimeFactor = 1
	}
	steps := passesToFirstEvent * float64(engine.StepsPerEvent) * m.TimeFactor
	p := predictor{
		slots: engine.Slots, passes: steps * float64(engine.StepTime), passesPerRequest: steps * float64(engine.StepTimePerRequest),
		turnover: duration / float64(max(1, engine.Slots)),
	}
	if engine.PromptTokensPerSecond > 0 {
		p.perToken = m.TimeFactor * float64(time.Second) / engine.PromptTokensPerSecond
	}
	return p
}

// firstEvent returns the predicted time to the first event of a request at a replica that has
// load l without the request: the passes of the engine until then, each of which makes an
// event of every running stream, the reading of the prompts that are pending, and the wait
// for a slot.
func (p predictor) firstEvent(l Load, promptTokens int) time.Duration {
	passes := p.passes + float64(min(l.InFlight, p.slots))*p.passesPerRequest
	reading := float64(l.PendingPromptTokens+promptTokens) * p.perToken
	turnover := p.turnover
	if turnover <= 0 {
		turnover = passes
	}
	return time.Duration(passes + reading + float64(max(0, l.InFlight+1-p.slots))*turnover)
}
