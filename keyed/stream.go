package keyed

import (
	"math"
	"sync"
	"time"

	"github.com/tamarackcleat/tamarackcleat/bootclock"
)

// tailRecords bounds the records kept for peers; a peer that is further behind
// reads from the log. Changes of one repair are some dozen.
const tailRecords = 256

// Stream is this node's copy of a stream. Batches reach it from the log or from
// a peer; each record is applied once and in order. It is safe for concurrent
// use.
type Stream struct {
	// Name is the stream's name in the log.
	Name  string
	apply func(Batch)

	mu       sync.Mutex
	based    bool
	next     int64
	provenAt time.Duration
	// tail holds the newest records; its first one has the offset tailFrom.
	tail     []Record
	tailFrom int64
	changed  chan struct{}
}

// NewStream returns a Stream that hands its batches to apply, one at a time.
func NewStream(name string, apply func(Batch)) *Stream {
	return &Stream{Name: name, apply: apply, changed: make(chan struct{})}
}

// Take applies what is new in a batch. It reports false for a batch that leaves
// a gap or is older than what was applied.
func (s *Stream) Take(b Batch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case b.Whole && s.based && b.Next < s.next, !b.Whole && (!s.based || b.From > s.next):
		return false
	case b.Whole:
		s.tail, s.tailFrom = nil, b.Next
	case b.Next < s.next:
		// It was read before what is known; its proof holds all the same.
		b.Records = nil
	default:
		b.Records = b.Records[min(int64(len(b.Records)), s.next-b.From):]
		s.keep(b.Records)
	}
	s.based = true
	s.provenAt = max(s.provenAt, b.SentAt)
	b.From, b.SentAt = s.next, s.provenAt
	s.next = max(s.next, b.Next)
	b.Next = s.next
	s.apply(b)
	if b.Whole || len(b.Records) > 0 {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return true
}

// keep adds records to the tail.
func (s *Stream) keep(records []Record) {
	s.tail = append(s.tail, records...)
	if over := len(s.tail) - tailRecords; over > 0 {
		s.tail = append([]Record(nil), s.tail[over:]...)
		s.tailFrom += int64(over)
	}
}

// Next returns the offset after the last record applied; false if none was.
func (s *Stream) Next() (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next, s.based
}

// Tail returns the records from an offset and the proof that nothing came after
// them. It reports false if they are not kept.
func (s *Stream) Tail(from int64) (Batch, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.based || from < s.tailFrom || from > s.next {
		return Batch{}, false
	}
	return Batch{Records: s.tail[from-s.tailFrom:], From: from, Next: s.next, SentAt: s.provenAt}, true
}

// Changed returns a channel that is closed when records arrive.
func (s *Stream) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Age returns the time since the stream was proved to be read to its end.
func (s *Stream) Age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.based {
		return math.MaxInt64
	}
	return bootclock.Now() - s.provenAt
}
