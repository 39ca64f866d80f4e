package keyed

import (
	"math"
	"sync"
	"time"

	"github.com/tamarackcleat/tamarackcleat/bootclock"
)

// maxTailRecords is the number of newest records kept for peers; a peer that is
// further behind reads from the log. A repair of replicas that lost VMs writes a few
// dozen records.
const maxTailRecords = 256

// Stream is this node's copy of a stream. Batches come from the log or from a peer;
// each record is applied once and in order. Stream is safe for concurrent use.
type Stream struct {
	// Name is the stream's name in the log.
	Name  string
	apply func(Batch)

	mu sync.Mutex
	// initialized says that a snapshot was applied.
	initialized bool
	// next is the offset after the last record applied.
	next int64
	// freshAt is the latest time of the boot clock at which the copy was known
	// to be complete.
	freshAt time.Duration
	// tail holds the newest records; its first one has the offset tailFrom.
	tail     []Record
	tailFrom int64
	// changed is closed and replaced when records arrive.
	changed chan struct{}
}

// NewStream returns an empty Stream. It calls apply with each batch that it takes,
// one at a time. Records that were applied before are removed from a batch that is
// not a snapshot. In the batch passed to apply, SentAt is the latest time at which
// the copy was known to be complete.
func NewStream(name string, apply func(Batch)) *Stream {
	return &Stream{Name: name, apply: apply, changed: make(chan struct{})}
}

// Apply applies the new records of a batch. It returns false and changes nothing
// if the batch leaves a gap, if it is a snapshot and older than the copy, or if
// it is not a snapshot and no snapshot came before it.
func (s *Stream) Apply(b Batch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case b.Snapshot && s.initialized && b.Next < s.next, !b.Snapshot && (!s.initialized || b.From > s.next):
		return false
	case b.Snapshot:
		s.tail, s.tailFrom = nil, b.Next
	case b.Next < s.next:
		// The batch ends before the copy, so it holds no new records, but
		// it still shows that the copy was complete at b.SentAt.
		b.Records = nil
	default:
		b.Records = b.Records[min(int64(len(b.Records)), s.next-b.From):]
		s.appendTail(b.Records)
	}
	s.initialized = true
	if !b.More {
		s.freshAt = max(s.freshAt, b.SentAt)
	}
	b.From, b.SentAt = s.next, s.freshAt
	s.next = max(s.next, b.Next)
	b.Next = s.next
	s.apply(b)
	if b.Snapshot || len(b.Records) > 0 {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return true
}

// appendTail adds records to the tail and drops the oldest ones beyond
// maxTailRecords.
func (s *Stream) appendTail(records []Record) {
	s.tail = append(s.tail, records...)
	if excess := len(s.tail) - maxTailRecords; excess > 0 {
		s.tail = append([]Record(nil), s.tail[excess:]...)
		s.tailFrom += int64(excess)
	}
}

// Next returns the offset after the last record applied, or false if no batch was
// applied yet.
func (s *Stream) Next() (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next, s.initialized
}

// Tail returns the records from an offset. The batch's SentAt is the latest time of
// the boot clock at which they were known to reach the end of the stream. Tail
// returns false if the records from the offset are not kept.
func (s *Stream) Tail(from int64) (Batch, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.initialized || from < s.tailFrom || from > s.next {
		return Batch{}, false
	}
	return Batch{Records: s.tail[from-s.tailFrom:], From: from, Next: s.next, SentAt: s.freshAt}, true
}

// Changed returns a channel that is closed when the next records arrive.
func (s *Stream) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Staleness returns the time since the copy was last known to be complete, or
// the largest duration if no batch was applied yet.
func (s *Stream) Staleness() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.initialized {
		return math.MaxInt64
	}
	return bootclock.Now() - s.freshAt
}
