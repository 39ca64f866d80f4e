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

// Values of the specs.
const (
	retention = time.Hour
	// longWait is a long poll that no spec waits out.
	longWait = 20 * time.Second
)

// fixture is a log service with a clock that the spec moves.
type fixture struct {
	service *logservice.Service
	log     *porthttp.Log
	now     atomic.Int64
	// arrived gets a value for each request that has arrived whole.
	arrived chan struct{}
}

// advance moves the clock.
func (f *fixture) advance(d time.Duration) { f.now.Add(int64(d)) }

// start runs a log service for the length of one spec.
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

var _ = Describe("the log stand-in", func() {
	ctx := context.Background()
	var f *fixture

	BeforeEach(func() { f = start(func(*logservice.Settings) {}) })

	// appended appends an entry and expects its offset.
	appended := func(offset int64) {
		GinkgoHelper()
		result, err := f.log.Append(ctx, "s", []byte(`{"n":1}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Offset).To(Equal(offset))
	}
	// next returns the next offset of the stream.
	next := func() int64 { return f.service.Next("s") }

	It("gives offsets per stream and reads them back", func() {
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

	It("wakes a waiting read", func() {
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

	It("forgets entries by time and tells the first one kept", func() {
		appended(0)
		f.advance(40 * time.Minute)
		appended(1)
		f.advance(40 * time.Minute)
		result, err := f.log.Read(ctx, "s", 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.First).To(BeEquivalentTo(1))
		Expect(result.Next).To(BeEquivalentTo(2))
		Expect(result.Entries).To(BeEmpty())
		f.advance(time.Hour)
		result, err = f.log.Read(ctx, "s", 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.First).To(BeEquivalentTo(2))
		appended(2)
	})

	It("forgets entries by count and by order", func() {
		f = start(func(s *logservice.Settings) { s.MaxEntries = 2 })
		for i := range 4 {
			appended(int64(i))
		}
		result, err := f.log.Read(ctx, "s", 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.First).To(BeEquivalentTo(2))
		Expect(f.service.Faults.Set(`{"truncate_to":{"s":3}}`)).To(Succeed())
		result, err = f.log.Read(ctx, "s", 3, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.First).To(BeEquivalentTo(3))
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

	It("refuses before the effect", func() {
		Expect(f.service.Faults.Set(`{"outage":"refuse"}`)).To(Succeed())
		_, err := f.log.Append(ctx, "s", []byte(`1`))
		Expect(errors.Is(err, port.ErrNotAppended)).To(BeTrue())
		_, err = f.log.Read(ctx, "s", 0, 0)
		Expect(err).To(HaveOccurred())
		Expect(next()).To(BeZero())
		Expect(f.service.Faults.Set(`{"outage":"","refuse_appends":1}`)).To(Succeed())
		_, err = f.log.Append(ctx, "s", []byte(`1`))
		Expect(errors.Is(err, port.ErrNotAppended)).To(BeTrue())
		appended(0)
	})

	DescribeTable("loses answers after the effect", func(faults string) {
		Expect(f.service.Faults.Set(faults)).To(Succeed())
		_, err := f.log.Append(ctx, "s", []byte(`1`))
		Expect(err).To(HaveOccurred())
		Expect(errors.Is(err, port.ErrNotAppended)).To(BeFalse())
		Expect(next()).To(BeEquivalentTo(1))
		Expect(f.service.Faults.Set(`{"outage":""}`)).To(Succeed())
		appended(1)
	},
		Entry("for the whole outage", `{"outage":"lose"}`),
		Entry("once", `{"lose_answers":1}`),
	)

	It("lets an append take effect after its sender gave up", func() {
		Expect(f.service.Faults.Set(`{"outage":"hang"}`)).To(Succeed())
		short, cancel := context.WithCancel(ctx)
		go func() {
			<-f.arrived
			cancel()
		}()
		_, err := f.log.Append(short, "s", []byte(`1`))
		Expect(err).To(HaveOccurred())
		Expect(errors.Is(err, port.ErrNotAppended)).To(BeFalse())
		Eventually(next).Should(BeEquivalentTo(1))
	})

	It("refuses unknown fault switches", func() {
		Expect(f.service.Faults.Set(`{"outrage":"refuse"}`)).NotTo(Succeed())
	})
})
