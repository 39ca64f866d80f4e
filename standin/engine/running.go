package engine

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// Causes for which the engine ends a request.
var (
	errCrashed    = errors.New("the VM crashed")
	errSuperseded = errors.New("the VM left the replica")
	errMemberLost = errors.New("a member of the replica is missing")
	errCanceled   = errors.New("the request was canceled")
)

// runningSet holds the requests that wait for a slot or run.
type runningSet struct {
	mu   sync.Mutex
	all  map[*runningRequest]struct{}
	idle chan struct{}
}

// runningRequest is one request within the engine.
type runningRequest struct {
	id  string
	end context.CancelCauseFunc
}

// add registers a request; the returned function takes it off again.
func (s *runningSet) add(ctx context.Context, id string) (context.Context, func()) {
	ctx, end := context.WithCancelCause(ctx)
	request := &runningRequest{id: id, end: end}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = map[*runningRequest]struct{}{}
	}
	s.all[request] = struct{}{}
	return ctx, func() { s.remove(request) }
}

func (s *runningSet) remove(request *runningRequest) {
	request.end(nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, request)
	if len(s.all) == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// cutAll ends all requests for a cause.
func (s *runningSet) cutAll(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for request := range s.all {
		request.end(cause)
	}
}

// cancel ends the requests with an identifier.
func (s *runningSet) cancel(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for request := range s.all {
		if request.id == id {
			request.end(errCanceled)
		}
	}
}

// count returns the number of requests.
func (s *runningSet) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.all)
}

// empty returns a channel that is closed once no request is left.
func (s *runningSet) empty() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle == nil {
		s.idle = make(chan struct{})
	}
	idle := s.idle
	if len(s.all) == 0 {
		close(s.idle)
		s.idle = nil
	}
	return idle
}
