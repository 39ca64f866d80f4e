package entry

import (
	"context"
	"sync"

	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// flights holds the streams in flight by upstream.
type flights struct {
	mu         sync.Mutex
	byUpstream map[string]map[*flight]bool
}

// flight is one stream in flight.
type flight struct{ cancel context.CancelCauseFunc }

func newFlights() *flights {
	return &flights{byUpstream: map[string]map[*flight]bool{}}
}

// add registers a stream; the function that it returns removes it.
func (f *flights) add(upstream string, cancel context.CancelCauseFunc) (release func()) {
	fl := &flight{cancel: cancel}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byUpstream[upstream] == nil {
		f.byUpstream[upstream] = map[*flight]bool{}
	}
	f.byUpstream[upstream][fl] = true
	return func() { f.remove(upstream, fl) }
}

func (f *flights) remove(upstream string, fl *flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.byUpstream[upstream], fl)
	if len(f.byUpstream[upstream]) == 0 {
		delete(f.byUpstream, upstream)
	}
}

// errIncomplete ends the streams of a replica that lost a VM.
var errIncomplete = verdict.New(verdict.MayHaveRun, verdict.ReasonUpstreamLost, "the replica lost a VM")

// Perform implements kernel.Driver: it ends the streams of broken replicas.
func (f *flights) Perform(effect kernel.Effect) bool {
	e, ok := effect.(disrupted)
	if !ok {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, upstream := range e.upstreams {
		for fl := range f.byUpstream[upstream] {
			fl.cancel(errIncomplete)
		}
	}
	return true
}
