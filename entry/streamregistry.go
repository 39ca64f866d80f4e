package entry

import (
	"context"
	"sync"

	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// streamRegistry holds the streams in flight by upstream, so that those on a
// replica that lost a VM can be canceled.
type streamRegistry struct {
	mu         sync.Mutex
	byUpstream map[string]map[*activeStream]bool
}

// activeStream is one stream in flight.
type activeStream struct{ cancel context.CancelCauseFunc }

func newStreamRegistry() *streamRegistry {
	return &streamRegistry{byUpstream: map[string]map[*activeStream]bool{}}
}

// add registers a stream and the function that cancels it. The returned function
// removes the stream.
func (r *streamRegistry) add(upstream string, cancel context.CancelCauseFunc) (release func()) {
	s := &activeStream{cancel: cancel}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byUpstream[upstream] == nil {
		r.byUpstream[upstream] = map[*activeStream]bool{}
	}
	r.byUpstream[upstream][s] = true
	return func() { r.remove(upstream, s) }
}

func (r *streamRegistry) remove(upstream string, s *activeStream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byUpstream[upstream], s)
	if len(r.byUpstream[upstream]) == 0 {
		delete(r.byUpstream, upstream)
	}
}

// errReplicaLostVM is the cause with which the streams of a replica that lost a
// VM are canceled.
var errReplicaLostVM = verdict.New(verdict.MayHaveRun, verdict.ReasonUpstreamLost, "the replica lost a VM")

// Perform implements kernel.Driver: it performs cancelStreams.
func (r *streamRegistry) Perform(effect kernel.Effect) bool {
	e, ok := effect.(cancelStreams)
	if !ok {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, upstream := range e.upstreams {
		for s := range r.byUpstream[upstream] {
			s.cancel(errReplicaLostVM)
		}
	}
	return true
}
