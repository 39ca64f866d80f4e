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

// fakeLog is a log in memory that can be made unreachable and truncated.
type fakeLog struct {
	mu      sync.Mutex
	records []keyed.Record
	// first is the first offset that can be read.
	first       int64
	unreachable bool
	// snapshots counts the successful calls of Newest.
	snapshots int
	// failedReads counts the failed calls of Read.
	failedReads int
}

func (l *fakeLog) addRecord(key, value string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, keyed.Record{Key: key, Value: []byte(value), Offset: int64(len(l.records))})
}

// truncate makes all present offsets unreadable; Newest still returns the newest
// record of each key.
func (l *fakeLog) truncate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.first = int64(len(l.records))
}

func (l *fakeLog) setUnreachable(unreachable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreachable = unreachable
}

func (l *fakeLog) Newest(context.Context, string) ([]keyed.Record, int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreachable {
		return nil, 0, errors.New("away")
	}
	l.snapshots++
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
		case l.unreachable:
			l.failedReads++
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
		log       *fakeLog
		mu        sync.Mutex
		state     map[string]string
		lastBatch keyed.Batch
		maxDelay  time.Duration
	)
	value := func(key string) func() string {
		return func() string {
			mu.Lock()
			defer mu.Unlock()
			return state[key]
		}
	}
	BeforeEach(func() {
		log, maxDelay = &fakeLog{}, keyed.MaxRetryDelay
		state = map[string]string{}
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		stream := keyed.NewStream("s", func(b keyed.Batch) {
			mu.Lock()
			defer mu.Unlock()
			lastBatch = b
			if b.Snapshot {
				state = map[string]string{}
			}
			for _, r := range b.Records {
				state[r.Key] = string(r.Value)
			}
		})
		f := &keyed.Follower{
			Log: log, Stream: stream, ReadWait: func() time.Duration { return 20 * time.Millisecond }, Logger: slog.New(slog.DiscardHandler), OnError: func(error) {},
			MaxRetryDelay: func() time.Duration { mu.Lock(); defer mu.Unlock(); return maxDelay },
		}
		log.addRecord("a", "1")
		go f.Run(ctx)
		Eventually(value("a")).Should(Equal("1"))
	})

	It("applies records in order", func() {
		log.addRecord("a", "2")
		log.addRecord("b", "1")
		Eventually(value("b")).Should(Equal("1"))
		Expect(value("a")()).To(Equal("2"))
	})

	It("reads the newest record of each key when the log no longer keeps its offset", func() {
		log.setUnreachable(true)
		log.addRecord("a", "")
		log.addRecord("b", "1")
		log.truncate()
		log.setUnreachable(false)
		Eventually(value("b")).Should(Equal("1"))
		Expect(value("a")()).To(BeEmpty())
	})

	It("reads on from its offset after an outage, without reading the newest records again", func() {
		log.setUnreachable(true)
		log.addRecord("a", "2")
		Consistently(value("a"), "50ms").Should(Equal("1"))
		log.setUnreachable(false)
		Eventually(value("a"), "2s").Should(Equal("2"))
		Expect(log.snapshots).To(Equal(1))
	})

	// With many nodes, retries at the default delay add up to a high load on a log
	// that is down: in one outage each of 86 nodes read three streams twice a second.
	It("retries an unreachable log no more often than the longest delay allows", func() {
		countFailures := func() int { log.mu.Lock(); defer log.mu.Unlock(); return log.failedReads }
		log.setUnreachable(true)
		Eventually(countFailures, "3s").Should(BeNumerically(">=", 4))
		log.setUnreachable(false)
		mu.Lock()
		maxDelay = 20 * time.Second
		mu.Unlock()
		log.addRecord("a", "2")
		Eventually(value("a"), "2s").Should(Equal("2"))
		log.addRecord("a", "3")
		Eventually(value("a"), "2s").Should(Equal("3"))
		log.setUnreachable(true)
		before := countFailures()
		Consistently(countFailures, "1s").Should(BeNumerically("<=", before+1))
	})

	It("passes on the time of a read that returned no records", func() {
		sent := func() time.Duration { mu.Lock(); defer mu.Unlock(); return lastBatch.SentAt }
		before := sent()
		Eventually(sent).Should(BeNumerically(">", before))
	})
})
