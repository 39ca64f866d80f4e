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

// stream is a stream in memory whose appends can be lost, or answered late.
type stream struct {
	mu      sync.Mutex
	records []keyed.Record
	nodes   []*lease.Lease
	// down refuses appends; mute appends without an answer.
	down, mute bool
	// tried counts appends, refused ones included.
	tried int
}

// prove hands all nodes a proof that they have read the stream to its end.
func (s *stream) prove() {
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
	s.tried++
	if s.down {
		return 0, errors.New("away")
	}
	if at != int64(len(s.records)) {
		return 0, lease.ErrConflict
	}
	s.records = append(s.records, keyed.Record{Key: key, Value: value, Offset: at})
	for _, n := range s.nodes {
		n.Apply(keyed.Batch{Records: s.records[at:], Next: at + 1, SentAt: bootclock.Now()})
	}
	if s.mute {
		return 0, errors.New("no answer")
	}
	return at + 1, nil
}

func (s *stream) set(down, mute bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.mute = down, mute
}

var _ = Describe("Lease", func() {
	var (
		log   *stream
		stops []context.CancelFunc
	)
	// start runs nodes; each stops by its cancel function.
	start := func(n int, each ...func(int, *lease.Lease)) []*lease.Lease {
		for i := range n {
			l := lease.New(string(rune('a'+i)), "control", "lease", log, slog.New(slog.DiscardHandler))
			l.Apply(keyed.Batch{})
			for _, f := range each {
				f(i, l)
			}
			log.nodes = append(log.nodes, l)
		}
		for _, l := range log.nodes {
			ctx, cancel := context.WithCancel(context.Background())
			DeferCleanup(cancel)
			stops = append(stops, cancel)
			go l.Run(ctx)
		}
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go func() {
			for ctx.Err() == nil {
				log.prove()
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
	one := func() int { return len(holders()) }
	BeforeEach(func() { log, stops = &stream{}, nil })

	It("has exactly one holder of several nodes", func() {
		start(3)
		Eventually(one, "2s").Should(Equal(1))
		Consistently(one, "1s").Should(Equal(1))
	})

	It("is kept when the answers to renewals are lost", func() {
		start(1)
		Eventually(one, "2s").Should(Equal(1))
		log.set(false, true)
		Consistently(one, "3s").Should(Equal(1))
	})

	It("ends before another node claims it, under a higher term", func() {
		nodes := start(2)
		Eventually(one, "2s").Should(Equal(1))
		first := holders()[0]
		term, _ := nodes[first].Held()
		log.set(true, false)
		Eventually(one, "4s").Should(Equal(0))
		stops[first]()
		log.set(false, false)
		Eventually(one, "5s").Should(Equal(1))
		Expect(holders()[0]).NotTo(Equal(first))
		next, _ := nodes[1-first].Held()
		Expect(next).To(BeNumerically(">", term))
	})

	It("passes on at once when the holder releases it", func() {
		nodes := start(2)
		Eventually(one, "2s").Should(Equal(1))
		first := holders()[0]
		nodes[first].Release(context.Background())
		Eventually(holders, "1500ms").Should(Equal([]int{1 - first}))
	})

	It("is not waited for once its holder's process has ended", func() {
		nodes := start(2)
		Eventually(one, "2s").Should(Equal(1))
		first := holders()[0]
		stops[first]()
		nodes[1-first].Ended(string(rune('a' + 1 - first)))
		nodes[1-first].Ended(string(rune('a' + first)))
		Eventually(func() bool { _, held := nodes[1-first].Held(); return held }, "1s").Should(BeTrue())
	})

	// On scale-2 of jll-kolkata-grown a small node held the lease, whose work
	// takes most of its processor.
	It("is claimed by a node that does not yield, and else by one that does", func() {
		var yields [3]atomic.Bool
		for i := range yields {
			yields[i].Store(i != 1)
		}
		nodes := start(3, func(i int, l *lease.Lease) { l.Yield(yields[i].Load) })
		Eventually(holders, "2s").Should(Equal([]int{1}))
		stops[1]()
		nodes[1].Release(context.Background())
		Eventually(one, "3s").Should(Equal(1))
		Expect(holders()).NotTo(ContainElement(1))
	})

	// On trouble-1 of anpes-booking-grown a small node claimed the lease before it
	// knew of larger ones, and took sound VMs for dead: worth 0.39 to 0.41 in two of
	// four plays, 0.60 to 0.61 in the others.
	It("is handed over by a holder that yields, at most once in a while", func() {
		var yields [2]atomic.Bool
		nodes := start(2, func(i int, l *lease.Lease) { l.Yield(yields[i].Load) })
		Eventually(one, "2s").Should(Equal(1))
		first := holders()[0]
		term, _ := nodes[first].Held()
		yields[first].Store(true)
		Eventually(holders, "4s").Should(Equal([]int{1 - first}))
		next, _ := nodes[1-first].Held()
		Expect(next).To(BeNumerically(">", term))
		Consistently(func() int { return len(holders()) }, "1s").Should(Equal(1))
	})

	It("is claimed first only once nodes that start together know of each other", func() {
		started := time.Now()
		var yields [3]atomic.Bool
		nodes := start(3, func(i int, l *lease.Lease) { l.Yield(yields[i].Load) })
		// Two of them learn half a second later that the other one is larger.
		time.AfterFunc(500*time.Millisecond, func() { yields[0].Store(true); yields[2].Store(true) })
		Eventually(one, "3s").Should(Equal(1))
		Expect(holders()).To(Equal([]int{1}))
		Expect(time.Since(started)).To(BeNumerically(">", 500*time.Millisecond))
		_, held := nodes[1].Held()
		Expect(held).To(BeTrue())
	})

	// On trouble-3 of anpes-booking-grown 86 nodes claimed the lease at a store
	// that was down for eight seconds, each every 0.6 s.
	It("is not claimed while the stream can't be read", func() {
		start(4)
		Eventually(one, "2s").Should(Equal(1))
		log.set(true, false)
		Eventually(one, "4s").Should(Equal(0))
		tried := func() int { log.mu.Lock(); defer log.mu.Unlock(); return log.tried }
		before := tried()
		Consistently(tried, "1500ms").Should(Equal(before))
		log.set(false, false)
		Eventually(one, "2s").Should(Equal(1))
	})

	It("skips a record that can't be read", func() {
		start(1)
		log.mu.Lock()
		log.records = append(log.records, keyed.Record{Key: "lease", Value: []byte("{"), Offset: int64(len(log.records))})
		log.nodes[0].Apply(keyed.Batch{Records: log.records[len(log.records)-1:], Next: int64(len(log.records))})
		log.mu.Unlock()
		Eventually(one, "3s").Should(Equal(1))
	})
})
