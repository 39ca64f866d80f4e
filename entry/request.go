package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/api"
	"github.com/tamarackcleat/tamarackcleat/config/dynamic"
	"github.com/tamarackcleat/tamarackcleat/configuration"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

const (
	// maxBodyBytes limits the size of callers' bodies, whatever limit a class sets.
	maxBodyBytes = 4 << 20
	// defaultMaxRequestBytes limits the size of bodies if the class sets no limit.
	defaultMaxRequestBytes = 1 << 20
	// maxTeamLength is the length in bytes that a team's name is cut to.
	maxTeamLength = 64
	// defaultTeam is the team of requests that name none.
	defaultTeam = "default"
)

// request holds the state that every request has, a chat completion or a call.
type request struct {
	node       *Node
	id         string
	team       string
	arrivedAt  time.Time
	admittedAt time.Time
	deadline   time.Time
	class      dynamic.Class
	trace      *requestTrace
	// promptBytes is the size of the prompt; 0 for calls.
	promptBytes int
	// withheld is why the request was last not sent to the upstream that was picked.
	withheld *verdict.Error
}

// newRequest assigns a request its id, starts its trace and puts the id into the
// response header.
func (n *Node) newRequest(w http.ResponseWriter, r *http.Request) *request {
	q := &request{node: n, id: newRequestID(n.id), team: callerTeam(r), arrivedAt: time.Now()}
	q.trace = n.traces.begin(q.id, "", q.team)
	w.Header().Set(api.HeaderRequestID, q.id)
	return q
}

// callerTeam returns the team that a request names, or defaultTeam if none.
func callerTeam(r *http.Request) string {
	team := r.Header.Get(api.HeaderTeam)
	if team == "" {
		return defaultTeam
	}
	return team[:min(len(team), maxTeamLength)]
}

// resolveClass sets the class and the deadline of a request. It refuses the
// request if no class of that name and kind is declared or if the body, of the
// given size in bytes, is too large for the class.
func (n *Node) resolveClass(q *request, name string, kind dynamic.ClassKind, size int) *verdict.Error {
	doc := n.document()
	if doc == nil {
		return verdict.Refuse(verdict.ReasonNoConfig, "no configuration is in force yet").WithRetryAfter(time.Second)
	}
	class, ok := doc.Class(name)
	if !ok || class.Kind != kind {
		return verdict.Refuse(verdict.ReasonUnknownClass, "no class %.64q of kind %s is declared", name, kind)
	}
	q.class = class
	q.trace.setClass(class.Name)
	q.deadline = q.arrivedAt.Add(deadlineFactor * time.Duration(class.Targets.AnsweredWithin))
	largest := int(class.LargestRequest)
	if largest == 0 {
		largest = defaultMaxRequestBytes
	}
	if size > largest {
		return verdict.Refuse(verdict.ReasonTooLarge, "class %s takes bodies of at most %d bytes", class.Name, largest)
	}
	return nil
}

// setClass sets the class of a request's trace; it is not yet known when the
// trace begins.
func (r *requestTrace) setClass(class string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trace.Class = class
}

// repeatable reports whether the request may safely run more than once.
func (q *request) repeatable() bool {
	return q.class.Kind == dynamic.KindGenerate || q.class.Repeatable
}

// refuse records a failure and sends it to the caller.
func (n *Node) refuse(w http.ResponseWriter, q *request, e *verdict.Error) {
	n.recordFailure(q, e)
	writeFailure(w, q.id, e)
}

// recordFailure counts, traces and logs a failure.
func (n *Node) recordFailure(q *request, e *verdict.Error) {
	n.stats.countRefused(q.class.Name, e)
	q.trace.add(api.TraceEvent{Step: "refused", Verdict: e.Verdict, Reason: e.Reason, Detail: e.Detail})
	n.logger.Info("request failed",
		"request_id", q.id,
		"class", q.class.Name,
		"team", q.team,
		"verdict", e.Verdict,
		"reason", e.Reason,
	)
}

// ask sends a message to a kernel service and waits for the reply. If there is
// none, it refuses with ReasonDeadline at the deadline of ctx and otherwise with
// ReasonCanceled.
func (n *Node) ask(ctx context.Context, to string, build func(kernel.AskID) kernel.Message) (kernel.Message, *verdict.Error) {
	msg, err := n.kernel.Ask(ctx, to, build)
	if err == nil {
		return msg, nil
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return nil, verdict.Refuse(verdict.ReasonDeadline, "not admitted in time")
	}
	return nil, verdict.Refuse(verdict.ReasonCanceled, "the caller went away")
}

// document returns the configuration in force, or nil if there is none yet.
func (n *Node) document() *dynamic.Document {
	c := n.inForce.Load()
	if c == nil {
		return nil
	}
	return c.Document
}

// configSink is the kernel service that makes the configuration in force
// available to the HTTP handlers.
type configSink struct{ node *Node }

// Name implements kernel.Service.
func (s *configSink) Name() string { return "entry.configuration" }

// Handle implements kernel.Service.
func (s *configSink) Handle(_ time.Time, msg kernel.Message) []kernel.Effect {
	if m, ok := msg.(configuration.Changed); ok {
		s.node.inForce.Store(&m)
		s.node.logger.Info("configuration in force", "version", m.Version)
	}
	return nil
}

// samplingSeed derives a sampling seed from a request id, so that all attempts of
// a request use the same seed and a later one continues the answer of an
// earlier one.
func samplingSeed(requestID string) int64 {
	return int64(xxhash.Sum64String(requestID) >> 1)
}
