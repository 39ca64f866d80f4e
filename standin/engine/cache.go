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
	// maxCacheEvents bounds the events that are kept for readers.
	maxCacheEvents = 4096
	// bytesPerToken relates prompt bytes to prompt tokens.
	bytesPerToken = 4
)

// cache remembers prompt prefixes in limited memory and publishes what it
// caches and drops, late and with gaps.
type cache struct {
	mu       sync.Mutex
	limit    int
	lag      time.Duration
	prefixes *simplelru.LRU[uint64, struct{}]
	seq      int64
	events   []delayedEvent
	dropped  []uint64
}

// delayedEvent is a cache event with the time at which it is published.
type delayedEvent struct {
	at    time.Time
	event port.CacheEvent
}

func newCache(limit int, lag time.Duration) *cache {
	c := &cache{limit: max(1, limit), lag: lag}
	c.reset()
	return c
}

// reset empties the cache and its events, as a new boot does.
func (c *cache) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	onEvict := func(hash uint64, _ struct{}) { c.dropped = append(c.dropped, hash) }
	c.prefixes, _ = simplelru.NewLRU(c.limit, onEvict)
	c.seq = 0
	c.events = nil
}

// use caches the prefixes of a prompt and returns the number of its blocks
// that were cached before and the number of all its blocks.
func (c *cache) use(now time.Time, prompt string, loseEvery int) (cached, blocks int) {
	hashes := port.PrefixHashes(prompt)
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, hash := range hashes {
		if _, ok := c.prefixes.Get(hash); ok {
			cached = max(cached, len(hashes)-i)
			continue
		}
		c.dropped = c.dropped[:0]
		c.prefixes.Add(hash, struct{}{})
		c.publish(now, port.CacheEvent{PrefixHash: hash}, loseEvery)
		for _, old := range c.dropped {
			c.publish(now, port.CacheEvent{PrefixHash: old, Dropped: true}, loseEvery)
		}
	}
	return cached, len(hashes)
}

// publish queues an event unless it is one that gets lost.
func (c *cache) publish(now time.Time, e port.CacheEvent, loseEvery int) {
	c.seq++
	e.Seq = c.seq
	if hits(c.seq, loseEvery) {
		return
	}
	c.events = append(c.events, delayedEvent{now.Add(c.lag), e})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// after returns the published events with a higher sequence number.
func (c *cache) after(now time.Time, seq int64) []port.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []port.CacheEvent{}
	for _, d := range c.events {
		if d.event.Seq > seq && !d.at.After(now) {
			out = append(out, d.event)
		}
	}
	return out
}

func (s *Service) cacheEvents(w http.ResponseWriter, r *http.Request) {
	seq, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a sequence number", http.StatusBadRequest)
		return
	}
	events := s.cache.after(s.settings.Clock(), seq)
	s.mu.Lock()
	boot := s.boot
	s.mu.Unlock()
	web.WriteJSON(w, http.StatusOK, port.CacheEvents{Boot: boot, Events: events})
}
