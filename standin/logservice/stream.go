package logservice

import (
	"sync"
	"time"

	"github.com/tamarackcleat/tamarackcleat/port"
)

// streams holds all streams by name. It is safe for concurrent use.
type streams struct {
	mu     sync.Mutex
	byName map[string]*stream
}

// get returns the stream with a name, which it creates if there is none.
func (s *streams) get(name string) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.byName[name]
	if !ok {
		st = &stream{appended: make(chan struct{})}
		s.byName[name] = st
	}
	return st
}

// stream is a sequence of entries, of which the oldest may have been removed. It is
// safe for concurrent use.
type stream struct {
	mu sync.Mutex
	// first is the offset of the oldest entry that is kept.
	first   int64
	entries []storedEntry
	// appended is closed and replaced when an entry is added.
	appended chan struct{}
}

// storedEntry is an entry with the time at which it was appended.
type storedEntry struct {
	appendedAt time.Time
	entry      port.Entry
}

// append adds an entry and returns its offset.
func (s *stream) append(now time.Time, data []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := s.first + int64(len(s.entries))
	s.entries = append(s.entries, storedEntry{now, port.Entry{Offset: offset, Data: data}})
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// nextOffset returns the offset of the next entry, and a channel that is closed when
// an entry gets it.
func (s *stream) nextOffset() (next int64, appended <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.first + int64(len(s.entries)), s.appended
}

// expire removes the entries that were appended before cutoff, the oldest entries
// over maxEntries, which is ignored if it is 0, and the entries with offsets below
// minOffset.
func (s *stream) expire(cutoff time.Time, maxEntries int, minOffset int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	removed := 0
	for removed < len(s.entries) && s.entries[removed].appendedAt.Before(cutoff) {
		removed++
	}
	if maxEntries > 0 {
		removed = max(removed, len(s.entries)-maxEntries)
	}
	removed = max(removed, int(min(minOffset-s.first, int64(len(s.entries)))))
	s.entries = s.entries[removed:]
	s.first += int64(removed)
}

// read returns at most count entries from an offset on. It returns none if the entry
// at that offset has been removed.
func (s *stream) read(from int64, count int) port.ReadResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := port.ReadResult{
		FirstOffset: s.first,
		NextOffset:  s.first + int64(len(s.entries)),
		Entries:     []port.Entry{},
	}
	if from < result.FirstOffset {
		return result
	}
	for offset := from; offset < result.NextOffset && len(result.Entries) < count; offset++ {
		result.Entries = append(result.Entries, s.entries[offset-s.first].entry)
	}
	return result
}
