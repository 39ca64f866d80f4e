package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// hopByHopHeaders lists the header fields of a response that apply to a single
// connection and are not relayed. relayComplete sets Content-Length itself.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// copyHeader copies the header of an upstream's response without the hop-by-hop
// fields.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	for _, name := range hopByHopHeaders {
		to.Del(name)
	}
	for _, name := range []string{"Content-Type", "Date"} {
		// The HTTP server adds these fields itself unless their value is nil.
		if _, ok := from[name]; !ok {
			to[name] = nil
		}
	}
}

// promisesNotRun reports whether a status promises that the request has not run and never
// will. Callers repeat any request after it.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// statusOf returns the HTTP status of a failure. Statuses that promise that the
// request has not run are used only for the verdict NotRun.
func statusOf(e *verdict.Error) int {
	if e.Verdict != verdict.NotRun {
		if e.Reason == verdict.ReasonDeadline {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch e.Reason {
	case verdict.ReasonBadRequest:
		return http.StatusBadRequest
	case verdict.ReasonAPIKeyUnknown:
		return http.StatusUnauthorized
	case verdict.ReasonNoRoute:
		return http.StatusNotFound
	case verdict.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case verdict.ReasonSlowBody:
		return http.StatusRequestTimeout
	}
	return http.StatusServiceUnavailable
}

// writeFailure writes the response for a failure that the node itself reports: the
// status, the verdict and the reason.
func writeFailure(w http.ResponseWriter, e *verdict.Error) {
	if e.RetryAfter > 0 {
		setRetryAfter(w.Header(), e.RetryAfter)
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(statusOf(e))
	// The write fails only if the caller has disconnected.
	_, _ = w.Write([]byte(string(e.Verdict) + " " + string(e.Reason) + "\n"))
}

// setRetryAfter tells a caller how long to wait before it tries again.
func setRetryAfter(h http.Header, d time.Duration) {
	s := strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
	h.Set("Retry-After", strings.TrimRight(strings.TrimRight(s, "0"), "."))
}

// replaceRetryAfter removes an upstream's time from an answer: it holds for this node and
// that upstream alone. Callers get one if pauses keep them from all upstreams.
func (f *forwarder) replaceRetryAfter(h http.Header) {
	h.Del("Retry-After")
	if next, all := f.nextPlace(); all {
		setRetryAfter(h, pausedRetryAfter(next))
	}
}

// millisSince returns the time since t in milliseconds, for log lines.
func millisSince(t time.Time) float64 {
	return float64(time.Since(t).Microseconds()) / 1e3
}
