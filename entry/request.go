package entry

import (
	"context"
	"io"
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
	// maxBodyBytes bounds bodies of callers whatever their class says.
	maxBodyBytes = 4 << 20
	// defaultLargestRequest bounds bodies of classes without a bound.
	defaultLargestRequest = 1 << 20
	// bodyTimeout ends the wait for a slow caller's body.
	bodyTimeout = 15 * time.Second
	// maxTeamLength bounds the name of a team.
	maxTeamLength = 64
	// defaultTeam is the team of callers that name none.
	defaultTeam = "default"
)

// request is one request of a caller.
type request struct {
	node     *Node
	id       string
	team     string
	arrived  time.Time
	admitted time.Time
	deadline time.Time
	class    dynamic.Class
	trace    *requestTrace
	// promptBytes is the size of the prompt; 0 for calls.
	promptBytes int
}

// newRequest gives a request its id.
func (n *Node) newRequest(w http.ResponseWriter, r *http.Request) *request {
	q := &request{node: n, id: newRequestID(n.id), team: teamOf(r), arrived: time.Now()}
	q.trace = n.traces.begin(q.id, "", q.team)
	w.Header().Set(api.HeaderRequestID, q.id)
	return q
}

// teamOf returns the caller's team.
func teamOf(r *http.Request) string {
	team := r.Header.Get(api.HeaderTeam)
	if team == "" {
		return defaultTeam
	}
	return team[:min(len(team), maxTeamLength)]
}

// readBody reads a body within a size and a time.
func (n *Node) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *verdict.Error) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, verdict.Refuse(verdict.ReasonTooLarge, "the body is larger than %d bytes", limit)
	}
	if err != nil {
		return nil, verdict.Refuse(verdict.ReasonBadRequest, "reading the body: %v", err)
	}
	return body, nil
}

// resolve finds the class of a request and its deadline.
func (n *Node) resolve(q *request, name string, kind dynamic.ClassKind, size int) *verdict.Error {
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
	q.deadline = q.arrived.Add(lateFactor * time.Duration(class.Targets.AnsweredWithin))
	largest := int(class.LargestRequest)
	if largest == 0 {
		largest = defaultLargestRequest
	}
	if size > largest {
		return verdict.Refuse(verdict.ReasonTooLarge, "class %s takes bodies of at most %d bytes", class.Name, largest)
	}
	return nil
}

// setClass completes a trace.
func (r *requestTrace) setClass(class string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ex.Class = class
}

// repeatable reports whether running the request twice does no harm.
func (q *request) repeatable() bool {
	return q.class.Kind == dynamic.KindGenerate || q.class.Repeatable
}

// refuse answers a request with a failure and counts it.
func (n *Node) refuse(w http.ResponseWriter, q *request, e *verdict.Error) {
	n.failed(q, e)
	writeRefusal(w, q.id, e)
}

// failed counts and logs a failure.
func (n *Node) failed(q *request, e *verdict.Error) {
	n.stats.refused(q.class.Name, e)
	q.trace.add(api.TraceEvent{Step: "refused", Verdict: e.Verdict, Reason: e.Reason, Detail: e.Detail})
	n.logger.Info("request failed",
		"request_id", q.id,
		"class", q.class.Name,
		"team", q.team,
		"verdict", e.Verdict,
		"reason", e.Reason,
	)
}

// ask puts a question to a service.
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

// document returns the configuration in force, nil before the first.
func (n *Node) document() *dynamic.Document {
	c := n.inForce.Load()
	if c == nil {
		return nil
	}
	return c.Document
}

// configSink is the kernel service that publishes the configuration in force
// to the request path.
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

// seedOf derives a sampling seed from a request id, so that a resumed answer
// continues the first.
func seedOf(requestID string) int64 {
	return int64(xxhash.Sum64String(requestID) >> 1)
}
