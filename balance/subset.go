package balance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Subset returns at most size of the upstream ids, sorted: those that the node
// uses. It ranks the ids by rendezvous hashing with the node's id. If one upstream
// is added or removed, at most one id of the subset changes. Different nodes get
// different subsets, which spreads the nodes over the upstreams.
func Subset(node string, ids []string, size int) []string {
	if len(ids) <= size {
		all := slices.Clone(ids)
		slices.Sort(all)
		return all
	}
	type ranked struct {
		id    string
		score uint64
	}
	ranks := make([]ranked, len(ids))
	buf := append([]byte(node), 0)
	prefix := len(buf)
	for i, id := range ids {
		buf = append(buf[:prefix], id...)
		ranks[i] = ranked{id: id, score: xxhash.Sum64(buf)}
	}
	slices.SortFunc(ranks, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	subset := make([]string, size)
	for i := range subset {
		subset[i] = ranks[i].id
	}
	slices.Sort(subset)
	return subset
}
