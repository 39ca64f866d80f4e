package lease_test

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/bootclock"
	"github.com/tamarackcleat/tamarackcleat/keyed"
	"github.com/tamarackcleat/tamarackcleat/lease"
)

// stream is an in-memory stream that can refuse appends or lose the answers to
// them.
type stream struct {
	mu      sync.Mutex
	records []keyed.Record
	nodes   []*lease.Lease
	// down refuses appends and stops reads; dropAnswers appends the record but
	// returns an error.
	down, dropAnswers bool
	// attempts counts appends, refused ones included.
	attempts int
	// era rises with each restoration.
	era int64
	// late holds the appends of a node that get no answer and are executed later; lateFrom
	// is the first byte of the node's id, 0 for none.
	late     []func()
	lateFrom byte
}

// restore drops the records from an offset and begins the next era.
func (s *stream) restore(end int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = s.records[:end:end]
	s.era++
	for _, n := range s.nodes {
		n.Apply(s.snapshot(true))
	}
}

// snapshot returns the newest record of the stream. The lock must be held.
func (s *stream) snapshot(restored bool) keyed.Batch {
	return keyed.Batch{
		Era: s.era, Snapshot: true, Restored: restored, Records: s.records[max(0, len(s.records)-1):],
		Next: int64(len(s.records)), SentAt: bootclock.Now(),
	}
}

// sendEmptyBatch tells all nodes that they have read the stream to its end.
func (s *stream) sendEmptyBatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	for _, n := range s.nodes {
		n.Apply(keyed.Batch{Era: s.era, Next: int64(len(s.records)), SentAt: bootclock.Now()})
	}
}

func (s *stream) AppendAt(_ context.Context, _, key string, at int64, value []byte) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts++
	if s.down {
		return 0, errors.New("away")
	}
	if s.lateFrom != 0 && strings.Contains(string(value), `"holder":"`+string(s.lateFrom)) {
		s.late = append(s.late, func() { _ = s.append(key, at, value) })
		return 0, errors.New("no answer")
	}
	if err := s.append(key, at, value); err != nil {
		return 0, err
	}
	if s.dropAnswers {
		return 0, errors.New("no answer")
	}
	return at + 1, nil
}

// append appends a record if the stream ends at an offset. The lock must be held.
func (s *stream) append(key string, at int64, value []byte) error {
	if at != int64(len(s.records)) {
		return lease.ErrOffsetConflict
	}
	s.records = append(s.records, keyed.Record{Key: key, Value: value, Offset: at})
	for _, n := range s.nodes {
		n.Apply(keyed.Batch{Era: s.era, Records: s.records[at:], Next: at + 1, SentAt: bootclock.Now()})
	}
	return nil
}

func (s *stream) attemptCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attempts
}

func (s *stream) setFaults(down, dropAnswers bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.dropAnswers = down, dropAnswers
}

