package admission

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/config/dynamic"
	"github.com/tamarackcleat/tamarackcleat/kernel"
)

// Configure replaces the classes.
type Configure struct {
	// Classes lists all classes of the configuration in force.
	Classes []dynamic.Class
}

// Capacity sets how many requests of a pool this node may run at a time. It is
// this node's share of the pool, not the whole pool.
type Capacity struct {
	// Pool is the model's name, or the result of balance.ServicePool for a
	// plain service.
	Pool string
	// Slots is this node's share of the pool's slots.
	Slots int
}

// Arrive asks to run a request. The reply is Admitted or *verdict.Error. It comes
// at once or, if the request has to wait, when the wait ends.
type Arrive struct {
	// Ask is the identifier that the reply carries.
	Ask kernel.AskID
	// RequestID identifies the request; it is unique on the node.
	RequestID string
	// Class is the class of the request.
	Class string
	// Team is the caller's team.
	Team string
	// Deadline is when the caller gives up; the zero time if the caller
	// didn't set one.
	Deadline time.Time
}

// Admitted lets a request run.
type Admitted struct {
	// Priority is the priority to pass to the engine.
	Priority int
}

// Done ends an admitted request.
type Done struct {
	// RequestID identifies the request.
	RequestID string
	// Service is how long the request ran; 0 if it didn't run to its end.
	Service time.Duration
}

// Cancel ends a waiting or admitted request whose caller went away.
type Cancel struct {
	// RequestID identifies the request.
	RequestID string
}

// expiryDue is the message of the timer that fires when waiting requests of a pool
// may have expired.
type expiryDue struct {
	pool string
}
