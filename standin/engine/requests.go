package engine

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// Causes with which the engine cancels a request.
var (
	errCrashed    = errors.New("the VM crashed")
	errSuperseded = errors.New("the VM left the replica")
	errMemberLost = errors.New("a member of the replica is missing")
	errCanceled   = errors.New("the request was canceled")
)

// requestSet holds the requests of a VM that wait for a slot or run in one.
type requestSet struct {
	mu  sync.Mutex
	all map[*activeRequest]struct{}
	// emptied is closed when the last request is removed; it is nil if nobody
	// waits for that.
	emptied chan struct{}
}

// activeRequest is one request that waits for a slot or runs in one.
type activeRequest struct {
	id     string
	cancel context.CancelCauseFunc
}

// add registers a request. It returns a context that ends when the request is
// canceled, and a function that removes the request from the set.
func (s *requestSet) add(ctx context.Context, id string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	request := &activeRequest{id: id, cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = map[*activeRequest]struct{}{}
	}
	s.all[request] = struct{}{}
	return ctx, func() { s.remove(request) }
}

func (s *requestSet) remove(request *activeRequest) {
	request.cancel(nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, request)
	if len(s.all) == 0 && s.emptied != nil {
		close(s.emptied)
		s.emptied = nil
	}
}

// cancelAll cancels all requests with a cause.
func (s *requestSet) cancelAll(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for request := range s.all {
		request.cancel(cause)
	}
}

// cancel cancels all requests with a request ID.
func (s *requestSet) cancel(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for request := range s.all {
		if request.id == id {
			request.cancel(errCanceled)
		}
	}
}

// count returns the number of requests that wait or run.
func (s *requestSet) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.all)
}

// whenEmpty returns a channel that is closed once the set has no request, at
// once if it has none now.
func (s *requestSet) whenEmpty() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.emptied == nil {
		s.emptied = make(chan struct{})
	}
	emptied := s.emptied
	if len(s.all) == 0 {
		close(s.emptied)
		s.emptied = nil
	}
	return emptied
}
