package gateway

import (
	"log/slog"
	"sync"

	"github.com/tamarackcleat/tamarackcleat/decisions"
)

// maxOtherFirstEvents is the number of streams of a service that begin with another event
// than its first known stream did, from which on its streams may begin with any event.
const maxOtherFirstEvents = 3

// firstEvents holds the ids with which streams begin, by service, as streams have shown
// them. A stream that begins elsewhere lacks its first events, or its first event has a
// wrong id, unless streams of the service differ in this. It is safe for concurrent use.
type firstEvents struct {
	logger *slog.Logger

	mu       sync.Mutex
	services map[string]*firstEvent
}

// firstEvent is the id with which streams of a service begin, and the number of streams
// that began with another one.
type firstEvent struct {
	id     string
	others int
}

func newFirstEvents(logger *slog.Logger) *firstEvents {
	return &firstEvents{logger: logger, services: map[string]*firstEvent{}}
}

// of returns the id with which all streams of a service begin; empty if none is known or
// they differ.
func (e *firstEvents) of(service string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.services[service]; s != nil && s.others < maxOtherFirstEvents {
		return s.id
	}
	return ""
}

// learn records that a stream of a service began with the event id, which its second event
// has confirmed.
func (e *firstEvents) learn(service, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.services[service]
	switch {
	case s == nil:
		e.services[service] = &firstEvent{id: id}
	case s.id != id:
		s.others++
		e.logger.Warn(decisions.StreamStart, "service", service, "event", id, "expected", s.id, "others", s.others)
	}
}