var _ = Describe("Lease", func() {
	var (
		log     *stream
		cancels []context.CancelFunc
	)
	// start starts n nodes, each after a call of the configure functions. The
	// functions in cancels stop one node each.
	start := func(n int, configure ...func(int, *lease.Lease)) []*lease.Lease {
		for i := range n {
			l := lease.New(string(rune('a'+i)), "control", "lease", log, slog.New(slog.DiscardHandler))
			l.Apply(keyed.Batch{Era: log.era})
			for _, f := range configure {
				f(i, l)
			}
			log.nodes = append(log.nodes, l)
		}
		for _, l := range log.nodes {
			ctx, cancel := context.WithCancel(context.Background())
			DeferCleanup(cancel)
			cancels = append(cancels, cancel)
			go l.Run(ctx)
		}
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go func() {
			for ctx.Err() == nil {
				log.sendEmptyBatch()
				keyed.Sleep(ctx, 100*time.Millisecond)
			}
		}()
		return log.nodes
	}
	holders := func() []int {
		var out []int
		for i, l := range log.nodes {
			if _, held := l.Held(); held {
				out = append(out, i)
			}
		}
		return out
	}
	holderCount := func() int { return len(holders()) }
	BeforeEach(func() { log, cancels = &stream{}, nil })

	It("has exactly one holder among several nodes", func() {
		start(3)
		Eventually(holderCount, "2s").Should(Equal(1))
		Consistently(holderCount, "1s").Should(Equal(1))
	})

	// Guards against two holders, and against a term that is given out twice, because the log
	// was restored from a backup that lacks the claim of the holder.
	Describe("in a log that is restored from a backup", func() {
		BeforeEach(func() { log.era = 1 })
		// holder returns the only holder and its term.
		holder := func() (int, int64) {
			Eventually(holderCount, "4s", "20ms").Should(Equal(1))
			i := holders()[0]
			term, _ := log.nodes[i].Held()
			return i, term
		}

		// startLate puts a node that has read the stream in the place of all others.
		startLate := func() *lease.Lease {
			log.mu.Lock()
			defer log.mu.Unlock()
			late := lease.New("z", "control", "lease", log, slog.New(slog.DiscardHandler))
			late.Apply(log.snapshot(false))
			log.nodes = []*lease.Lease{late}
			return late
		}
		// expectLateClaim runs the node of startLate, which must wait for any lease of the
		// former era to expire.
		expectLateClaim := func(late *lease.Lease) {
			GinkgoHelper()
			ctx, cancel := context.WithCancel(context.Background())
			DeferCleanup(cancel)
			go late.Run(ctx)
			Consistently(holderCount, lease.TTL-200*time.Millisecond, "50ms").Should(BeZero())
			Eventually(holderCount, "2s").Should(Equal(1))
		}

		It("is claimed again by its holder, under a higher term", func() {
			start(3)
			before, term := holder()
			for range 3 {
				renewals := log.attemptCount()
				Eventually(log.attemptCount, "2s", "5ms").Should(BeNumerically(">", renewals))
				log.restore(0)
				Expect(holders()).To(BeEmpty())
				// A claim follows at once, although the holder has just renewed the lease.
				Eventually(holderCount, "500ms", "20ms").Should(Equal(1))
				after, next := holder()
				Expect(after).To(Equal(before))
				Expect(next).To(BeNumerically(">", term))
				term = next
			}
			Consistently(holderCount, "3s", "20ms").Should(Equal(1))
		})

		It("is claimed by another node only after the lease of the former era has expired", func() {
			start(3)
			before, term := holder()
			log.setFaults(true, false)
			cut := log.nodes[before]
			log.mu.Lock()
			log.nodes = slices.Delete(slices.Clone(log.nodes), before, before+1)
			log.mu.Unlock()
			log.restore(0)
			log.setFaults(false, false)
			Eventually(func() bool {
				_, old := cut.Held()
				Expect(old && holderCount() > 0).To(BeFalse(), "two holders")
				return holderCount() == 1
			}, "5s", "5ms").Should(BeTrue())
			_, next := holder()
			Expect(next).To(BeNumerically(">", term))
		})

		It("is not gained by a claim of the former era that is executed late", func() {
			start(2)
			before, _ := holder()
			other := 1 - before
			log.mu.Lock()
			end := len(log.records)
			log.lateFrom = "ab"[other]
			log.mu.Unlock()
			log.nodes[other].ProcessEnded(string("ab"[before]))
			Eventually(func() int { log.mu.Lock(); defer log.mu.Unlock(); return len(log.late) }, "2s", "10ms").Should(BeNumerically(">", 0))
			log.restore(end)
			log.mu.Lock()
			for _, execute := range log.late {
				execute()
			}
			log.mu.Unlock()
			Expect(holders()).NotTo(ContainElement(other))
			Consistently(func() bool { _, held := log.nodes[other].Held(); return held }, "1500ms", "20ms").Should(BeFalse())
		})

		It("is not claimed early because the holder of the former era has ended: another node may hold it", func() {
			start(1)
			holder()
			late := startLate()
			log.setFaults(true, false)
			log.restore(1)
			late.ProcessEnded("a")
			log.setFaults(false, false)
			expectLateClaim(late)
		})

		It("has terms that stay exact wherever eras begin", func() {
			log.era = 1_800_000_000
			start(1)
			_, term := holder()
			log.restore(0)
			Eventually(holderCount, "1s", "20ms").Should(Equal(1))
			_, next := holder()
			Expect(next).To(BeNumerically(">", term))
			const generationsPerTerm = 100_000
			Expect(next * generationsPerTerm).To(And(BeNumerically(">", 0), BeNumerically("<", 1<<53)))
		})

		It("is not claimed by a process that starts then before a lease of the former era has expired", func() {
			start(1)
			holder()
			log.setFaults(true, false)
			log.mu.Lock()
			log.era++
			log.mu.Unlock()
			late := startLate()
			log.setFaults(false, false)
			expectLateClaim(late)
		})
	})

	It("tells when its claim was sent, which renewals do not change", func() {
		before := bootclock.Now()
		l := start(1)[0]
		Eventually(holderCount, "2s").Should(Equal(1))
		claimedAt := l.ClaimedAt()
		Expect(claimedAt).To(And(BeNumerically(">", before), BeNumerically("<=", bootclock.Now())))
		Consistently(l.ClaimedAt, "2s").Should(Equal(claimedAt))
	})

	It("is kept by its holder when the answers to renewals are lost", func() {
		start(1)
		Eventually(holderCount, "2s").Should(Equal(1))
		log.setFaults(false, true)
		Consistently(holderCount, "3s").Should(Equal(1))
	})

	It("expires before another node claims it under a higher term", func() {
		nodes := start(2)
		Eventually(holderCount, "2s").Should(Equal(1))
		first := holders()[0]
		term, _ := nodes[first].Held()
		log.setFaults(true, false)
		Eventually(holderCount, "4s").Should(Equal(0))
		cancels[first]()
		log.setFaults(false, false)
		Eventually(holderCount, "5s").Should(Equal(1))
		Expect(holders()[0]).NotTo(Equal(first))
		next, _ := nodes[1-first].Held()
		Expect(next).To(BeNumerically(">", term))
	})

	It("is claimed by another node without waiting for its expiry once the holder releases it", func() {
		nodes := start(2)
		Eventually(holderCount, "2s").Should(Equal(1))
		first := holders()[0]
		nodes[first].Release(context.Background())
		Eventually(holders, "1500ms").Should(Equal([]int{1 - first}))
	})

	It("is claimed by another node without waiting for its expiry once the holder's process has ended", func() {
		nodes := start(2)
		Eventually(holderCount, "2s").Should(Equal(1))
		first := holders()[0]
		cancels[first]()
		nodes[1-first].ProcessEnded(string(rune('a' + 1 - first)))
		nodes[1-first].ProcessEnded(string(rune('a' + first)))
		Eventually(func() bool { _, held := nodes[1-first].Held(); return held }, "1s").Should(BeTrue())
	})

	// Guards against a small node that holds the lease although larger nodes are
	// there: the holder's work takes most of a small node's processor time.
	It("is claimed by a node that does not yield, or by one that does if there is no other", func() {
		var yields [3]atomic.Bool
		for i := range yields {
			yields[i].Store(i != 1)
		}
		nodes := start(3, func(i int, l *lease.Lease) { l.YieldWhile(yields[i].Load) })
		Eventually(holders, "2s").Should(Equal([]int{1}))
		cancels[1]()
		nodes[1].Release(context.Background())
		Eventually(holderCount, "3s").Should(Equal(1))
		Expect(holders()).NotTo(ContainElement(1))
	})

	// Guards against a small node that claims the lease before it knows of larger
	// nodes and then keeps it. Such a holder declared healthy VMs dead in two of four
	// runs of a test scenario, whose scores were 0.39 to 0.41 instead of 0.60 to
	// 0.61.
	It("is handed over by a holder that yields, but not again soon after", func() {
		var yields [2]atomic.Bool
		nodes := start(2, func(i int, l *lease.Lease) { l.YieldWhile(yields[i].Load) })
		Eventually(holderCount, "2s").Should(Equal(1))
		first := holders()[0]
		term, _ := nodes[first].Held()
		yields[first].Store(true)
		Eventually(holders, "4s").Should(Equal([]int{1 - first}))
		next, _ := nodes[1-first].Held()
		Expect(next).To(BeNumerically(">", term))
		Consistently(func() int { return len(holders()) }, "1s").Should(Equal(1))
	})

	It("is not claimed for the first time before nodes that start together know of each other", func() {
		started := time.Now()
		var yields [3]atomic.Bool
		nodes := start(3, func(i int, l *lease.Lease) { l.YieldWhile(yields[i].Load) })
		// Half a second after the start, nodes 0 and 2 learn that node 1 is larger.
		time.AfterFunc(500*time.Millisecond, func() { yields[0].Store(true); yields[2].Store(true) })
		Eventually(holderCount, "3s").Should(Equal(1))
		Expect(holders()).To(Equal([]int{1}))
		Expect(time.Since(started)).To(BeNumerically(">", 500*time.Millisecond))
		_, held := nodes[1].Held()
		Expect(held).To(BeTrue())
	})

	// Guards against claims that add load to a log that is down: 86 nodes each
	// claimed the lease every 0.6 s during an outage of the log of eight seconds.
	It("is not claimed while the stream can't be read", func() {
		start(4)
		Eventually(holderCount, "2s").Should(Equal(1))
		log.setFaults(true, false)
		Eventually(holderCount, "4s").Should(Equal(0))
		attempts := func() int { log.mu.Lock(); defer log.mu.Unlock(); return log.attempts }
		before := attempts()
		Consistently(attempts, "1500ms").Should(Equal(before))
		log.setFaults(false, false)
		Eventually(holderCount, "2s").Should(Equal(1))
	})

	It("can still be claimed after a record that can't be decoded", func() {
		start(1)
		log.mu.Lock()
		log.records = append(log.records, keyed.Record{Key: "lease", Value: []byte("{"), Offset: int64(len(log.records))})
		log.nodes[0].Apply(keyed.Batch{Records: log.records[len(log.records)-1:], Next: int64(len(log.records))})
		log.mu.Unlock()
		Eventually(holderCount, "3s").Should(Equal(1))
	})
})
