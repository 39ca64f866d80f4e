package gateway

import (
	"context"
	"hash/fnv"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/retry"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// defaultPatience bounds requests that say nothing of a deadline, on routes
// without a timeout.
const defaultPatience = 30 * time.Second

// retryAfterFailure is when a caller may try again where nothing says more; a
// replica that lost a VM is back after a second or two.
const retryAfterFailure = 500 * time.Millisecond

// flight is a request on its way.
type flight struct {
	node    *Node
	w       http.ResponseWriter
	req     *Request
	view    *fleet.View
	route   fleet.Route
	service fleet.Service
	team    fleet.Team
	arrived time.Time
	// deadline is when the caller or the route gives up.
	deadline time.Time

	attempts int
	exclude  []string
	// moved says that an upstream stood still.
	moved  bool
	events eventBuffer
	// started says that a part of the answer was passed on.
	started bool
	first   time.Time
	// passedAt is when bytes were passed on last, pause the longest time
	// between two such.
	passedAt time.Time
	pause    time.Duration
	status   int
}

// serve answers a caller's request.
func (n *Node) serve(w http.ResponseWriter, r *http.Request) {
	n.asked.Store(true)
	n.active.Add(1)
	defer n.active.Add(-1)
	if n.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	f := &flight{node: n, w: w, view: n.state.View(), arrived: time.Now()}
	if e := f.prepare(r); e != nil {
		f.refuse(e)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), f.deadline)
	defer cancel()
	e := f.run(ctx)
	f.finish(r.Context(), e)
}

// prepare decodes the request and finds its route, team and service.
func (f *flight) prepare(r *http.Request) *verdict.Error {
	req, err := f.node.outside.Protocol.Decode(r)
	f.req = req
	if err != nil {
		return verdict.Refuse(verdict.ReasonBadRequest, "%v", err)
	}
	if f.view.Config == nil {
		return verdict.Refuse(verdict.ReasonNoConfig, "no configuration yet").WithRetryAfter(retryAfterFailure)
	}
	if e := f.readBody(r); e != nil {
		return e
	}
	if e := f.resolve(); e != nil {
		return e
	}
	if f.node.closing(f.needs()) {
		return verdict.Refuse(verdict.ReasonStopping, "the node stops").WithRetryAfter(retryElsewhere)
	}
	f.deadline = f.arrived.Add(defaultPatience)
	if t := f.route.Timeout; t > 0 {
		f.deadline = f.arrived.Add(t)
	}
	if p := f.req.Patience; p > 0 && f.arrived.Add(p).Before(f.deadline) {
		f.deadline = f.arrived.Add(p)
	}
	return nil
}

const (
	// retryElsewhere is when a caller may try again that another node can
	// serve at once.
	retryElsewhere = 10 * time.Millisecond
	// longAnswer is how long a stream may take where nothing says more.
	longAnswer = 5 * time.Second
	// shortAnswer is that of a plain service.
	shortAnswer = time.Second
)

// needs returns how long the answer may take.
func (f *flight) needs() time.Duration {
	if f.route.Kind == fleet.KindStream {
		return longAnswer
	}
	return shortAnswer
}

