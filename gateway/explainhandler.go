package gateway

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/api"
	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// Limits of the parameters of a request for an explanation.
const (
	maxHostBytes    = 253
	maxPathBytes    = 4096
	maxNameBytes    = 256
	maxPromptTokens = 10_000_000
	maxPriority     = 1000
	maxTimeoutMs    = 3_600_000
)

// ExplainRoute returns the handler that says where a request would go now, as JSON. It
// changes nothing, answers one request at a time and shows no API keys.
func (n *Node) ExplainRoute() http.Handler {
	// A description of thousands of upstreams takes memory that small entry VMs lack for
	// several at once.
	running := make(chan struct{}, 1)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req, priority, err := parseRouteQuery(r.URL.RawQuery)
		if err != nil {
			n.rejectExplanation(w, http.StatusBadRequest, verdict.ReasonBadRequest, err.Error())
			return
		}
		select {
		case running <- struct{}{}:
			defer func() { <-running }()
		default:
			n.rejectExplanation(w, http.StatusServiceUnavailable, verdict.ReasonQueueFull, "another explanation is in progress; try again")
			return
		}
		n.sendExplanation(w, http.StatusOK, n.explainRoute(req, priority))
	})
}

// rejectExplanation answers a request for an explanation with an error.
func (n *Node) rejectExplanation(w http.ResponseWriter, status int, reason verdict.Reason, message string) {
	n.sendExplanation(w, status, api.ErrorBody{Error: api.ErrorDetail{
		Message: message, Type: string(reason), Code: status, Verdict: verdict.NotRun, Reason: reason,
	}})
}

// sendExplanation answers a request for an explanation with a JSON body.
func (n *Node) sendExplanation(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		n.logger.Warn(decisions.ExplanationUnsent, "error", err)
	}
}

// parseRouteQuery returns the request that a query describes, and its priority; nil if the
// query names none.
func parseRouteQuery(raw string) (*Request, *int, error) {
	query, err := url.ParseQuery(raw)
	if err != nil {
		return nil, nil, errors.Wrap(err, "the query is malformed")
	}
	if err := checkRouteTexts(query); err != nil {
		return nil, nil, err
	}
	tokens, err := routeNumber(query, api.RoutePromptTokens, 0, maxPromptTokens)
	if err != nil {
		return nil, nil, err
	}
	timeout, err := routeNumber(query, api.RouteTimeoutMs, 1, maxTimeoutMs)
	if err != nil {
		return nil, nil, err
	}
	priority, err := routeNumber(query, api.RoutePriority, 0, maxPriority)
	if err != nil {
		return nil, nil, err
	}
	req := &Request{ID: query.Get(api.RouteID), Host: query.Get(api.RouteHost), Path: query.Get(api.RoutePath), Model: query.Get(api.RouteModel)}
	req.Path, _, _ = strings.Cut(req.Path, "?")
	if tokens != nil {
		req.PromptTokens = *tokens
	}
	if timeout != nil {
		req.Timeout = time.Duration(*timeout) * time.Millisecond
	}
	return req, priority, nil
}

// checkRouteTexts checks the names and the lengths of the parameters. An unknown or repeated
// one is an error, so that a misspelled parameter is not taken for its default.
func checkRouteTexts(query url.Values) error {
	limits := map[string]int{
		api.RouteHost: maxHostBytes, api.RoutePath: maxPathBytes, api.RouteModel: maxNameBytes, api.RouteID: maxNameBytes,
		api.RoutePromptTokens: maxNameBytes, api.RoutePriority: maxNameBytes, api.RouteTimeoutMs: maxNameBytes,
	}
	for name, values := range query {
		limit, known := limits[name]
		switch {
		case !known:
			return errors.Newf("%.40q is not a parameter", name)
		case len(values) > 1:
			return errors.Newf("%s is given %d times", name, len(values))
		case len(values[0]) > limit:
			return errors.Newf("%s has %d bytes; the limit is %d", name, len(values[0]), limit)
		}
	}
	if query.Get(api.RouteHost) == "" {
		return errors.Newf("%s is missing", api.RouteHost)
	}
	if !strings.HasPrefix(query.Get(api.RoutePath), "/") {
		return errors.Newf("%s is missing or does not begin with a slash", api.RoutePath)
	}
	return nil
}

// routeNumber returns a parameter that is a whole number from least to most; nil if the query
// lacks it.
func routeNumber(query url.Values, name string, least, most int) (*int, error) {
	text := query.Get(name)
	if text == "" {
		return nil, nil
	}
	value, err := strconv.Atoi(text)
	if err != nil || value < least || value > most {
		return nil, errors.Newf("%s is %.20q; it must be a whole number from %d to %d", name, text, least, most)
	}
	return &value, nil
}
