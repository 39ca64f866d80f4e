package exchange

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/bounded"
)

var _ = Describe("The body of a request", func() {
	// Guards against large bodies that are cut, doubled or copied as they are sent, also when
	// the request is sent once more.
	DescribeTable("arrives unchanged each time it is sent", func(size int) {
		var got []byte
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			got, _ = io.ReadAll(r.Body)
			w.Header().Set(idHeader, r.Header.Get(idHeader))
		}))
		DeferCleanup(server.Close)
		want := bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size]
		body, err := bounded.NewBudget("test_memory", 1<<30).ReadSized(bytes.NewReader(want), int64(size), "test_input", int64(size))
		Expect(err).NotTo(HaveOccurred())
		pool := NewPool(Options{DialTimeout: time.Second, UserTimeout: time.Second})
		for range 2 {
			r := request("1")
			r.Body = body
			resp, err := pool.Do(context.Background(), strings.TrimPrefix(server.URL, "http://"), r)
			Expect(err).NotTo(HaveOccurred())
			_, err = io.Copy(io.Discard, resp)
			Expect(err).NotTo(HaveOccurred())
			resp.Close()
			Expect(bytes.Equal(got, want)).To(BeTrue(), "%d of %d bytes", len(got), len(want))
		}
	},
		Entry("no byte", 0),
		Entry("a small one", 1000),
		Entry("one that is just written with its head", maxJoinedBodyBytes),
		Entry("one that is written after its head", maxJoinedBodyBytes+1),
		Entry("a large one", 4<<20),
	)
})
