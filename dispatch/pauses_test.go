package dispatch

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/fleet"
)

// Guards against requests for an upstream that asked this node for a pause.
var _ = Describe("An upstream that asked for a pause", func() {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var b *Balancer
	paused := fleet.Target{ID: "p", Boot: 1, Slots: 50}
	other := fleet.Target{ID: "o", Boot: 1, Slots: 50}
	both := []fleet.Target{paused, other}
	pick := func(now time.Time, targets ...fleet.Target) (Assignment, bool) {
		a, short := b.Pick(now, nil, targets, Request{})
		return a, short == NoShortage
	}

	BeforeEach(func() {
		b = New(rand.New(rand.NewPCG(1, 2)))
		Expect(b.Pause(start, paused.Incarnation(), 2*time.Second)).To(BeTrue())
	})

	It("is not selected, and others are", func() {
		for range 20 {
			a, ok := pick(at(1999), both...)
			Expect(ok).To(BeTrue())
			Expect(a.Target.ID).To(Equal("o"))
		}
		_, ok := pick(at(1999), paused)
		Expect(ok).To(BeFalse())
	})

	It("is selected in steps afterwards, also by many requests at once", func() {
		var picked atomic.Int64
		var wait sync.WaitGroup
		for range 30 {
			wait.Go(func() {
				if _, ok := pick(at(2450), paused); ok {
					picked.Add(1)
				}
			})
		}
		wait.Wait()
		Expect(picked.Load()).To(BeNumerically("==", 4))
		_, ok := pick(at(3000), paused)
		Expect(ok).To(BeTrue())
	})

	It("is left to the requests that wait for it until the steps are over", func() {
		_, short := b.Pick(at(2900), nil, []fleet.Target{paused}, Request{NeverPaused: true})
		Expect(short).NotTo(Equal(NoShortage))
		_, short = b.Pick(at(3000), nil, []fleet.Target{paused}, Request{NeverPaused: true})
		Expect(short).To(Equal(NoShortage))
	})

	It("gets none of the requests that were assigned to it before", func() {
		assigned, ok := pick(start, other)
		Expect(ok).To(BeTrue())
		Expect(b.MaySend(start, &assigned)).To(BeTrue())
		second, _ := pick(start, other)
		b.Pause(start, other.Incarnation(), time.Second)
		Expect(b.MaySend(at(999), &assigned)).To(BeFalse())
		Expect(b.MaySend(at(1000), &assigned)).To(BeFalse(), "two requests count against a limit of one")
		b.Done(at(1000), &second)
		Expect(b.MaySend(at(1000), &assigned)).To(BeTrue())
	})

	It("pauses in one incarnation only", func() {
		_, ok := pick(at(100), fleet.Target{ID: "p", Boot: 2, Slots: 1})
		Expect(ok).To(BeTrue())
	})

	It("tells when it takes a request again, if no other does", func() {
		_, all := b.NextPlace(at(500), both, nil)
		Expect(all).To(BeFalse())
		next, all := b.NextPlace(at(500), both, []string{other.InstanceKey()})
		Expect(all).To(BeTrue())
		Expect(next).To(Equal(1500 * time.Millisecond))
		b.Pause(at(500), other.Incarnation(), time.Second)
		next, all = b.NextPlace(at(500), both, nil)
		Expect(all).To(BeTrue())
		Expect(next).To(Equal(time.Second))
		_, all = b.NextPlace(at(500), nil, nil)
		Expect(all).To(BeFalse())
	})

	// Guards against callers refused for lack of room while a place becomes free: the search
	// for a place and the question whether pauses stand in the way were two steps.
	It("is named as what keeps a request from all upstreams, also while requests end there", func() {
		var workers sync.WaitGroup
		for range 8 {
			workers.Go(func() {
				defer GinkgoRecover()
				for range 2000 {
					a, short := b.Pick(at(2050), nil, []fleet.Target{paused}, Request{})
					if short == NoShortage {
						runtime.Gosched()
						b.Done(at(2050), &a)
						continue
					}
					Expect(short).To(Equal(AllPaused))
				}
			})
		}
		workers.Wait()
	})

	It("takes a request after its pause if those that run there have ended", func() {
		for range 3 {
			_, ok := pick(start, other)
			Expect(ok).To(BeTrue())
		}
		b.Pause(start, other.Incarnation(), time.Second)
		next, all := b.NextPlace(start, both, nil)
		Expect(all).To(BeTrue())
		Expect(next).To(Equal(1400 * time.Millisecond))
		Expect(b.FirstPlace(start, both, nil)).To(Equal(time.Second))
		Expect(b.FirstPlace(at(1000), both, nil)).To(BeZero())
		Expect(b.FirstPlace(start, both, []string{other.InstanceKey()})).To(Equal(2 * time.Second))
		Expect(b.FirstPlace(start, nil, nil)).To(BeNumerically(">", time.Hour))
	})

	It("is not named if another upstream has no room", func() {
		for range other.Slots * (1 + queuedPerSlot) {
			_, ok := pick(at(500), other)
			Expect(ok).To(BeTrue())
		}
		_, short := b.Pick(at(500), nil, both, Request{})
		Expect(short).To(Equal(NoRoom))
		_, short = b.Pick(at(500), nil, both, Request{Exclude: []string{other.InstanceKey()}})
		Expect(short).To(Equal(AllPaused))
	})

	It("tells in the steps when a request has ended there", func() {
		places := 0
		b.OnPlace(func() { places++ })
		first, _ := pick(at(2000), paused)
		b.Done(at(2100), &first)
		Expect(places).To(Equal(1))
		elsewhere, _ := pick(at(2000), other)
		b.Done(at(2100), &elsewhere)
		Expect(places).To(Equal(1))
	})

	It("is forgotten with its incarnation", func() {
		b.RetainPauses(start, func(i fleet.Incarnation) bool { return i == paused.Incarnation() })
		Expect(b.PauseCount()).To(Equal(1))
		b.RetainPauses(start, func(fleet.Incarnation) bool { return false })
		Expect(b.PauseCount()).To(BeZero())
	})
})

// BenchmarkPauses measures the memory of the pauses of 10,000 upstreams.
func BenchmarkPauses(b *testing.B) {
	const upstreams = 10_000
	targets := make([]fleet.Target, upstreams)
	for i := range targets {
		targets[i] = fleet.Target{ID: fmt.Sprintf("i-%08x", i), Boot: int64(i)}
	}
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for range b.N {
		before := heap()
		balancer := New(rand.New(rand.NewPCG(1, 2)))
		for _, t := range targets {
			balancer.Pause(time.Now(), t.Incarnation(), time.Minute)
		}
		b.ReportMetric(float64(heap()-before)/upstreams, "bytes/upstream")
		runtime.KeepAlive(balancer)
	}
}
