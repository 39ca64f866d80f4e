package formation

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/fleet"
)

// trade is a replica of one model that is closed for one of another.
type trade struct {
	at              time.Duration
	model, instead  string
	domain, replica string
}

// tradeRecorder is a log handler that keeps the trades.
type tradeRecorder struct {
	slog.Handler
	w      *world
	trades []trade
}

func (t *tradeRecorder) Enabled(context.Context, slog.Level) bool { return true }

func (t *tradeRecorder) Handle(_ context.Context, r slog.Record) error {
	if r.Message != decisions.ReplicaTraded {
		return nil
	}
	fields := map[string]string{}
	r.Attrs(func(a slog.Attr) bool { fields[a.Key] = a.Value.String(); return true })
	t.trades = append(t.trades, trade{t.w.now, fields["model"], fields["for"], fields["domain"], fields["replica"]})
	return nil
}

var _ = Describe("Closing a replica for one of another model", func() {
	// Guards against replicas that are closed for each other in turn: a replica that waited
	// to be formed counted as one more of its model, so one that served was closed.
	DescribeTable("requires that enough others of its model are formed", func(formed, waiting int, improves bool) {
		large, small := fleet.Model{Name: "large"}, fleet.Model{Name: "small"}
		d := &demand{
			formed:  map[string]int{"large": formed, "small": 7},
			waiting: map[string]int{"large": waiting},
			desired: map[string]float64{"large": 6, "small": 10},
		}
		Expect(closingImproves(d, small, large)).To(Equal(improves))
	},
		Entry("all are formed", 6, 0, true),
		Entry("one of them waits", 5, 1, false),
	)

	// Guards against the same, where the VMs of one replica form several of the other model,
	// and where replicas that are lost together are formed again at once.
	DescribeTable("is not undone within seconds", func(seed uint64) {
		const (
			domains = 15
			crashes = 40
			// settled is the time within which a domain's replicas are not closed for each
			// other in turn.
			settled = 5 * time.Second
		)
		w := newWorld(seed, slices.Repeat([]int{11}, domains)...)
		recorder := &tradeRecorder{Handler: slog.DiscardHandler, w: w}
		w.planner.s.Logger = slog.New(recorder)
		w.quickLoads = true
		w.run(30*time.Second, nil)
		w.gotRequests = true
		for i := range crashes {
			ids := slices.Sorted(maps.Keys(w.engines))
			for range 1 + w.rng.IntN(3) {
				e := w.engines[ids[w.rng.IntN(len(ids))]]
				e.down = true
				if w.rng.IntN(2) == 0 {
					e.downUntil = w.now + 4*time.Second
				}
			}
			if i%2 == 0 {
				w.add(fmt.Sprintf("new-%d", i), fmt.Sprintf("d%d", w.rng.IntN(domains)))
			}
			for _, head := range w.stalledHeads() {
				w.suspect(head)
			}
			w.run(time.Second, nil)
		}
		for i, first := range recorder.trades {
			for _, next := range recorder.trades[i+1:] {
				undone := next.domain == first.domain && next.model == first.instead && next.at-first.at < settled
				Expect(undone).To(BeFalse(), "%+v, then %+v", first, next)
			}
		}
		AddReportEntry("trades", len(recorder.trades))
		Expect(w.violations).To(BeEmpty())
	},
		Entry(nil, uint64(1)), Entry(nil, uint64(2)), Entry(nil, uint64(3)), Entry(nil, uint64(4)), Entry(nil, uint64(5)), Entry(nil, uint64(6)),
	)
})
