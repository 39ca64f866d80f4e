package admission

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/config/dynamic"
	"github.com/tamarackcleat/tamarackcleat/kernel"
)

// Configure replaces the classes.
type Configure struct {
	// Classes holds the classes in force.
	Classes []dynamic.Class
}

// Capacity sets how many requests of a pool this node may run at a time. It is
// the node's share, not the whole pool.
type Capacity struct {
	// Pool is the model's name, or balance.ServicePool of a plain service.
	Pool string
	// Slots is the node's share of the pool's slots.
	Slots int
}

// Arrive asks to run a request. The reply, which may come later, is Admitted
// or *verdict.Error.
type Arrive struct {
	// Ask identifies the reply.
	Ask kernel.AskID
	// RequestID identifies the request; it is unique on the node.
	RequestID string
	// Class is the class of the request.
	Class string
	// Team is the caller's team.
	Team string
	// Deadline is when the caller gives up; zero if it doesn't say.
	Deadline time.Time
}

// Admitted lets a request run.
type Admitted struct {
	// Priority is the priority to pass on to the engine.
	Priority int
}

// Done ends an admitted request.
type Done struct {
	// RequestID identifies the request.
	RequestID string
	// Service is the time that it ran; 0 if it didn't run to its end.
	Service time.Duration
}

// Cancel ends a request, waiting or admitted, whose caller went away.
type Cancel struct {
	// RequestID identifies the request.
	RequestID string
}

// expire is the timer at which waiting requests may be too late.
type expire struct {
	pool string
}
