package formation

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/bootclock"
	"github.com/tamarackcleat/tamarackcleat/fleet"
)

// alwaysHeld is a lease that this node holds.
type alwaysHeld struct{}

func (alwaysHeld) Held() (int64, bool)      { return 1, true }
func (alwaysHeld) ClaimedAt() time.Duration { return bootclock.Now() - time.Minute }

// staggered is a Sender to which each order is answered a millisecond later than the last one.
type staggered struct{ sent, joins atomic.Int64 }

func (s *staggered) Send(_ context.Context, o Order, _ int64, _ func() bool) Result {
	time.Sleep(time.Duration(s.sent.Add(1)) * time.Millisecond)
	if o.Kind == Join {
		s.joins.Add(1)
	}
	return Result{Answered: true, Accepted: true, Report: VMReport{Boot: 1, Accepted: new(int64), Slowdown: 1}}
}

var _ = Describe("Driver", func() {
	var ctx context.Context
	BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		DeferCleanup(cancel)
	})
	newDriver := func(s Sender, view func() *fleet.View) *Driver {
		p := NewPlanner(Settings{
			StallTimeout: stallTime, DrainTime: drainTime, LoadWindow: time.Second,
			NoRequestYet: func() bool { return true }, Logger: slog.New(slog.DiscardHandler),
		})
		return NewDriver(p, s, alwaysHeld{}, view, bootclock.Now)
	}

	// Guards against a lease holder without processor time for its requests (SHORT): rounds
	// that took longer than minPlanGap followed each other without a pause.
	It("leaves most of the time to others, however long its rounds take", func() {
		var busy atomic.Int64
		d := newDriver(&staggered{}, func() *fleet.View {
			began := time.Now()
			time.Sleep(2 * minPlanGap)
			busy.Add(int64(time.Since(began)))
			return fleet.NewView(nil, 0, nil)
		})
		go d.Run(ctx)
		began := time.Now()
		for time.Since(began) < time.Second {
			d.ViewChanged()
			time.Sleep(time.Millisecond)
		}
		Expect(busy.Load()).To(BeNumerically("<", time.Since(began)/3))
	})

	// Guards against the same: each answer to a probe caused a round.
	It("plans for answers that come together in one round", func() {
		const vms = 100
		w := newWorld(1, vms)
		list := map[string]fleet.VM{}
		for id, e := range w.engines {
			vm := e.vm
			vm.Boot, vm.LastSeen = 1, bootclock.Now()
			list[id] = vm
		}
		var rounds atomic.Int64
		view := fleet.NewView(w.config, 0, list)
		sender := &staggered{}
		d := newDriver(sender, func() *fleet.View {
			rounds.Add(1)
			return view
		})
		began := time.Now()
		go d.Run(ctx)
		Eventually(sender.joins.Load).WithTimeout(10 * time.Second).WithPolling(time.Millisecond).Should(BeNumerically(">=", vms))
		Expect(rounds.Load()).To(BeNumerically("<=", 2+time.Since(began)/minPlanGap), fmt.Sprint("in ", time.Since(began)))
	})
})
