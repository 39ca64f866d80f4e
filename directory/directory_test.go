package directory_test

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/directory"
	"github.com/tamarackcleat/tamarackcleat/keyed"
	"github.com/tamarackcleat/tamarackcleat/relay"
)

// stream is an in-memory stream that can lose the answers to appends.
type stream struct {
	mu          sync.Mutex
	records     []keyed.Record
	dropAnswers bool
}

func (s *stream) Append(_ context.Context, _, key string, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, keyed.Record{Key: key, Value: value, Offset: int64(len(s.records))})
	if s.dropAnswers {
		return errors.New("no answer")
	}
	return nil
}

func (s *stream) batch() keyed.Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return keyed.Batch{Records: s.records, Snapshot: true}
}

var _ = Describe("Directory", func() {
	var (
		log   *stream
		found map[string]netip.AddrPort
		ended []string
	)
	node := func(id string) *directory.Directory {
		return &directory.Directory{
			Stream: "s", Name: id, Self: relay.Peer{ID: id, Address: netip.MustParseAddrPort("10.0.0.1:7000")}, Log: log,
			OnFound:        func(p relay.Peer) { found[p.ID] = p.Address },
			OnProcessEnded: func(id string) { ended = append(ended, id) },
			Logger:         slog.New(slog.DiscardHandler),
		}
	}
	// count returns the number of records.
	count := func() int { return len(log.batch().Records) }
	BeforeEach(func() { log, found, ended = &stream{}, map[string]netip.AddrPort{}, nil })

	It("registers until its record is read back, even if the answers to appends are lost", func() {
		log.dropAnswers = true
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		d := node("a")
		go d.Run(ctx)
		Eventually(count).Should(BeNumerically(">=", 1))
		Eventually(count, "3s").Should(BeNumerically(">=", 2))
		d.Apply(log.batch())
		registered := count()
		Consistently(count, "2500ms").Should(Equal(registered))
	})

	// Guards against a node that nobody finds any more because the log was restored from a
	// backup that lacks its record.
	It("registers again, once, if a restored log lacks its record", func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		d := node("a")
		go d.Run(ctx)
		Eventually(count).Should(Equal(1))
		d.Apply(log.batch())
		d.Apply(keyed.Batch{Era: 2, Snapshot: true, Restored: true, Records: log.batch().Records})
		Consistently(count, "1500ms").Should(Equal(1))
		d.Apply(keyed.Batch{Era: 3, Snapshot: true, Restored: true})
		Eventually(count, "2s").Should(Equal(2))
		d.Apply(log.batch())
		Consistently(count, "1500ms").Should(Equal(2))
	})

	It("does not report that a process has ended because a restored log lists the one before it", func() {
		a := node("a")
		record := func(id string, offset int64) keyed.Record {
			return keyed.Record{Key: "node/b", Value: []byte(`{"id":"` + id + `","address":"10.0.0.2:7000"}`), Offset: offset}
		}
		a.Apply(keyed.Batch{Era: 1, Snapshot: true, Records: []keyed.Record{record("b/2", 5)}})
		a.Apply(keyed.Batch{Era: 2, Snapshot: true, Restored: true, Records: []keyed.Record{record("b/1", 3)}})
		Expect(ended).To(BeEmpty())
		a.Apply(keyed.Batch{Era: 2, Records: []keyed.Record{record("b/2", 4)}})
		Expect(ended).To(Equal([]string{"b/1"}))
	})

	It("reports other nodes but not itself, and skips records that can't be decoded", func() {
		a, b := node("a"), node("b")
		for key, value := range map[string]string{
			"node/b": `{"id":"b","address":"10.0.0.2:7000"}`, "node/a": `{"id":"a","address":"10.0.0.1:7000"}`,
			"node/x": "{", "node/y": `{"id":"y"}`, "lease": "{}",
		} {
			Expect(log.Append(context.Background(), "s", key, []byte(value))).To(Succeed())
		}
		a.Apply(log.batch())
		Expect(found).To(Equal(map[string]netip.AddrPort{"b": netip.MustParseAddrPort("10.0.0.2:7000")}))
		b.Apply(log.batch())
		Expect(found).To(HaveKey("a"))
	})

	It("reports that a process has ended once another process has its address", func() {
		a := node("a")
		put := func(key, value string) {
			Expect(log.Append(context.Background(), "s", key, []byte(value))).To(Succeed())
			a.Apply(log.batch())
		}
		put("node/b", `{"id":"b/1","address":"10.0.0.2:7000"}`)
		put("node/b", `{"id":"b/1","address":"10.0.0.2:7000"}`)
		// A process at a different address does not show that the first one ended.
		put("node/c", `{"id":"c/1","address":"10.0.0.3:7000"}`)
		Expect(ended).To(BeEmpty())
		put("node/b", `{"id":"b/2","address":"10.0.0.2:7000"}`)
		Expect(ended).To(Equal([]string{"b/1"}))
	})
})
