package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/bounded"
)

// endlessUpstream is a test server that answers each request with start and then with
// repeat until the connection is closed. It pauses between two copies of repeat.
func endlessUpstream(start, repeat string, pause time.Duration) string {
	return stoppableUpstream(start, repeat, pause, &sync.RWMutex{})
}

// stoppableUpstream is endlessUpstream, except that it sends nothing while sending is locked.
func stoppableUpstream(start, repeat string, pause time.Duration, sending *sync.RWMutex) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go sendEndless(c, start, repeat, pause, sending)
		}
	}()
	return l.Addr().String()
}

func sendEndless(c net.Conn, start, repeat string, pause time.Duration, sending *sync.RWMutex) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if _, err := io.WriteString(c, start); err != nil {
		return
	}
	for {
		sending.RLock()
		_, err := io.WriteString(c, repeat)
		sending.RUnlock()
		if err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// block is a run of bytes that upstreams repeat.
var block = strings.Repeat("x", 16<<10)

// endlessTimeout is the time that a request to an upstream without end may take. The
// limits must end the exchange much earlier.
const endlessTimeout = 20 * time.Second

// exchangeOnce sends a request and reads the response to its end.
func exchangeOnce(ctx context.Context, pool *Pool, address string) error {
	resp, err := pool.Do(ctx, address, request("1"))
	if err != nil {
		return err
	}
	defer resp.Close()
	_, err = io.Copy(io.Discard, resp)
	return err
}

// The cases name the parts of a response that have no natural end. A node that reads
// them without a limit runs out of memory or never ends the request.
var _ = Describe("A response without end", func() {
	foreign := "HTTP/1.1 200 OK\r\n" + idHeader + ": other\r\n"
	own := "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n"

	DescribeTable("ends the exchange with an error that names the limit", func(start, repeat, what string) {
		address := endlessUpstream(start, repeat, 0)
		pool := NewPool(Options{DialTimeout: time.Second, UserTimeout: time.Second})
		ctx, cancel := context.WithTimeout(context.Background(), endlessTimeout)
		defer cancel()
		err := exchangeOnce(ctx, pool, address)
		Expect(ctx.Err()).NotTo(HaveOccurred(), "only the deadline ended the exchange")
		Expect(errors.Is(err, bounded.ErrTooLong)).To(BeTrue(), "%v", err)
		got, _ := bounded.Exceeded(err)
		Expect(got).To(Equal(what))
		Expect(errors.Is(err, ErrNotSent)).To(BeFalse())
		Expect(pool.hosts).To(BeEmpty(), "the connection was kept")
	},
		Entry("of one header line", "HTTP/1.1 200 OK\r\nA: ", block, limitHead),
		Entry("of a status line", "HTTP/1.1 200 ", block, limitHead),
		Entry("of header lines", "HTTP/1.1 200 OK\r\n", "A: b\r\n", limitHead),
		Entry("of interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", limitInterim),
		Entry("of large interim responses", "", "HTTP/1.1 103 Early Hints\r\nA: "+block+"\r\n\r\n", limitHead),
		Entry("of a body for another request", foreign+"Transfer-Encoding: chunked\r\n\r\n", "4000\r\n"+block+"\r\n", limitSkippedBody),
		Entry("of a body with a length for another request", foreign+"Content-Length: 99999999999\r\n\r\n", block, limitSkippedBody),
		Entry("of a body", own, "4000\r\n"+block+"\r\n", limitBody),
		Entry("of a body without framing", "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\n\r\n", block, limitBody),
	)

	DescribeTable("ends the exchange with an error", func(start, repeat string) {
		address := endlessUpstream(start, repeat, 0)
		pool := NewPool(Options{DialTimeout: time.Second, UserTimeout: time.Second})
		ctx, cancel := context.WithTimeout(context.Background(), endlessTimeout)
		defer cancel()
		Expect(exchangeOnce(ctx, pool, address)).To(HaveOccurred())
		Expect(ctx.Err()).NotTo(HaveOccurred(), "only the deadline ended the exchange")
		Expect(pool.hosts).To(BeEmpty(), "the connection was kept")
	},
		Entry("of trailers", own+"0\r\n", "A: b\r\n"),
		Entry("of a chunk's extension", own+"1;a=", block),
		Entry("of chunks with long extensions", own, "1;a="+strings.Repeat("x", 2000)+"\r\nx\r\n"),
		Entry("of bytes that are no response", "", block),
	)

	It("is closed with the exchange although bytes follow a complete response", func() {
		address := endlessUpstream(response("1", "ok"), block, 0)
		pool := NewPool(Options{DialTimeout: time.Second, UserTimeout: time.Second})
		resp, err := pool.Do(context.Background(), address, request("1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(io.ReadAll(resp)).To(Equal([]byte("ok")))
		Eventually(func() int { _, err := resp.conn.reader.Peek(1); _ = err; return resp.conn.reader.Buffered() }).Should(BeNumerically(">", 0))
		resp.Close()
		Expect(pool.hosts).To(BeEmpty())
	})

	DescribeTable("that grows by a byte now and then ends with the context", func(start, repeat string) {
		address := endlessUpstream(start, repeat, 10*time.Millisecond)
		pool := NewPool(Options{DialTimeout: time.Second, UserTimeout: time.Second})
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		started := time.Now()
		Expect(exchangeOnce(ctx, pool, address)).To(HaveOccurred())
		Expect(time.Since(started)).To(BeNumerically("<", 2*time.Second))
		Expect(pool.hosts).To(BeEmpty())
	},
		Entry("in its head", "HTTP/1.1 200 OK\r\nA: ", "x"),
		Entry("in a body for another request", foreign+"Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
		Entry("in its body", own, "1\r\nx\r\n"),
	)

	It("does not use up the memory of the node, also with many at once", func() {
		const (
			exchanges = 64
			// maxGrowthBytes bounds the memory that all exchanges together hold; the
			// smallest entry VM has 184 MB.
			maxGrowthBytes = 32 << 20
			// settleTime is how long the exchanges take at most to read what was sent.
			settleTime = 5 * time.Millisecond
		)
		var sending sync.RWMutex
		addresses := []string{
			stoppableUpstream("HTTP/1.1 200 OK\r\nA: ", block, 0, &sending),
			stoppableUpstream("HTTP/1.1 200 OK\r\n", "A: b\r\n", 0, &sending),
			stoppableUpstream("", "HTTP/1.1 100 Continue\r\n\r\n", 0, &sending),
			stoppableUpstream(own, "4000\r\n"+block+"\r\n", 0, &sending),
		}
		sound := serve(func(n int, r *http.Request) string { return response(r.Header.Get(idHeader), "ok") })
		pool := NewPool(Options{DialTimeout: time.Second, UserTimeout: time.Second})
		ctx, cancel := context.WithTimeout(context.Background(), endlessTimeout)
		defer cancel()
		idle, samples, most := heapBytes(), 0, uint64(0)
		var all sync.WaitGroup
		for i := range exchanges {
			all.Go(func() { _ = exchangeOnce(ctx, pool, addresses[i%len(addresses)]) })
		}
		done := make(chan struct{})
		go func() { all.Wait(); close(done) }()
		for ended := false; !ended; {
			select {
			case <-done:
				ended = true
			case <-time.After(5 * time.Millisecond):
			}
			// What is allocated while a collection runs counts as live, so the upstreams
			// send nothing meanwhile.
			sending.Lock()
			time.Sleep(settleTime)
			held := heapBytes()
			sending.Unlock()
			samples, most = samples+1, max(most, held)
			Expect(held).To(BeNumerically("<", idle+maxGrowthBytes))
			Expect(exchangeOnce(ctx, pool, sound.address())).To(Succeed())
		}
		Expect(ctx.Err()).NotTo(HaveOccurred())
		AddReportEntry("memory", fmt.Sprintf("idle %.1f MB, most %.1f MB in %d samples", float64(idle)/1e6, float64(most)/1e6, samples))
	})
})

// heapBytes returns the size of the objects that were in use on the heap all through two
// collections. A single one also counts what other goroutines allocate while it runs.
func heapBytes() uint64 { return min(liveBytes(), liveBytes()) }

func liveBytes() uint64 {
	runtime.GC()
	live := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(live)
	return live[0].Value.Uint64()
}
