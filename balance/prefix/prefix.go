// Package prefix remembers which upstreams hold which prompt prefixes in their
// caches. Its content is a hint: cache events come late and with gaps.
package prefix

import (
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/tamarackcleat/tamarackcleat/port"
)

// MaxPerUpstream bounds the prefixes remembered of one upstream.
const MaxPerUpstream = 1024

// Index maps prefix hashes to the upstreams that hold them.
type Index struct {
	holders   map[uint64][]string
	upstreams map[string]*contents
}

// contents is what one upstream holds.
type contents struct {
	boot   string
	seq    int64
	hashes *simplelru.LRU[uint64, struct{}]
}

// NewIndex returns an empty Index.
func NewIndex() *Index {
	return &Index{holders: map[uint64][]string{}, upstreams: map[string]*contents{}}
}

// Holders returns the upstreams that hold a prefix, sorted. The caller must not
// change the slice.
func (x *Index) Holders(hash uint64) []string { return x.holders[hash] }

// Add notes that an upstream holds a prefix.
func (x *Index) Add(id string, hash uint64) {
	c := x.of(id)
	if c.hashes.Contains(hash) {
		c.hashes.Get(hash)
		return
	}
	c.hashes.Add(hash, struct{}{})
	ids := x.holders[hash]
	i, _ := slices.BinarySearch(ids, id)
	x.holders[hash] = slices.Insert(ids, i, id)
}

// Drop notes that an upstream no longer holds a prefix.
func (x *Index) Drop(id string, hash uint64) { x.of(id).hashes.Remove(hash) }

// Forget removes an upstream.
func (x *Index) Forget(id string) {
	x.clear(id)
	delete(x.upstreams, id)
}

// Apply takes an upstream's cache events. Another boot, or a gap in the
// sequence, clears what is known of the upstream: a lost event may have been
// the eviction of any of it. Apply reports whether there was a gap.
func (x *Index) Apply(id, boot string, events []port.CacheEvent) (gap bool) {
	c := x.of(id)
	if c.boot != boot {
		if c.boot != "" {
			x.clear(id)
		}
		c.boot, c.seq = boot, 0
	}
	for _, e := range events {
		if e.Seq <= c.seq {
			continue
		}
		if e.Seq != c.seq+1 {
			gap = true
			x.clear(id)
		}
		c.seq = e.Seq
		if e.Dropped {
			x.Drop(id, e.PrefixHash)
		} else {
			x.Add(id, e.PrefixHash)
		}
	}
	return gap
}

func (x *Index) clear(id string) {
	if c, ok := x.upstreams[id]; ok {
		c.hashes.Purge()
	}
}

func (x *Index) of(id string) *contents {
	if c, ok := x.upstreams[id]; ok {
		return c
	}
	onEvict := func(hash uint64, _ struct{}) { x.removeHolder(hash, id) }
	hashes, err := simplelru.NewLRU(MaxPerUpstream, onEvict)
	if err != nil {
		panic(err) // only for a size below one
	}
	c := &contents{hashes: hashes}
	x.upstreams[id] = c
	return c
}

func (x *Index) removeHolder(hash uint64, id string) {
	ids := x.holders[hash]
	i, found := slices.BinarySearch(ids, id)
	if !found {
		return
	}
	if ids = slices.Delete(ids, i, i+1); len(ids) == 0 {
		delete(x.holders, hash)
		return
	}
	x.holders[hash] = ids
}
