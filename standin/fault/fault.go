// Package fault holds what the stand-ins' fault switches have in common: a
// typed set of switches that is read and changed over HTTP, and the ways in
// which a stand-in misbehaves on a connection.
package fault

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/tamarackcleat/tamarackcleat/standin/web"
)

// Path is where every stand-in takes and gives its switches. A POST changes
// the fields that it names and keeps the others.
const Path = "/fault"

// Switches is a set of fault switches of type T, safe for concurrent use.
type Switches[T any] struct {
	mu      sync.Mutex
	value   T
	changed chan struct{}
}

// New returns switches that are all off.
func New[T any]() *Switches[T] {
	return &Switches[T]{changed: make(chan struct{})}
}

// Get returns the switches as they are.
func (s *Switches[T]) Get() T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value
}

// Update changes the switches and wakes everyone who waits for a change.
func (s *Switches[T]) Update(change func(*T)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.value)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Take changes the switches if take says so and reports whether it did. It
// serves switches that count down.
func (s *Switches[T]) Take(take func(*T) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return take(&s.value)
}

// WaitWhile blocks as long as a condition holds. It returns false if the
// context ended first.
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

// ServeHTTP gives the switches on GET and changes them on POST.
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

// Set applies the JSON of a POST to the switches, for stand-ins that run
// within the test's own process.
func (s *Switches[T]) Set(body string) error {
	value := s.Get()
	if err := web.Decode(strings.NewReader(body), &value); err != nil {
		return err
	}
	s.Update(func(v *T) { *v = value })
	return nil
}

// Cut closes the caller's connection without an answer. It does not return.
func Cut() { panic(http.ErrAbortHandler) }

// Sleep waits for a time or the end of the context, and reports whether the
// whole time passed.
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
