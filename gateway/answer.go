package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// hopByHop holds the fields of a response that concern one connection only.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// copyHeader takes over an upstream's header.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	for _, name := range hopByHop {
		to.Del(name)
	}
	for _, name := range []string{"Content-Type", "Date"} {
		// The server adds these fields unless they are set to nothing.
		if _, ok := from[name]; !ok {
			to[name] = nil
		}
	}
}

// statusOf returns the status of a failure. Statuses that promise that the
// request has not run are used only for that verdict.
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
	}
	return http.StatusServiceUnavailable
}

// writeFailure answers with a failure of the node's own.
func writeFailure(w http.ResponseWriter, e *verdict.Error) {
	if e.RetryAfter > 0 {
		s := strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64)
		w.Header().Set("Retry-After", strings.TrimRight(strings.TrimRight(s, "0"), "."))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(statusOf(e))
	// A caller that went away misses nothing.
	_, _ = w.Write([]byte(string(e.Verdict) + " " + string(e.Reason) + "\n"))
}

// since returns a duration in milliseconds for log lines.
func since(t time.Time) float64 {
	return float64(time.Since(t).Microseconds()) / 1e3
}