// readBody reads the body within the configured bound.
func (f *flight) readBody(r *http.Request) *verdict.Error {
	limit := int64(f.view.Config.Limits.BodyBytes)
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength > limit {
		return verdict.Refuse(verdict.ReasonTooLarge, "the body has %d bytes", r.ContentLength)
	}
	body, err := io.ReadAll(http.MaxBytesReader(f.w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return verdict.Refuse(verdict.ReasonTooLarge, "the body has over %d bytes", limit)
	case err != nil:
		return verdict.Refuse(verdict.ReasonBadRequest, "reading the body: %v", err)
	}
	f.req.Body = body
	return nil
}

// defaultBodyBytes bounds bodies where the configuration doesn't.
const defaultBodyBytes = 4 << 20

// resolve finds the route, the team of the key and the service.
func (f *flight) resolve() *verdict.Error {
	c := f.view.Config
	route, ok := c.Match(f.req.Host, f.req.Path)
	if !ok {
		return f.unknown(verdict.ReasonNoRoute, "no route serves the host and path")
	}
	f.route = route
	if c.RequireKey && !route.Public {
		if f.node.stale() {
			return verdict.Refuse(verdict.ReasonConfigStale, "the configuration was last proved current %v ago",
				f.node.state.configAge()).WithRetryAfter(retryAfterFailure)
		}
		team, ok := c.Teams[f.req.Key]
		if !ok {
			return f.unknown(verdict.ReasonAPIKeyUnknown, "no team holds the key")
		}
		f.team = team
	}
	f.service = c.Services[f.pickService()]
	return nil
}

// unknownAfter is the age of the configuration's last proof from which the node
// may have missed a change that has to be in force: the bound on changes is two
// seconds. A sound node's proof is at most 1.3 s old.
const unknownAfter = 1800 * time.Millisecond

// unknown refuses what the configuration doesn't know. A node that may have
// missed the newest configuration doesn't claim to know.
func (f *flight) unknown(reason verdict.Reason, detail string) *verdict.Error {
	if f.node.state.configAge() > unknownAfter {
		return verdict.Refuse(verdict.ReasonConfigStale, "%s, but the configuration may be old", detail).
			WithRetryAfter(retryAfterFailure)
	}
	return verdict.Refuse(reason, "%s", detail)
}

// pickService selects a service by the route's weights; the same request
// always gets the same one.
func (f *flight) pickService() string {
	total := 0
	for _, s := range f.route.Split {
		total += max(0, s.Weight)
	}
	if total == 0 {
		if len(f.route.Split) > 0 {
			return f.route.Split[0].Service
		}
		return ""
	}
	h := fnv.New64a()
	// Writing to a hash does not fail.
	_, _ = h.Write([]byte(f.req.ID))
	at := int(h.Sum64() % uint64(total))
	for _, s := range f.route.Split {
		at -= max(0, s.Weight)
		if at < 0 {
			return s.Service
		}
	}
	return f.route.Split[0].Service
}

// priority returns the rank of the request.
func (f *flight) priority() int {
	if f.team.HasPriority {
		return f.team.Priority
	}
	return f.route.Priority
}

// refuse answers with a failure of the node's own. It counts as a refusal only
// if the request has not run.
func (f *flight) refuse(e *verdict.Error) {
	event, counter := decisions.RequestRefused, "refused."
	if e.Verdict != verdict.NotRun {
		event, counter = decisions.RequestFailed, "failed."
	}
	f.node.count(counter + string(e.Reason))
	f.node.logger.Info(event, f.fields("verdict", e.Verdict, "reason", e.Reason, "detail", e.Detail,
		"attempts", f.attempts, "retry_after_ms", e.RetryAfter.Milliseconds(), "after_ms", since(f.arrived))...)
	f.node.outside.Protocol.Label(f.w.Header(), f.req)
	writeFailure(f.w, e)
}

// finish ends the answer after the last attempt.
func (f *flight) finish(caller context.Context, e *verdict.Error) {
	switch {
	case e == nil:
		f.node.count("answered")
		first := float64(f.first.Sub(f.arrived).Microseconds()) / 1e3
		f.node.measure(f.route.Name, stageFirst, f.first.Sub(f.arrived))
		f.node.measure(f.route.Name, stageWhole, time.Since(f.arrived))
		if f.pause > 0 {
			f.node.measure(f.route.Name, stagePause, f.pause)
		}
		f.node.logger.Info(decisions.RequestAnswered, f.fields("status", f.status, "attempts", f.attempts,
			"first_ms", first, "pause_ms", f.pause.Milliseconds(), "whole_ms", since(f.arrived))...)
	case caller.Err() != nil:
		f.node.count("caller_left")
		f.node.logger.Info(decisions.RequestAbandoned, f.fields("attempts", f.attempts, "after_ms", since(f.arrived))...)
		panic(http.ErrAbortHandler)
	case f.started:
		f.node.count("broken." + string(e.Reason))
		f.node.logger.Warn(decisions.RequestBroken, f.fields("reason", e.Reason, "detail", e.Detail, "attempts", f.attempts,
			"events", f.events.events, "after_ms", since(f.arrived))...)
		panic(http.ErrAbortHandler)
	default:
		f.refuse(e)
	}
}

// fields starts a log line on the request.
func (f *flight) fields(more ...any) []any {
	out := []any{"id", "", "route", f.route.Name, "team", f.team.Name, "config", int64(0),
		"config_age_ms", f.node.state.configAge().Milliseconds()}
	if f.req != nil {
		out[1] = f.req.ID
	}
	if f.view.Config != nil {
		out[7] = f.view.Config.Version
	}
	return append(out, more...)
}

// mayRetry takes a retry out of the service's budget.
func (f *flight) mayRetry() bool {
	n := f.node
	n.budgetMu.Lock()
	defer n.budgetMu.Unlock()
	return n.budget(f.service.Name).Spend(time.Now())
}

// countRequest lets the request allow its part of a retry.
func (f *flight) countRequest() {
	n := f.node
	n.budgetMu.Lock()
	defer n.budgetMu.Unlock()
	n.budget(f.service.Name).Requested(time.Now())
}

const (
	// budgetShare is the part of the retry budget that the nodes use, so that
	// their shares stay below it together when loads are uneven.
	budgetShare = 0.75
	// fewestNodes is the least number of nodes that share the slack: a node
	// that hears of none may be cut off from them.
	fewestNodes = 6
)

// budget returns this node's share of a service's retry budget. Requests are
// counted where they come in, the slack is divided by the nodes.
func (n *Node) budget(service string) *retry.Window {
	bounds := n.Settings().Bounds
	nodes := fewestNodes
	if n.peers != nil {
		nodes = max(nodes, 1+n.peers.Live())
	}
	ratio, slack := budgetShare*bounds.RetryRatio, budgetShare*bounds.RetrySlack/float64(nodes)
	w, ok := n.budgets[service]
	if !ok {
		w = retry.NewWindow(retry.WindowConfig{Length: bounds.RetryWindow})
		n.budgets[service] = w
	}
	w.Configure(ratio, slack)
	return w
}
