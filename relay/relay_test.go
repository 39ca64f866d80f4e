package relay_test

import (
	"context"
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
	Entry("the holder reads the log", "a/1", []string{"a/0", "b/1"}, "a/1", ""),
	Entry("the holder's zone asks it", "a/2", []string{"a/0", "a/1", "b/1"}, "a/1", "a/1"),
	Entry("the first of another zone asks the holder", "b/1", []string{"a/1", "b/2"}, "a/1", "a/1"),
	Entry("the others of that zone ask the first", "b/2", []string{"a/1", "b/1"}, "a/1", "b/1"),
	Entry("a larger node goes first", "b/1", []string{"a/1", "b/big"}, "a/1", "b/big"),
	Entry("without a holder the first reads the log", "b/1", []string{"b/2"}, "", ""),
	Entry("an unheard holder is not asked", "b/1", []string{"b/2"}, "a/1", ""),
)

// chain is a stream at a node that others ask, and one that follows it.
type chain struct {
	first, second *keyed.Stream
	server        *httptest.Server
	subscriber    *relay.Subscriber
	// broken makes the first node answer nothing of use.
	broken atomic.Bool
	keys   chan string
}

func newChain() *chain {
	c := &chain{keys: make(chan string, 1000)}
	c.first = keyed.NewStream("s", func(keyed.Batch) {})
	c.second = keyed.NewStream("s", func(b keyed.Batch) {
		for _, r := range b.Records {
			c.keys <- r.Key
		}
	})
	handler := relay.Handler([]*keyed.Stream{c.first})
	c.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
		s.Take(keyed.Batch{Whole: true, SentAt: bootclock.Now()})
	}
	go c.subscriber.Run(ctx)
	return c
}

// put makes the first node read a record from the log.
func (c *chain) put(key string) {
	next, _ := c.first.Next()
	c.first.Take(keyed.Batch{From: next, Next: next + 1, Records: []keyed.Record{{Key: key, Offset: next}}, SentAt: bootclock.Now()})
}

func (c *chain) serves() bool { return c.subscriber.Serves("s") }

var _ = Describe("Subscriber", func() {
	It("hands records on in order, at once", func() {
		c := newChain()
		Eventually(c.serves).Should(BeTrue())
		for _, k := range []string{"a", "b", "c"} {
			c.put(k)
			Eventually(c.keys, "200ms").Should(Receive(Equal(k)))
		}
	})

	It("carries the age of the proof, counted from the poll", func() {
		c := newChain()
		Eventually(c.serves).Should(BeTrue())
		proved := bootclock.Now()
		c.first.Take(keyed.Batch{Next: 0, SentAt: proved})
		Eventually(c.second.Age, "600ms").Should(BeNumerically("<", 400*time.Millisecond))
		Expect(bootclock.Now() - c.second.Age()).To(BeNumerically("<=", proved+time.Millisecond))
	})

	// A holder that is cut off from the log goes on answering.
	It("does not serve a stream whose source has got no proof for too long", func() {
		c := newChain()
		Eventually(c.serves).Should(BeTrue())
		Eventually(c.serves, "3s").Should(BeFalse())
		Expect(c.subscriber.Connected()).To(BeTrue())
		c.put("a")
		Eventually(c.serves).Should(BeTrue())
	})

	It("does not serve while the peer's answers are of no use", func() {
		c := newChain()
		Eventually(c.serves).Should(BeTrue())
		Expect(c.subscriber.Connected()).To(BeTrue())
		c.broken.Store(true)
		Eventually(c.serves, "1s").Should(BeFalse())
		Expect(c.subscriber.Connected()).To(BeFalse())
		c.put("a")
		c.broken.Store(false)
		Eventually(c.keys).Should(Receive(Equal("a")))
	})
})

var _ = Describe("Handler", func() {
	It("says what is wrong with a poll it can't read", func() {
		w := httptest.NewRecorder()
		relay.Handler(nil).ServeHTTP(w, httptest.NewRequest(http.MethodPost, relay.Path, strings.NewReader("{")))
		Expect(w.Code).To(Equal(http.StatusBadRequest))
		Expect(w.Body.String()).To(ContainSubstring("decoding the poll"))
	})
})
