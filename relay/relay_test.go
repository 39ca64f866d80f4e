package relay_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/bootclock"
	"github.com/tamarackcleat/tamarackcleat/keyed"
	"github.com/tamarackcleat/tamarackcleat/relay"
	"github.com/tamarackcleat/tamarackcleat/standin/fault"
)

var _ = DescribeTable("Source", func(self string, live []string, holder, want string) {
	peer := func(id string) relay.Peer {
		zone, name, _ := strings.Cut(id, "/")
		cores := 0.2
		if strings.HasPrefix(name, "big") {
			cores = 0.8
		}
		return relay.Peer{ID: id, Zone: zone, Cores: cores}
	}
	var peers []relay.Peer
	for _, id := range live {
		peers = append(peers, peer(id))
	}
	got, ok := relay.Source(peer(self), peers, holder)
	Expect(got.ID).To(Equal(want))
	Expect(ok).To(Equal(want != ""))
},
	Entry("the lease holder reads the log", "a/1", []string{"a/0", "b/1"}, "a/1", ""),
	Entry("the other nodes of the lease holder's zone poll the lease holder", "a/2", []string{"a/0", "a/1", "b/1"}, "a/1", "a/1"),
	Entry("the first node of another zone polls the lease holder", "b/1", []string{"a/1", "b/2"}, "a/1", "a/1"),
	Entry("the other nodes of that zone poll its first node", "b/2", []string{"a/1", "b/1"}, "a/1", "b/1"),
	Entry("a node with more cores is the first of its zone", "b/1", []string{"a/1", "b/big"}, "a/1", "b/big"),
	Entry("without a lease holder the first node of a zone reads the log", "b/1", []string{"b/2"}, "", ""),
	Entry("a lease holder that was not heard from is not polled", "b/1", []string{"b/2"}, "a/1", ""),
)

// chain is a stream on a node that serves polls, and the same stream on a second
// node that polls the first.
type chain struct {
	first, second *keyed.Stream
	server        *httptest.Server
	subscriber    *relay.Subscriber
	// broken makes the first node answer polls with an error status, and raw with these
	// bytes; nil for none.
	broken atomic.Bool
	raw    atomic.Pointer[string]
	// polls counts the polls of the second node.
	polls atomic.Int64
	// keys receives the keys of the records applied on the second node.
	keys chan string
}

func newChain() *chain {
	c := &chain{keys: make(chan string, 1000)}
	c.first = keyed.NewStream("s", func(keyed.Batch) {})
	c.second = keyed.NewStream("s", func(b keyed.Batch) {
		for _, r := range b.Records {
			c.keys <- r.Key
		}
	})
	handler := relay.Handler([]*keyed.Stream{c.first}, noConfiguration)
	c.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.polls.Add(1)
		if raw := c.raw.Load(); raw != nil {
			_, _ = io.Copy(io.Discard, r.Body)
			fault.ServeRaw(w, *raw)
			return
		}
		if c.broken.Load() {
			w.WriteHeader(http.StatusTeapot)
			return
		}
		handler.ServeHTTP(w, r)
	}))
	DeferCleanup(c.server.Close)
	peer := relay.Peer{ID: "first", Address: netip.MustParseAddrPort(c.server.Listener.Addr().String())}
	c.subscriber = relay.NewSubscriber([]*keyed.Stream{c.second}, func() (relay.Peer, bool) { return peer, true }, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	for _, s := range []*keyed.Stream{c.first, c.second} {
		s.Apply(keyed.Batch{Snapshot: true, SentAt: bootclock.Now()})
	}
	go c.subscriber.Run(ctx)
	return c
}

// put adds a record to the first node's stream, as if it was read from the log.
func (c *chain) put(key string) {
	next, _ := c.first.Next()
	c.first.Apply(keyed.Batch{Era: next.Era, From: next.Offset, Next: next.Offset + 1, Records: []keyed.Record{{Key: key, Offset: next.Offset}}, SentAt: bootclock.Now()})
}

func (c *chain) relayed() bool { return c.subscriber.Relayed("s") }

