package entry

import (
	"github.com/rcrowley/go-metrics"

	"github.com/tamarackcleat/tamarackcleat/callerlimit"
	"github.com/tamarackcleat/tamarackcleat/config/static"
	"github.com/tamarackcleat/tamarackcleat/decisions"
)

// Limits on what callers hold, if the settings set none. docs/design/caller-limits.md has
// the reasons.
const (
	// callerDescriptorShare and callerMemoryShare are the parts of the process's
	// descriptors and memory that connections to its only listener may hold. The rest is for
	// upstreams, the log and peers.
	callerDescriptorShare = 0.3
	callerMemoryShare     = 0.3
	// defaultCallerConnections and defaultCallerBytes apply without a limit on descriptors
	// or memory.
	defaultCallerConnections = 4096
	defaultCallerBytes       = 64 << 20
	// runtimeMemoryShare is the part of the process's memory that is set as the memory
	// limit of the Go runtime; the rest is for stacks, kernel buffers and bursts.
	runtimeMemoryShare = 0.6
)

// callerLimits returns the limits on what callers hold together.
func callerLimits(s static.Limits) callerlimit.Limits {
	l := callerlimit.Limits{Connections: defaultCallerConnections, Bytes: defaultCallerBytes}
	switch {
	case s.CallerConnections > 0:
		l.Connections = int(s.CallerConnections)
	case s.Descriptors > 0:
		l.Connections = int(callerDescriptorShare * float64(s.Descriptors))
	}
	switch {
	case s.CallerMemory > 0:
		l.Bytes = int64(s.CallerMemory)
	case s.Memory > 0:
		l.Bytes = int64(callerMemoryShare * float64(s.Memory))
	}
	return l
}

// noteCallers counts and logs what callers lost because they exceeded the limits.
func (n *Node) noteCallers(cause string, count int64) {
	metrics.GetOrRegisterCounter("limited.callers."+cause, n.registry).Inc(count)
	n.logger.Warn(decisions.CallersLimited, "listener", "callers", "cause", cause, "count", count)
}
