package logservice_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/port/porthttp"
	"github.com/tamarackcleat/tamarackcleat/standin/logservice"
)

const (
	retention = time.Hour
	// longWait is longer than any spec waits for a long poll.
	longWait = 20 * time.Second
)

// fixture is a log service with a client and a clock that the spec advances.
type fixture struct {
	service *logservice.Service
	log     *porthttp.Log
	// now is the time of the clock, in nanoseconds.
	now atomic.Int64
	// arrived receives a value for each request whose body has arrived.
	arrived chan struct{}
}

// advance moves the clock forward.
func (f *fixture) advance(d time.Duration) { f.now.Add(int64(d)) }

// start runs a log service until the spec ends. change adjusts its settings.
func start(change func(*logservice.Settings)) *fixture {
	f := &fixture{arrived: make(chan struct{}, 100)}
	settings := logservice.DefaultSettings()
	settings.Retention = retention
	settings.Clock = func() time.Time { return time.Unix(0, f.now.Load()) }
	change(&settings)
	f.service = logservice.New(settings)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		f.arrived <- struct{}{}
		f.service.ServeHTTP(w, r)
	}))
	DeferCleanup(server.Close)
	f.log = porthttp.NewLog(server.URL, nil)
	return f
}

var _ = Describe("the log service stand-in", func() {
	ctx := context.Background()
	var f *fixture

	BeforeEach(func() { f = start(func(*logservice.Settings) {}) })

	// appended appends an entry to the stream s and expects it to get an offset.
	appended := func(offset int64) {
		GinkgoHelper()
		result, err := f.log.Append(ctx, "s", []byte(`{"n":1}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Offset).To(Equal(offset))
	}
	// next returns the offset of the next entry of the stream s.
	next := func() int64 { return f.service.NextOffset("s") }

	It("numbers entries per stream and returns them to readers", func() {
		appended(0)
		appended(1)
		result, err := f.log.Read(ctx, "s", 1, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Entries).To(HaveLen(1))
		Expect(result.Entries[0].Data).To(MatchJSON(`{"n":1}`))
		Expect(result.RetentionMillis).To(BeEquivalentTo(retention.Milliseconds()))
		other, err := f.log.Append(ctx, "t", []byte(`1`))
		Expect(err).NotTo(HaveOccurred())
		Expect(other.Offset).To(BeZero())
	})

	It("answers a waiting read when an entry is appended", func() {
		result := make(chan port.ReadResult, 1)
		go func() {
			defer GinkgoRecover()
			r, err := f.log.Read(ctx, "s", 0, longWait)
			Expect(err).NotTo(HaveOccurred())
			result <- r
		}()
		appended(0)
		Eventually(result).Should(Receive(HaveField("Entries", HaveLen(1))))
	})

	It("refuses entries that are not JSON", func() {
		_, err := f.log.Append(ctx, "s", []byte(`{`))
		Expect(err).To(HaveOccurred())
		Expect(next()).To(BeZero())
	})

	It("removes entries after the retention time and returns the first offset that is kept", func() {
		appended(0)
		f.advance(40 * time.Minute)
		appended(1)
		f.advance(40 * time.Minute)
		result, err := f.log.Read(ctx, "s", 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.FirstOffset).To(BeEquivalentTo(1))
		Expect(result.NextOffset).To(BeEquivalentTo(2))
		Expect(result.Entries).To(BeEmpty())
		f.advance(time.Hour)
		result, err = f.log.Read(ctx, "s", 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.FirstOffset).To(BeEquivalentTo(2))
		appended(2)
	})

	It("removes entries over the maximum number and below the offset of a fault switch", func() {
		f = start(func(s *logservice.Settings) { s.MaxEntries = 2 })
		for i := range 4 {
			appended(int64(i))
		}
		result, err := f.log.Read(ctx, "s", 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.FirstOffset).To(BeEquivalentTo(2))
		Expect(f.service.Faults.SetJSON(`{"truncate_to":{"s":3}}`)).To(Succeed())
		result, err = f.log.Read(ctx, "s", 3, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.FirstOffset).To(BeEquivalentTo(3))
		Expect(result.Entries).To(HaveLen(1))
	})

	It("limits the rate of appends over all streams", func() {
		f = start(func(s *logservice.Settings) { s.AppendsPerSecond = 2 })
		appended(0)
		appended(1)
		_, err := f.log.Append(ctx, "t", []byte(`1`))
		Expect(errors.Is(err, port.ErrRateLimited)).To(BeTrue())
		f.advance(time.Second)
		appended(2)
	})

	It("refuses appends without effect, and reads, during an outage", func() {
		Expect(f.service.Faults.SetJSON(`{"outage":"refuse"}`)).To(Succeed())
		_, err := f.log.Append(ctx, "s", []byte(`1`))
		Expect(errors.Is(err, port.ErrNotAppended)).To(BeTrue())
		_, err = f.log.Read(ctx, "s", 0, 0)
		Expect(err).To(HaveOccurred())
		Expect(next()).To(BeZero())
		Expect(f.service.Faults.SetJSON(`{"outage":"","refuse_appends":1}`)).To(Succeed())
		_, err = f.log.Append(ctx, "s", []byte(`1`))
		Expect(errors.Is(err, port.ErrNotAppended)).To(BeTrue())
		appended(0)
	})

	DescribeTable("loses the answers to appends that take effect", func(faults string) {
		Expect(f.service.Faults.SetJSON(faults)).To(Succeed())
		_, err := f.log.Append(ctx, "s", []byte(`1`))
		Expect(err).To(HaveOccurred())
		Expect(errors.Is(err, port.ErrNotAppended)).To(BeFalse())
		Expect(next()).To(BeEquivalentTo(1))
		Expect(f.service.Faults.SetJSON(`{"outage":""}`)).To(Succeed())
		appended(1)
	},
		Entry("during an outage", `{"outage":"lose"}`),
		Entry("once", `{"lose_answers":1}`),
	)

	It("executes a hung append after its sender has given up", func() {
		Expect(f.service.Faults.SetJSON(`{"outage":"hang"}`)).To(Succeed())
		cancelable, cancel := context.WithCancel(ctx)
		go func() {
			<-f.arrived
			cancel()
		}()
		_, err := f.log.Append(cancelable, "s", []byte(`1`))
		Expect(err).To(HaveOccurred())
		Expect(errors.Is(err, port.ErrNotAppended)).To(BeFalse())
		Eventually(next).Should(BeEquivalentTo(1))
	})

	It("rejects unknown fault switches", func() {
		Expect(f.service.Faults.SetJSON(`{"outrage":"refuse"}`)).NotTo(Succeed())
	})
})
