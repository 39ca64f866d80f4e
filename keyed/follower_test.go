package keyed_test

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/bootclock"
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
	// era is the era of the log, which restore raises.
	era int64
	// pageSize is the largest number of records that Read returns; 0 for no limit, and a
	// negative number for none, which emptyReads counts.
	pageSize, emptyReads int
}

func (l *fakeLog) setPageSize(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pageSize = n
}

// addRecords adds a number of records of a key at once, with the values 0, 1 and so on.
func (l *fakeLog) addRecords(key string, number int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range number {
		l.records = append(l.records, keyed.Record{Key: key, Value: []byte(strconv.Itoa(i)), Offset: int64(len(l.records))})
	}
}

// page returns the records from an offset that one read returns. The lock must be held.
func (l *fakeLog) page(from int64) keyed.Page {
	out := l.records[from:]
	if l.pageSize != 0 && len(out) > l.pageSize {
		out = out[:max(0, l.pageSize)]
	}
	if l.pageSize < 0 {
		l.emptyReads++
	}
	next := from + int64(len(out))
	return keyed.Page{Era: l.era, Records: out, Next: next, More: next < int64(len(l.records))}
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

// restore drops the records from an offset and begins the next era.
func (l *fakeLog) restore(end int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = l.records[:end:end]
	l.era++
}

func (l *fakeLog) setUnreachable(unreachable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreachable = unreachable
}

func (l *fakeLog) Newest(context.Context, string) (keyed.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreachable {
		return keyed.Page{}, errors.New("away")
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
	return keyed.Page{Era: l.era, Records: out, Next: int64(len(l.records))}, nil
}

func (l *fakeLog) Read(ctx context.Context, _ string, from int64, wait time.Duration) (keyed.Page, error) {
	for end := time.Now().Add(wait); ; time.Sleep(time.Millisecond) {
		l.mu.Lock()
		switch {
		case l.unreachable:
			l.failedReads++
			l.mu.Unlock()
			return keyed.Page{}, errors.New("away")
		case from < l.first || from > int64(len(l.records)):
			l.mu.Unlock()
			return keyed.Page{}, keyed.ErrTruncated
		case from < int64(len(l.records)) || time.Now().After(end):
			page := l.page(from)
			l.mu.Unlock()
			return page, nil
		}
		l.mu.Unlock()
	}
}

var _ = Describe("Follower", func() {
	var (
		log    *fakeLog
		stream *keyed.Stream
		// failures counts the calls of OnError.
		failures  atomic.Int64
		mu        sync.Mutex
		state     map[string]string
		lastBatch keyed.Batch
		// batches holds all batches that were applied.
		batches              []keyed.Batch
		maxDelay, batchDelay time.Duration
	)
	value := func(key string) func() string {
		return func() string {
			mu.Lock()
			defer mu.Unlock()
			return state[key]
		}
	}
	BeforeEach(func() {
		failures.Store(0)
		log, maxDelay, batchDelay, batches = &fakeLog{}, keyed.MaxRetryDelay, 0, nil
		state = map[string]string{}
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		stream = keyed.NewStream("s", func(b keyed.Batch) {
			mu.Lock()
			defer mu.Unlock()
			lastBatch = b
			batches = append(batches, b)
			if b.Snapshot {
				state = map[string]string{}
			}
			for _, r := range b.Records {
				state[r.Key] = string(r.Value)
			}
		})
		f := &keyed.Follower{
			Log: log, Stream: stream, ReadWait: func() time.Duration { return 20 * time.Millisecond }, Logger: slog.New(slog.DiscardHandler), OnError: func(error) { failures.Add(1) },
			MaxRetryDelay: func() time.Duration { mu.Lock(); defer mu.Unlock(); return maxDelay },
			BatchDelay:    func() time.Duration { mu.Lock(); defer mu.Unlock(); return batchDelay },
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

	// Guards against a removed key that is accepted: a read that was cut off at the log's
	// limit counted as proof that the newest configuration is known.
	It("takes only a read up to the stream's end as proof that its copy is complete", func() {
		log.setUnreachable(true)
		log.setPageSize(2)
		addedAt := bootclock.Now()
		log.addRecords("a", 6)
		log.setUnreachable(false)
		proved := func() bool { mu.Lock(); defer mu.Unlock(); return lastBatch.SentAt > addedAt }
		Eventually(proved, "2s").Should(BeTrue())
		Expect(value("a")()).To(Equal("5"))
		mu.Lock()
		defer mu.Unlock()
		for _, b := range batches {
			if b.Next < lastBatch.Next {
				Expect(b.SentAt).To(BeNumerically("<=", addedAt), "the copy up to offset %d counts as complete", b.Next)
			}
		}
	})

	It("reads on at once until the stream's end", func() {
		mu.Lock()
		batchDelay = time.Minute
		mu.Unlock()
		log.setPageSize(1)
		log.addRecords("a", 20)
		Eventually(value("a"), "2s").Should(Equal("19"))
	})

	// Guards against reads without a pause: the log says that there are records, and returns
	// none.
	It("treats a response without the records that should be there as a failed read", func() {
		log.setPageSize(-1)
		log.addRecords("a", 1)
		Consistently(func() int { log.mu.Lock(); defer log.mu.Unlock(); return log.emptyReads }, "500ms").Should(BeNumerically("<=", 8))
		Expect(value("a")()).To(Equal("1"))
		log.setPageSize(0)
		Eventually(value("a"), "2s").Should(Equal("0"))
	})

	// Guards against records that are never read because the log was restored from a backup
	// and gave their offsets out again.
	DescribeTable("reads the newest records of a restored log",
		func(lost, written int) {
			log.addRecords("a", 6)
			Eventually(value("a")).Should(Equal("5"))
			log.setUnreachable(true)
			log.restore(7 - lost)
			log.addRecord("b", "new")
			for range written - 1 {
				log.addRecord("c", "new")
			}
			log.setUnreachable(false)
			Eventually(value("b"), "2s").Should(Equal("new"))
			log.addRecord("a", "last")
			Eventually(value("a"), "2s").Should(Equal("last"))
		},
		Entry("that ends before the copy", 4, 2),
		Entry("that ends where the copy does", 4, 4),
		Entry("that has passed the copy's end", 4, 9),
		Entry("that has lost nothing of the stream", 0, 1),
	)

	// Guards against nodes that wait for many seconds after an outage, because peers relay the
	// log, although peers can't relay what follows a restoration.
	It("does not wait long with the first read of a restored log", func() {
		mu.Lock()
		maxDelay = 20 * time.Second
		mu.Unlock()
		log.addRecord("a", "2")
		Eventually(value("a")).Should(Equal("2"))
		log.setUnreachable(true)
		Eventually(func() int { log.mu.Lock(); defer log.mu.Unlock(); return log.failedReads }).Should(BeNumerically(">=", 1))
		log.restore(0)
		log.addRecord("a", "restored")
		log.setUnreachable(false)
		stream.RecordEra(1)
		Eventually(value("a"), "1500ms").Should(Equal("restored"))
	})

	// Guards against a restoration that counts as an outage of the log, after which upstreams
	// without a record get time to come back.
	It("does not count a read that shows a restoration as a failed one", func() {
		log.restore(0)
		log.addRecord("a", "restored")
		Eventually(value("a"), "2s").Should(Equal("restored"))
		Expect(failures.Load()).To(BeZero())
	})

	It("reads a log on that ends before the copy in the same era only once it has caught up", func() {
		log.addRecords("a", 6)
		Eventually(value("a")).Should(Equal("5"))
		log.mu.Lock()
		behind := log.records
		log.records = behind[:3:3]
		log.mu.Unlock()
		Consistently(value("a"), "300ms").Should(Equal("5"))
		log.mu.Lock()
		log.records = behind
		log.mu.Unlock()
		log.addRecord("a", "last")
		Eventually(value("a"), "3s").Should(Equal("last"))
	})

	It("passes on the time of a read that returned no records", func() {
		sent := func() time.Duration { mu.Lock(); defer mu.Unlock(); return lastBatch.SentAt }
		before := sent()
		Eventually(sent).Should(BeNumerically(">", before))
	})
})
