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
	// next is the offset after the last record applied, era the era in which it counts.
	next, era int64
	// latestEra is the latest era of the log that this node has heard of. The copy is
	// replaced by a snapshot if it is of an earlier one.
	latestEra int64
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

// Apply applies the new records of a batch. It returns false and leaves the copy as it is
// if the batch leaves a gap, if it is a snapshot and older than the copy, if it is not a
// snapshot and no snapshot of its era came before it, or if it is of an earlier era than
// the latest one.
func (s *Stream) Apply(b Batch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latestEra = max(s.latestEra, b.Era)
	b.Restored = s.initialized && b.Era > s.era
	switch {
	case b.Era < s.latestEra, b.Restored && !b.Snapshot:
		return false
	case b.Restored:
		s.tail, s.tailFrom, s.next = nil, b.Next, b.Next
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
	s.initialized, s.era = true, b.Era
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

// Next returns the position after the last record applied. It returns false if no batch was
// applied yet, or if the log has begun a later era since: a snapshot must come first.
func (s *Stream) Next() (Position, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Position{s.era, s.next}, s.initialized && s.era == s.latestEra
}

// RecordEra records that the log has reached an era, so that a copy of an earlier one counts
// for nothing that needs the log's offsets.
func (s *Stream) RecordEra(era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latestEra = max(s.latestEra, era)
}

// LatestEra returns the latest era of the log that this node has heard of.
func (s *Stream) LatestEra() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latestEra
}

// Tail returns the records from a position. The batch's SentAt is the latest time of
// the boot clock at which they were known to reach the end of the stream. Tail
// returns false if the records from the position are not kept.
func (s *Stream) Tail(from Position) (Batch, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.initialized || from.Era != s.era || from.Offset < s.tailFrom || from.Offset > s.next {
		return Batch{}, false
	}
	return Batch{Era: s.era, Records: s.tail[from.Offset-s.tailFrom:], From: from.Offset, Next: s.next, SentAt: s.freshAt}, true
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
