package engine

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/standin/web"
)

const (
	// maxCacheEvents bounds the events that are kept for readers; the oldest
	// are dropped first.
	maxCacheEvents = 4096
	// bytesPerToken converts a length of prompt text from bytes to tokens.
	bytesPerToken = 4
)

// cache is an LRU cache of prompt prefixes. It publishes an event for each
// prefix that it adds or drops, after a lag. A fault switch can lose events, so
// that their sequence numbers have gaps.
type cache struct {
	mu       sync.Mutex
	limit    int
	lag      time.Duration
	prefixes *simplelru.LRU[uint64, struct{}]
	seq      int64
	events   []delayedEvent
	evicted  []uint64
}

// delayedEvent is a cache event with the time from which on readers get it.
type delayedEvent struct {
	publishAt time.Time
	event     port.CacheEvent
}

func newCache(limit int, lag time.Duration) *cache {
	c := &cache{limit: max(1, limit), lag: lag}
	c.reset()
	return c
}

// reset removes all prefixes and events, as a restart of the VM does.
func (c *cache) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	onEvict := func(hash uint64, _ struct{}) { c.evicted = append(c.evicted, hash) }
	c.prefixes, _ = simplelru.NewLRU(c.limit, onEvict)
	c.seq = 0
	c.events = nil
}

// lookupAndAdd caches the prefixes of a prompt. It returns the number of the
// prompt's blocks that were cached before and the number of all its blocks. If
// loseEvery is over 0, every loseEvery-th event is lost.
func (c *cache) lookupAndAdd(now time.Time, prompt string, loseEvery int) (cached, blocks int) {
	hashes := port.PrefixHashes(prompt)
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, hash := range hashes {
		if _, ok := c.prefixes.Get(hash); ok {
			cached = max(cached, len(hashes)-i)
			continue
		}
		c.evicted = c.evicted[:0]
		c.prefixes.Add(hash, struct{}{})
		c.queueEvent(now, port.CacheEvent{PrefixHash: hash}, loseEvery)
		for _, evicted := range c.evicted {
			c.queueEvent(now, port.CacheEvent{PrefixHash: evicted, Dropped: true}, loseEvery)
		}
	}
	return cached, len(hashes)
}

// queueEvent gives an event the next sequence number and queues it for publication.
// If loseEvery is over 0, it doesn't queue every loseEvery-th event.
func (c *cache) queueEvent(now time.Time, e port.CacheEvent, loseEvery int) {
	c.seq++
	e.Seq = c.seq
	if isEveryNth(c.seq, loseEvery) {
		return
	}
	c.events = append(c.events, delayedEvent{now.Add(c.lag), e})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// eventsAfter returns the events published by now that have a sequence number
// higher than seq.
func (c *cache) eventsAfter(now time.Time, seq int64) []port.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []port.CacheEvent{}
	for _, d := range c.events {
		if d.event.Seq > seq && !d.publishAt.After(now) {
			out = append(out, d.event)
		}
	}
	return out
}

func (s *Service) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	seq, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a sequence number", http.StatusBadRequest)
		return
	}
	events := s.cache.eventsAfter(s.settings.Clock(), seq)
	s.mu.Lock()
	boot := s.boot
	s.mu.Unlock()
	web.WriteJSON(w, http.StatusOK, port.CacheEvents{Boot: boot, Events: events})
}
