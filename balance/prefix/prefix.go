// Package prefix is an index of which upstreams hold which prompt prefixes in
// their caches. The index is approximate: cache events come late, and some may be
// missing.
package prefix

import (
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/tamarackcleat/tamarackcleat/port"
)

// MaxPerUpstream is the maximum number of prefixes kept per upstream. Beyond it,
// the least recently used one is dropped.
const MaxPerUpstream = 1024

// Index maps prefix hashes to the upstreams that hold the prefixes. It is not safe
// for concurrent use.
type Index struct {
	// holders maps a prefix hash to the sorted ids of the upstreams.
	holders   map[uint64][]string
	upstreams map[string]*cacheContents
}

// cacheContents holds the prefixes that one upstream is known to have cached.
type cacheContents struct {
	// boot identifies the run of the upstream's process that the events come
	// from.
	boot string
	// seq is the sequence number of the last event applied.
	seq    int64
	hashes *simplelru.LRU[uint64, struct{}]
}

// NewIndex returns an empty Index.
func NewIndex() *Index {
	return &Index{holders: map[uint64][]string{}, upstreams: map[string]*cacheContents{}}
}

// Holders returns the sorted ids of the upstreams that hold a prefix. The caller
// must not modify the slice.
func (x *Index) Holders(hash uint64) []string { return x.holders[hash] }

// Add records that an upstream holds a prefix, or marks the prefix as recently
// used if that is known already.
func (x *Index) Add(id string, hash uint64) {
	c := x.getOrCreate(id)
	if c.hashes.Contains(hash) {
		c.hashes.Get(hash)
		return
	}
	c.hashes.Add(hash, struct{}{})
	ids := x.holders[hash]
	i, _ := slices.BinarySearch(ids, id)
	x.holders[hash] = slices.Insert(ids, i, id)
}

// Drop records that an upstream no longer holds a prefix.
func (x *Index) Remove(id string, hash uint64) { x.getOrCreate(id).hashes.Remove(hash) }

// Forget removes an upstream and all its prefixes.
func (x *Index) RemoveUpstream(id string) {
	x.clear(id)
	delete(x.upstreams, id)
}

// Apply applies cache events of an upstream. Events that were applied before are
// skipped. If the boot changes, or if there is a gap in the sequence numbers, all
// prefixes of the upstream are cleared first: a lost event may have been the
// eviction of any of them. Apply reports whether there was a gap.
func (x *Index) Apply(id, boot string, events []port.CacheEvent) (gap bool) {
	c := x.getOrCreate(id)
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
			x.Remove(id, e.PrefixHash)
		} else {
			x.Add(id, e.PrefixHash)
		}
	}
	return gap
}

// clear removes all prefixes of an upstream.
func (x *Index) clear(id string) {
	if c, ok := x.upstreams[id]; ok {
		c.hashes.Purge()
	}
}

// getOrCreate returns the contents of an upstream's cache, empty ones for an
// unknown upstream.
func (x *Index) getOrCreate(id string) *cacheContents {
	if c, ok := x.upstreams[id]; ok {
		return c
	}
	onEvict := func(hash uint64, _ struct{}) { x.removeHolder(hash, id) }
	hashes, err := simplelru.NewLRU(MaxPerUpstream, onEvict)
	if err != nil {
		panic(err) // NewLRU fails only if the size is below 1
	}
	c := &cacheContents{hashes: hashes}
	x.upstreams[id] = c
	return c
}

// removeHolder removes an upstream from the holders of a prefix.
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
