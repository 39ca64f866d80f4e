// Package kernel runs deterministic services on one node, on an event loop.
//
// The kernel has a clock, a registry of services by name, a message queue and
// timers. A service is a deterministic state machine: it takes a typed message
// and returns typed effects, and it uses no clock, random source or socket of
// its own. The kernel itself performs effects such as sending a message to
// another service; drivers perform the effects that reach outside the node.
// Tests run the same services with a fake clock and fake drivers.
//
// The guarantee: messages are handled one at a time, in the order in which
// they were posted, so a service needs no locks, and the same sequence of
// times and messages gives the same effects on every run.
package kernel

import (
	"time"
)

// Message is an input of a service. Its type determines how the service handles
// it.
type Message any

// Effect is an output of a service: an action that the kernel or a driver
// performs, according to its type.
type Effect any

// Service is a deterministic state machine with a registered name.
type Service interface {
	// Name returns the name under which the service is registered and to
	// which messages for it are sent.
	Name() string
	// Handle processes one message and returns the effects to perform. now is
	// the time of the kernel's clock. Handle must not block.
	Handle(now time.Time, msg Message) []Effect
}

// Starter is implemented by services that have effects to perform before their
// first message.
type Starter interface {
	// Start returns the first effects of the service, such as timers. now is
	// the time of the kernel's clock.
	Start(now time.Time) []Effect
}

// Send is the effect that delivers a message to a service of the same node.
type Send struct {
	// To is the registered name of the receiver.
	To string
	// Msg is the message to deliver.
	Msg Message
}

// SetTimer is the effect that delivers a message after a delay.
type SetTimer struct {
	// To is the registered name of the receiver.
	To string
	// After is the delay, counted from when the effect is performed.
	After time.Duration
	// Msg is the message to deliver.
	Msg Message
}

// Reply is the effect that answers a pending call of Node.Ask.
type Reply struct {
	// ID identifies the call of Node.Ask.
	ID AskID
	// Msg is the answer.
	Msg Message
}

// AskID identifies a pending call of Node.Ask.
type AskID uint64

// Driver performs effects of types that the kernel itself does not perform.
type Driver interface {
	// Perform reports whether the driver performs effects of this type. If
	// so, it starts the effect and returns at once; a result is posted later
	// as a message.
	Perform(effect Effect) bool
}
