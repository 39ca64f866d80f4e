// Package fault provides the fault injection that the stand-ins share: a typed
// set of fault switches that is read and changed over HTTP, and helpers that
// close connections and delay answers.
package fault

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/tamarackcleat/tamarackcleat/standin/web"
)

// Path is the URL path at which every stand-in serves its switches. A POST
// changes the fields that its body names and keeps the others.
const Path = "/fault"

// Switches is a set of fault switches of type T, safe for concurrent use.
type Switches[T any] struct {
	mu    sync.Mutex
	value T
	// changed is closed and replaced when Update changes the value.
	changed chan struct{}
}

// New returns switches with the zero value of T, in which all are off.
func New[T any]() *Switches[T] {
	return &Switches[T]{changed: make(chan struct{})}
}

// Get returns the current values of the switches.
func (s *Switches[T]) Get() T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value
}

// Update changes the switches and wakes all calls of WaitWhile.
func (s *Switches[T]) Update(change func(*T)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.value)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Take calls update with the switches and returns its result, which says
// whether update changed them. It is meant for switches that count down, and
// doesn't wake calls of WaitWhile.
func (s *Switches[T]) Consume(update func(*T) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return update(&s.value)
}

// WaitWhile blocks while the switches meet a condition. It returns false if
// the context ends first.
func (s *Switches[T]) WaitWhile(ctx context.Context, condition func(T) bool) bool {
	for {
		s.mu.Lock()
		holds := condition(s.value)
		changed := s.changed
		s.mu.Unlock()
		if !holds {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// ServeHTTP answers with the switches as JSON. A POST first applies its body to
// them.
func (s *Switches[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		web.WriteJSON(w, http.StatusOK, s.Get())
		return
	}
	value := s.Get()
	if !web.ReadJSON(w, r, &value) {
		return
	}
	s.Update(func(v *T) { *v = value })
	web.WriteJSON(w, http.StatusOK, value)
}

// Set applies a JSON text to the switches as a POST does, for stand-ins that
// run in the test process. It returns an error if the text is invalid or names
// an unknown field.
func (s *Switches[T]) SetJSON(body string) error {
	value := s.Get()
	if err := web.Decode(strings.NewReader(body), &value); err != nil {
		return err
	}
	s.Update(func(v *T) { *v = value })
	return nil
}

// Cut aborts the HTTP handler that calls it: the connection of the request is
// closed without a complete answer. It does not return.
func AbortConnection() { panic(http.ErrAbortHandler) }

// Sleep waits for a duration or until the context ends, and reports whether the
// whole duration passed. It doesn't wait for a duration of zero or less, and
// then reports whether the context has not ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