var _ = Describe("Subscriber", func() {
	It("passes records on in order and without delay", func() {
		c := newChain()
		Eventually(c.relayed).Should(BeTrue())
		for _, k := range []string{"a", "b", "c"} {
			c.put(k)
			Eventually(c.keys, "200ms").Should(Receive(Equal(k)))
		}
	})

	It("passes on the staleness, counted from the sending of the poll", func() {
		c := newChain()
		Eventually(c.relayed).Should(BeTrue())
		freshAt := bootclock.Now()
		c.first.Apply(keyed.Batch{Next: 0, SentAt: freshAt})
		Eventually(c.second.Staleness, "600ms").Should(BeNumerically("<", 400*time.Millisecond))
		Expect(bootclock.Now() - c.second.Staleness()).To(BeNumerically("<=", freshAt+time.Millisecond))
	})

	// A lease holder that is cut off from the log still answers polls, so answers
	// alone do not show that a stream is up to date.
	It("does not serve a stream whose source has not read the log for too long", func() {
		c := newChain()
		Eventually(c.relayed).Should(BeTrue())
		Eventually(c.relayed, "3s").Should(BeFalse())
		Expect(c.subscriber.Connected()).To(BeTrue())
		c.put("a")
		Eventually(c.relayed).Should(BeTrue())
	})

	// Guards against an answer that proves a stream to be up to date although its status or
	// one of its fields is damaged.
	It("does not serve a stream while the peer's answers are malformed", func() {
		c := newChain()
		Eventually(c.relayed).Should(BeTrue())
		const every = 5
		for i, answer := range fault.MalformedAnswers(http.StatusOK, `{"streams":{}}`) {
			if i%every > 0 {
				continue
			}
			c.raw.Store(&answer)
			begun := c.polls.Load()
			// The answer to a poll has been taken when the next one begins.
			Eventually(c.polls.Load, "5s").Should(BeNumerically(">=", begun+2))
			Expect(c.subscriber.Connected()).To(BeFalse(), "%q", answer)
		}
		c.raw.Store(nil)
		Eventually(c.subscriber.Connected, "5s").Should(BeTrue())
	})

	// Guards against records of a restored log that are taken for those after the copy,
	// because their offsets fit.
	It("passes no record between copies of different eras of the log", func() {
		c := newChain()
		Eventually(c.relayed).Should(BeTrue())
		c.put("a")
		Eventually(c.keys).Should(Receive(Equal("a")))
		restored := keyed.Batch{Era: 1, Snapshot: true, Next: 0, SentAt: bootclock.Now()}
		knows := func(s *keyed.Stream) func() bool { return func() bool { _, ok := s.Next(); return !ok } }

		Expect(c.first.Apply(restored)).To(BeTrue())
		for _, k := range []string{"b", "c", "d"} {
			c.put(k)
		}
		Consistently(c.keys, "300ms").ShouldNot(Receive())
		Expect(c.second.Apply(restored)).To(BeTrue())
		for _, k := range []string{"b", "c", "d"} {
			Eventually(c.keys, "1s").Should(Receive(Equal(k)))
		}

		restored.Era = 2
		Expect(c.first.Apply(restored)).To(BeTrue())
		Eventually(knows(c.second), "1s").Should(BeTrue())
		Expect(c.second.Apply(restored)).To(BeTrue())
		restored.Era = 3
		Expect(c.second.Apply(restored)).To(BeTrue())
		c.put("e")
		Eventually(knows(c.first), "1s").Should(BeTrue())
		Consistently(c.keys, "300ms").ShouldNot(Receive())
	})

	It("does not serve a stream while the peer answers with errors", func() {
		c := newChain()
		Eventually(c.relayed).Should(BeTrue())
		Expect(c.subscriber.Connected()).To(BeTrue())
		c.broken.Store(true)
		Eventually(c.relayed, "1s").Should(BeFalse())
		Expect(c.subscriber.Connected()).To(BeFalse())
		c.put("a")
		c.broken.Store(false)
		Eventually(c.keys).Should(Receive(Equal("a")))
	})
})

var _ = Describe("Handler", func() {
	It("states the error when it cannot decode a poll", func() {
		w := httptest.NewRecorder()
		relay.Handler(nil, noConfiguration).ServeHTTP(w, httptest.NewRequest(http.MethodPost, relay.PollPath, strings.NewReader("{")))
		Expect(w.Code).To(Equal(http.StatusBadRequest))
		Expect(w.Body.String()).To(ContainSubstring("decoding the poll"))
	})
})
