package relay_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/bootclock"
	"github.com/tamarackcleat/tamarackcleat/keyed"
	"github.com/tamarackcleat/tamarackcleat/relay"
)

// link is a listener whose connections together send at a limited rate.
type link struct {
	net.Listener
	mu             sync.Mutex
	bytesPerSecond float64
	sent           atomic.Int64
}

func (l *link) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &linkConn{c, l}, err
}

type linkConn struct {
	net.Conn
	link *link
}

func (c *linkConn) Write(b []byte) (int, error) {
	c.link.mu.Lock()
	time.Sleep(time.Duration(float64(len(b)) / c.link.bytesPerSecond * float64(time.Second)))
	c.link.mu.Unlock()
	c.link.sent.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// configuration returns a value like a configuration with many routes.
func configuration(routes int) []byte {
	rng := rand.New(rand.NewPCG(1, 2))
	var list []string
	for i := range routes {
		list = append(list, fmt.Sprintf(`{"name":"r-%08x","host":"%08x.example","pathPrefix":"/%08x/","type":"streaming","timeoutMs":6000,"sloMs":300,"priority":1,`+
			`"service":"huvo11a","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapTargetMs":200,"index":%d}`, rng.Uint32(), rng.Uint32(), rng.Uint32(), i))
	}
	return []byte(`{"version":7,"routes":[` + strings.Join(list, ",") + `]}`)
}

// put adds a record with a value to a stream, as if it was read from the log.
func put(s *keyed.Stream, value []byte) {
	next, _ := s.Next()
	s.Apply(keyed.Batch{From: next.Offset, Next: next.Offset + 1, Records: []keyed.Record{{Key: "k", Value: value, Offset: next.Offset}}, SentAt: bootclock.Now()})
}

// poll asks a handler for the records from the start and returns the response's body.
func poll(h http.Handler, request string) string {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, relay.PollPath, strings.NewReader(request)))
	Expect(w.Code).To(Equal(http.StatusOK))
	return w.Body.String()
}

var _ = Describe("A large value", func() {
	const routes = 1400
	newSource := func() *keyed.Stream {
		s := keyed.NewStream("s", func(keyed.Batch) {})
		s.Apply(keyed.Batch{Snapshot: true, SentAt: bootclock.Now()})
		return s
	}

	// Guards against nodes that serve late because all of them fetch a large configuration
	// (SHORT): it filled the link of the node that passes it on until the polls timed out.
	It("reaches all nodes of a zone within two seconds through one node's link", func() {
		const (
			nodes = 38
			// linkBytesPerSecond is a link of 200 Mbit/s.
			linkBytesPerSecond = 200e6 / 8
		)
		source := newSource()
		plain, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		l := &link{Listener: plain, bytesPerSecond: linkBytesPerSecond}
		server := httptest.NewUnstartedServer(relay.Handler([]*keyed.Stream{source}, noConfiguration))
		server.Listener = l
		server.Start()
		DeferCleanup(server.Close)
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		peer := relay.Peer{ID: "first", Address: netip.MustParseAddrPort(plain.Addr().String())}
		value := configuration(routes)
		var received atomic.Int64
		for range nodes {
			s := keyed.NewStream("s", func(b keyed.Batch) {
				for _, r := range b.Records {
					if bytes.Equal(r.Value, value) {
						received.Add(1)
					}
				}
			})
			s.Apply(keyed.Batch{Snapshot: true, SentAt: bootclock.Now()})
			go relay.NewSubscriber([]*keyed.Stream{s}, func() (relay.Peer, bool) { return peer, true }, slog.New(slog.DiscardHandler)).Run(ctx)
		}
		time.Sleep(500 * time.Millisecond)
		before := l.sent.Load()
		put(source, value)
		Eventually(received.Load, "2s", "10ms").Should(BeEquivalentTo(nodes))
		AddReportEntry("bytes", fmt.Sprintf("%d of value, %d sent", len(value), l.sent.Load()-before))
	})

	It("is sent as it is to a node that doesn't ask for compressed ones, and if it is small", func() {
		source := newSource()
		value := configuration(routes)
		put(source, value)
		put(source, []byte("small"))
		h := relay.Handler([]*keyed.Stream{source}, noConfiguration)
		type response struct {
			Streams map[string]struct {
				Records []struct{ V, Z []byte }
			}
		}
		var plain, compressed response
		Expect(json.Unmarshal([]byte(poll(h, `{"after":{"s":0}}`)), &plain)).To(Succeed())
		Expect(plain.Streams["s"].Records[0].V).To(Equal(value))
		Expect(json.Unmarshal([]byte(poll(h, `{"after":{"s":0},"gzip":true}`)), &compressed)).To(Succeed())
		records := compressed.Streams["s"].Records
		Expect(records[0].V).To(BeEmpty())
		Expect(len(records[0].Z)).To(BeNumerically("<", len(value)/4))
		r, err := gzip.NewReader(bytes.NewReader(records[0].Z))
		Expect(err).NotTo(HaveOccurred())
		Expect(io.ReadAll(r)).To(Equal(value))
		Expect(records[1].V).To(Equal([]byte("small")))
	})

	DescribeTable("that can't be decompressed is not applied", func(compressed []byte) {
		encoded, err := json.Marshal(compressed)
		Expect(err).NotTo(HaveOccurred())
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprintf(w, `{"streams":{"s":{"records":[{"k":"k","z":%s}],"next":1}}}`, encoded)
		}))
		DeferCleanup(server.Close)
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		var applied atomic.Int64
		s := keyed.NewStream("s", func(b keyed.Batch) { applied.Add(int64(len(b.Records))) })
		s.Apply(keyed.Batch{Snapshot: true, SentAt: bootclock.Now()})
		peer := relay.Peer{ID: "first", Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
		subscriber := relay.NewSubscriber([]*keyed.Stream{s}, func() (relay.Peer, bool) { return peer, true }, slog.New(slog.DiscardHandler))
		go subscriber.Run(ctx)
		Consistently(applied.Load, "500ms").Should(BeZero())
		Expect(subscriber.Connected()).To(BeFalse())
	},
		Entry("because it is no gzip", []byte("no gzip")),
		Entry("because it is cut off", gzipOf(configuration(100))[:200]),
		Entry("because it is larger than a response may be", gzipOf(make([]byte, 9<<20))),
	)
})

func gzipOf(data []byte) []byte {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, _ = w.Write(data)
	_ = w.Close()
	return out.Bytes()
}
