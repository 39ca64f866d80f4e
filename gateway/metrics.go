package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"

	"github.com/tamarackcleat/tamarackcleat/fleet"
)

const (
	// maxMeasuredMicros is the longest duration that is recorded, in microseconds.
	// Deadlines are seconds.
	maxMeasuredMicros = int64(time.Minute / time.Microsecond)
	// significantDigits is the precision of recorded durations in decimal digits.
	significantDigits = 2
)

// Durations of an answered request, as they are named in metrics: the time to the first
// byte, the longest pause between events, and the time to the end.
const (
	stageFirst = "first_byte"
	stagePause = "pause"
	stageWhole = "whole"
)

// recordDuration records a duration of a stage of a request on a route. Durations above
// maxMeasuredMicros are recorded as that value.
func (n *Node) recordDuration(route, stage string, d time.Duration) {
	n.durationsMu.Lock()
	defer n.durationsMu.Unlock()
	name := "time." + stage + "." + route
	h, ok := n.durations[name]
	if !ok {
		h = hdrhistogram.New(1, maxMeasuredMicros, significantDigits)
		n.durations[name] = h
	}
	// The value is within the histogram's bounds, so recording never fails.
	_ = h.RecordValue(min(maxMeasuredMicros, max(1, d.Microseconds())))
}

// Metrics returns the handler that serves counters, gauges and percentiles of durations,
// one line each of a name and a value.
func (n *Node) Metrics() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		lines := n.metricLines()
		slices.Sort(lines)
		// The write fails only if the client has disconnected; it can ask again.
		_, _ = fmt.Fprint(w, strings.Join(lines, "\n"), "\n")
	})
}

// modelsOf returns the names of a service's models; for a plain service that is one
// empty name.
func modelsOf(s fleet.Service) []string {
	if s.Engine == nil {
		return []string{""}
	}
	var out []string
	for _, m := range s.Engine.Models {
		out = append(out, m.Name)
	}
	return out
}

func (n *Node) metricLines() []string {
	v := n.state.View()
	lines := []string{
		fmt.Sprintf("in_flight %d", n.inFlight.Load()),
		fmt.Sprintf("config.age_ms %d", n.state.configAge().Milliseconds()),
		fmt.Sprintf("upstreams.known %d", v.Len()),
	}
	lines = append(lines, n.callerLines()...)
	if v.Config != nil {
		lines = append(lines, fmt.Sprintf("config.version %d", v.Config.Version))
		for name, s := range v.Config.Services {
			for _, model := range modelsOf(s) {
				lines = append(lines, fmt.Sprintf("upstreams.ready.%s.%s %d", name, model, len(v.Targets(name, model))))
			}
		}
	}
	n.registry.Each(func(name string, m any) {
		if c, ok := m.(metrics.Counter); ok {
			lines = append(lines, fmt.Sprintf("%s %d", name, c.Count()))
		}
	})
	n.durationsMu.Lock()
	defer n.durationsMu.Unlock()
	for name, h := range n.durations {
		for _, q := range []float64{50, 90, 99} {
			lines = append(lines, fmt.Sprintf("%s.p%.0f_ms %.1f", name, q, float64(h.ValueAtQuantile(q))/1e3))
		}
		lines = append(lines, fmt.Sprintf("%s.count %d", name, h.TotalCount()))
	}
	return lines
}
