package keyed_test

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/keyed"
)

// fakeLog is a log in memory that can fail and forget.
type fakeLog struct {
	mu      sync.Mutex
	records []keyed.Record
	first   int64
	fail    bool
	wholes  int
	// failed counts reads that failed.
	failed int
}

func (l *fakeLog) put(key, value string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, keyed.Record{Key: key, Value: []byte(value), Offset: int64(len(l.records))})
}

// forget drops all records but keeps the newest of each key readable.
func (l *fakeLog) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.first = int64(len(l.records))
}

func (l *fakeLog) setFail(fail bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fail = fail
}

func (l *fakeLog) Newest(context.Context, string) ([]keyed.Record, int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fail {
		return nil, 0, errors.New("away")
	}
	l.wholes++
	newest := map[string]keyed.Record{}
	for _, r := range l.records {
		newest[r.Key] = r
	}
	var out []keyed.Record
	for _, r := range newest {
		if len(r.Value) > 0 {
			out = append(out, r)
		}
	}
	return out, int64(len(l.records)), nil
}

func (l *fakeLog) Read(ctx context.Context, _ string, from int64, wait time.Duration) ([]keyed.Record, int64, error) {
	for end := time.Now().Add(wait); ; time.Sleep(time.Millisecond) {
		l.mu.Lock()
		switch {
		case l.fail:
			l.failed++
			l.mu.Unlock()
			return nil, 0, errors.New("away")
		case from < l.first:
			l.mu.Unlock()
			return nil, 0, keyed.ErrTruncated
		case from < int64(len(l.records)) || time.Now().After(end):
			out := l.records[from:]
			l.mu.Unlock()
			return out, from + int64(len(out)), nil
		}
		l.mu.Unlock()
	}
}

var _ = Describe("Follower", func() {
	var (
		log   *fakeLog
		mu    sync.Mutex
		state map[string]string
		last  keyed.Batch
		most  time.Duration
	)
	value := func(key string) func() string {
		return func() string {
			mu.Lock()
			defer mu.Unlock()
			return state[key]
		}
	}
	BeforeEach(func() {
		log, most = &fakeLog{}, keyed.RetryMost
		state = map[string]string{}
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		stream := keyed.NewStream("s", func(b keyed.Batch) {
			mu.Lock()
			defer mu.Unlock()
			last = b
			if b.Whole {
				state = map[string]string{}
			}
			for _, r := range b.Records {
				state[r.Key] = string(r.Value)
			}
		})
		f := &keyed.Follower{
			Log: log, Stream: stream, Wait: func() time.Duration { return 20 * time.Millisecond }, Logger: slog.New(slog.DiscardHandler), Failed: func(error) {},
			RetryMost: func() time.Duration { mu.Lock(); defer mu.Unlock(); return most },
		}
		log.put("a", "1")
		go f.Run(ctx)
		Eventually(value("a")).Should(Equal("1"))
	})

	It("hands on records in order", func() {
		log.put("a", "2")
		log.put("b", "1")
		Eventually(value("b")).Should(Equal("1"))
		Expect(value("a")()).To(Equal("2"))
	})

	It("starts over from the newest records when the log forgot its place", func() {
		log.setFail(true)
		log.put("a", "")
		log.put("b", "1")
		log.forget()
		log.setFail(false)
		Eventually(value("b")).Should(Equal("1"))
		Expect(value("a")()).To(BeEmpty())
	})

	It("goes on behind an outage without reading all again", func() {
		log.setFail(true)
		log.put("a", "2")
		Consistently(value("a"), "50ms").Should(Equal("1"))
		log.setFail(false)
		Eventually(value("a"), "2s").Should(Equal("2"))
		Expect(log.wholes).To(Equal(1))
	})

	// On trouble-3 of anpes-booking-grown 86 nodes tried three streams each twice
	// a second while the store was down.
	It("tries an unreachable log as rarely as it is told", func() {
		tries := func() int { log.mu.Lock(); defer log.mu.Unlock(); return log.failed }
		log.setFail(true)
		Eventually(tries, "3s").Should(BeNumerically(">=", 4))
		log.setFail(false)
		mu.Lock()
		most = 20 * time.Second
		mu.Unlock()
		log.put("a", "2")
		Eventually(value("a"), "2s").Should(Equal("2"))
		log.put("a", "3")
		Eventually(value("a"), "2s").Should(Equal("3"))
		log.setFail(true)
		before := tries()
		Consistently(tries, "1s").Should(BeNumerically("<=", before+1))
	})

	It("says when a read was sent that brought nothing", func() {
		sent := func() time.Duration { mu.Lock(); defer mu.Unlock(); return last.SentAt }
		before := sent()
		Eventually(sent).Should(BeNumerically(">", before))
	})
})
