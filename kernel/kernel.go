// Package kernel runs deterministic services on one node.
//
// The kernel knows a clock, a registry of services by name, message delivery
// and timers. A service is a deterministic state machine: it takes a typed
// message and returns typed effects. It reads no clock, no random source and
// no socket. Drivers bind effects to the outside world; tests bind the same
// services to fakes.
//
// The guarantee: messages are handled one at a time, in the order in which
// they were posted, so a service needs no locks, and the same sequence of
// (time, message) pairs yields the same effects on every run.
package kernel

import (
	"time"
)

// Message is a typed input of a service.
type Message any

// Effect is a typed output of a service.
type Effect any

// Service is a deterministic state machine with a registered name.
type Service interface {
	// Name is the dotted name under which other services find it.
	Name() string
	// Handle takes one message at a given time and returns its effects.
	// Handle must not block.
	Handle(now time.Time, msg Message) []Effect
}

// Starter is a service that has effects to perform before its first message.
type Starter interface {
	// Start returns the first effects, such as timers.
	Start(now time.Time) []Effect
}

// Send delivers a message to another service of the same node.
type Send struct {
	// To is the registered name of the receiver.
	To string
	// Msg is the message to deliver.
	Msg Message
}

// SetTimer delivers a message after a delay.
type SetTimer struct {
	// To is the registered name of the receiver.
	To string
	// After is the delay.
	After time.Duration
	// Msg is the message to deliver.
	Msg Message
}

// Reply answers the Ask with the given identifier.
type Reply struct {
	// ID is the identifier that Ask passed to the message.
	ID AskID
	// Msg is the answer.
	Msg Message
}

// AskID identifies a pending Ask.
type AskID uint64

// Driver performs effects that the kernel itself does not know.
type Driver interface {
	// Perform starts the effect and returns at once; results come back as
	// messages. It reports whether the effect is of a kind it performs.
	Perform(effect Effect) bool
}
