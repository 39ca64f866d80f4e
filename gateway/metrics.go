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
	// longestMeasured bounds measured times in microseconds; deadlines are
	// seconds.
	longestMeasured = int64(time.Minute / time.Microsecond)
	// significantDigits is the precision of measured times.
	significantDigits = 2
)

// stages are what is measured of an answered request.
const (
	stageFirst = "first_byte"
	stagePause = "pause"
	stageWhole = "whole"
)

// measure records a time of a stage of a route's requests.
func (n *Node) measure(route, stage string, d time.Duration) {
	n.timesMu.Lock()
	defer n.timesMu.Unlock()
	name := "time." + stage + "." + route
	h, ok := n.times[name]
	if !ok {
		h = hdrhistogram.New(1, longestMeasured, significantDigits)
		n.times[name] = h
	}
	// The value is within the bounds, so recording does not fail.
	_ = h.RecordValue(min(longestMeasured, max(1, d.Microseconds())))
}

// Metrics serves counters, gauges and times as lines of a name and a value.
func (n *Node) Metrics() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		lines := n.metricLines()
		slices.Sort(lines)
		// A reader that went away asks again.
		_, _ = fmt.Fprint(w, strings.Join(lines, "\n"), "\n")
	})
}

// modelsOf returns the models of a service; a plain service has the empty one.
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
		fmt.Sprintf("in_flight %d", n.active.Load()),
		fmt.Sprintf("config.age_ms %d", n.state.configAge().Milliseconds()),
		fmt.Sprintf("upstreams.known %d", len(v.VMs)),
	}
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
	n.timesMu.Lock()
	defer n.timesMu.Unlock()
	for name, h := range n.times {
		for _, q := range []float64{50, 90, 99} {
			lines = append(lines, fmt.Sprintf("%s.p%.0f_ms %.1f", name, q, float64(h.ValueAtQuantile(q))/1e3))
		}
		lines = append(lines, fmt.Sprintf("%s.count %d", name, h.TotalCount()))
	}
	return lines
}
