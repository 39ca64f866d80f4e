// Package fleet describes the deployment as a node knows it: the configuration
// in force, the upstreams and the replicas that they form.
//
// The types are plain values without a wire format; other packages decode
// configurations and reports into them. A View is immutable, so requests read it
// without a lock.
package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says whether the requests of a route may run more than once.
type Kind string

const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = "idempotent"
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = "unsafe"
	// KindStream requests are answered with a series of events. They run at
	// most once unless the route is resumable.
	KindStream Kind = "stream"
)

// Config is one version of the operators' configuration. Its slices and maps
// are not changed once it has been handed out.
type Config struct {
	// Version increases with each change of the configuration.
	Version int64
	// Services holds the services by name.
	Services map[string]Service
	// Teams holds the teams by API key.
	Teams map[string]Team
	// RequireKey says that requests need an API key unless their route is
	// public.
	RequireKey bool
	// Limits bounds the requests of callers.
	Limits Limits

	routes map[string][]Route
}

// NewConfig returns a configuration with the given routes, indexed by host. The
// caller fills in the other fields.
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

// Match returns the host's route with the longest prefix of the path; false if
// there is none.
func (c *Config) Match(host, path string) (Route, bool) {
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Routes returns the number of routes of all hosts.
func (c *Config) Routes() int {
	n := 0
	for _, list := range c.routes {
		n += len(list)
	}
	return n
}

// Route maps the requests of a host and path prefix to services.
type Route struct {
	// Name names the route.
	Name string
	// Host and Prefix select the requests: those to the host whose path starts
	// with the prefix.
	Host, Prefix string
	// Kind says whether requests may run more than once.
	Kind Kind
	// Timeout is the longest time that a caller waits for an answer; 0 for no
	// limit.
	Timeout time.Duration
	// LatencyTarget is the latency objective: the time to the answer or, for a
	// stream, to its first event.
	LatencyTarget time.Duration
	// EventGapTarget is the objective for streams: the longest pause between
	// two events.
	EventGapTarget time.Duration
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int
	// Split holds the services among which requests are divided, with their
	// weights.
	Split []WeightedService
	// MaxAttempts is the highest number of upstreams that one request may be
	// sent to.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Resumable streams may be continued on another upstream.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// WeightedService is a service of a route with its weight in the split.
type WeightedService struct {
	Service string
	Weight  int
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name string
	// HealthPath is the path at which upstreams answer health checks.
	HealthPath string
	// MaxConns bounds the connections to one upstream from all nodes together.
	MaxConns int
	// ColdTime is how long an upstream is cold after its start: it handles no more than
	// ColdPerSecond requests per second. 0 if upstreams of the service are never cold.
	ColdTime      time.Duration
	ColdPerSecond float64
	// Engine describes the model engines of the service; nil for a plain
	// service, whose VMs serve requests without replicas.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that a replica processes in one batch.
	Slots int
	// Models holds the models that the service's replicas can serve.
	Models []Model
	// StepTime is the duration of one decoding step of an idle replica;
	// StepTimePerRequest is added for each request that is generating tokens.
	StepTime, StepTimePerRequest time.Duration
	// PromptTokensPerSecond is the number of prompt tokens that a replica
	// processes per second.
	PromptTokensPerSecond float64
	// PromptChunk is the highest number of prompt tokens processed in one step.
	PromptChunk int
	// StepsPerEvent is the number of steps between two events of a stream.
	StepsPerEvent int
	// LoadsPerSecond bounds the loads from the weight store that start per
	// second; ConcurrentLoads is the number of concurrent loads above which
	// they slow each other.
	LoadsPerSecond  float64
	ConcurrentLoads int
	// OpenTime is the time that a replica takes to open once all members are
	// ready.
	OpenTime time.Duration
}

// Model describes a model that replicas can serve.
type Model struct {
	Name string
	// Size is the number of VMs in a replica of the model.
	Size int
	// Share is the fraction of the service's work that the operators expect for
	// the model.
	Share float64
	// TimeFactor multiplies the times that follow from Engine.StepTime,
	// Engine.StepTimePerRequest and Engine.PromptTokensPerSecond for this
	// model; a model with a lower factor is faster.
	TimeFactor float64
	// LoadTime is the time that a VM takes to load the model from the weight
	// store, WarmTime that to load it from the host's memory.
	LoadTime, WarmTime time.Duration
}

// Model returns the engine's model with the given name; false if there is none.
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
	// Priority replaces the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bounds what callers may send and how long they may take.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes bound the size of a request's header and
	// body.
	MaxHeaderBytes, MaxBodyBytes int
	// HeaderTimeout bounds the wait for a request's header, IdleTimeout the
	// wait for the next request on a connection.
	HeaderTimeout, IdleTimeout time.Duration
}
