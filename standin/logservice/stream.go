package logservice

import (
	"sync"
	"time"

	"github.com/tamarackcleat/tamarackcleat/port"
)

// streams holds all streams by name; a stream exists once it is named.
type streams struct {
	mu     sync.Mutex
	byName map[string]*stream
}

func (s *streams) get(name string) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.byName[name]
	if !ok {
		st = &stream{grown: make(chan struct{})}
		s.byName[name] = st
	}
	return st
}

// stream is one sequence of entries, of which the oldest ones may be gone.
type stream struct {
	mu      sync.Mutex
	first   int64
	entries []stored
	// grown is closed when an entry is added.
	grown chan struct{}
}

// stored is an entry with the time at which it was appended.
type stored struct {
	at    time.Time
	entry port.Entry
}

// append adds an entry and returns its offset.
func (s *stream) append(now time.Time, data []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := s.first + int64(len(s.entries))
	s.entries = append(s.entries, stored{now, port.Entry{Offset: offset, Data: data}})
	close(s.grown)
	s.grown = make(chan struct{})
	return offset
}

// end returns the next offset and a channel that is closed when it changes.
func (s *stream) end() (next int64, grown <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.first + int64(len(s.entries)), s.grown
}

// expire drops entries from before a time, entries over a count and entries
// below an offset.
func (s *stream) expire(before time.Time, maxEntries int, below int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	gone := 0
	for gone < len(s.entries) && s.entries[gone].at.Before(before) {
		gone++
	}
	if maxEntries > 0 {
		gone = max(gone, len(s.entries)-maxEntries)
	}
	gone = max(gone, int(min(below-s.first, int64(len(s.entries)))))
	s.entries = s.entries[gone:]
	s.first += int64(gone)
}

// read returns at most count entries from an offset.
func (s *stream) read(from int64, count int) port.ReadResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := port.ReadResult{
		First:   s.first,
		Next:    s.first + int64(len(s.entries)),
		Entries: []port.Entry{},
	}
	if from < result.First {
		return result
	}
	for at := from; at < result.Next && len(result.Entries) < count; at++ {
		result.Entries = append(result.Entries, s.entries[at-s.first].entry)
	}
	return result
}
