package lease_test

import (
	"context"
	"log/slog"
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
}

// sendEmptyBatch tells all nodes that they have read the stream to its end.
func (s *stream) sendEmptyBatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	for _, n := range s.nodes {
		n.Apply(keyed.Batch{Next: int64(len(s.records)), SentAt: bootclock.Now()})
	}
}

func (s *stream) AppendAt(_ context.Context, _, key string, at int64, value []byte) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts++
	if s.down {
		return 0, errors.New("away")
	}
	if at != int64(len(s.records)) {
		return 0, lease.ErrOffsetConflict
	}
	s.records = append(s.records, keyed.Record{Key: key, Value: value, Offset: at})
	for _, n := range s.nodes {
		n.Apply(keyed.Batch{Records: s.records[at:], Next: at + 1, SentAt: bootclock.Now()})
	}
	if s.dropAnswers {
		return 0, errors.New("no answer")
	}
	return at + 1, nil
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
			l.Apply(keyed.Batch{})
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
