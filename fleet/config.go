// Package fleet is what a node believes of the deployment: the configuration in
// force and the upstreams with the replicas that they form.
//
// The types are plain values without a wire format; providers fill them in. A
// View is immutable, so that requests read it without a lock.
package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind string

const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = "idempotent"
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = "unsafe"
	// KindStream requests are answered by a series of events. They run at
	// most once unless the route is resumable.
	KindStream Kind = "stream"
)

// Config is one version of the operators' configuration. Its slices and maps
// are not changed after it was handed out.
type Config struct {
	// Version rises with each change.
	Version int64
	// Services holds the services by name.
	Services map[string]Service
	// Teams holds the teams by API key.
	Teams map[string]Team
	// RequireKey says that requests need a key unless their route is public.
	RequireKey bool
	// Limits bounds what callers may send.
	Limits Limits

	routes map[string][]Route
}

// NewConfig returns a configuration with its routes indexed.
func NewConfig(version int64, routes []Route) *Config {
	c := &Config{Version: version, routes: map[string][]Route{}}
	for _, r := range routes {
		c.routes[r.Host] = append(c.routes[r.Host], r)
	}
	for _, list := range c.routes {
		slices.SortFunc(list, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Match returns the route of a host with the longest prefix of the path.
func (c *Config) Match(host, path string) (Route, bool) {
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Routes returns the number of routes.
func (c *Config) Routes() int {
	n := 0
	for _, list := range c.routes {
		n += len(list)
	}
	return n
}

// Route sends requests of a host and path prefix to services.
type Route struct {
	// Name names the route.
	Name string
	// Host and Prefix select requests.
	Host, Prefix string
	// Kind says what may be repeated.
	Kind Kind
	// Timeout is the longest time that a caller is kept waiting; 0 for none.
	Timeout time.Duration
	// Target is the time to the answer or, of a stream, to its first event.
	Target time.Duration
	// GapTarget is the longest pause between events of a stream on time.
	GapTarget time.Duration
	// Priority is the route's rank; 0 is the most urgent.
	Priority int
	// Split holds the services with their weights.
	Split []Weighted
	// MaxAttempts bounds the upstreams that one request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another upstream.
	Resumable bool
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Weighted is a service's part of a route.
type Weighted struct {
	Service string
	Weight  int
}

// Service is a group of upstreams that can stand in for each other.
type Service struct {
	Name string
	// HealthPath answers health checks.
	HealthPath string
	// MaxConns bounds an upstream's connections from all nodes together.
	MaxConns int
	// Engine describes model engines; nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the size of a replica's batch.
	Slots int
	// Models holds the models that replicas can serve.
	Models []Model
	// Step is the time of one token step of an idle replica; PerRequest is
	// added for each request that is generating.
	Step, PerRequest time.Duration
	// ReadPerSecond is the number of prompt tokens read a second.
	ReadPerSecond float64
	// Chunk is the most prompt tokens read in one step.
	Chunk int
	// Stride is the number of steps between two events.
	Stride int
	// LoadsPerSecond bounds loads from the weight store that start in a
	// second; LoadsAtOnce is the number beyond which loads slow each other.
	LoadsPerSecond float64
	LoadsAtOnce    int
	// OpenTime is the time that a replica takes to open.
	OpenTime time.Duration
}

// Model describes a model.
type Model struct {
	Name string
	// Size is the number of VMs of a replica.
	Size int
	// Share is the model's part of the work, as the operators expect it.
	Share float64
	// Pace is a factor on the replica's times.
	Pace float64
	// LoadTime is the time to load from the weight store, WarmTime that from
	// the host's memory.
	LoadTime, WarmTime time.Duration
}

// Model returns a model by name.
func (e *Engine) Model(name string) (Model, bool) {
	i := slices.IndexFunc(e.Models, func(m Model) bool { return m.Name == name })
	if i < 0 {
		return Model{}, false
	}
	return e.Models[i], true
}

// Team is a group of callers that share API keys.
type Team struct {
	Name string
	// Priority takes precedence over the route's if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bounds what callers may send and how long they may take.
type Limits struct {
	// HeaderBytes and BodyBytes bound a request.
	HeaderBytes, BodyBytes int
	// HeaderTimeout bounds the wait for a header, IdleTimeout that between
	// requests of a connection.
	HeaderTimeout, IdleTimeout time.Duration
}
