// Package watch divides the probing of upstream VMs among the entry nodes.
//
// Every node computes the same division from the same lists: nodes and groups
// of VMs are placed on a ring by hash, and each node watches the groups of one
// window of the ring. A node routes only to the replicas that it watches, so
// its cost depends on the window and not on the fleet. While the nodes' lists
// differ, a group has more or fewer watchers for a moment; that costs probes
// or choice, never correctness, because each node judges by its own probes.
package watch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// Watchers is the least number of nodes that watch each group.
	Watchers = 2
	// MinGroups is the least number of groups of a pool that a node watches,
	// if the pool has as many.
	MinGroups = 5
)

// Group is a set of VMs that are watched together.
type Group struct {
	// ID is the replica's name or the VM's id.
	ID string
	// Pool is what the group serves; each pool is divided on its own.
	Pool string
}

// placed is an item at its place on the ring.
type placed struct {
	id   string
	hash uint64
}

// ring sorts items by hash.
func ring(ids []string) []placed {
	out := make([]placed, 0, len(ids))
	for _, id := range ids {
		out = append(out, placed{id: id, hash: xxhash.Sum64String(id)})
	}
	slices.SortFunc(out, func(a, b placed) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
	})
	return out
}

// Assign returns the ids of the groups that a node watches. nodes holds all
// live nodes; the node itself counts whether or not it is among them.
func Assign(self string, nodes []string, groups []Group) map[string]bool {
	index, count := place(self, nodes)
	pools := map[string][]string{}
	for _, g := range groups {
		pools[g.Pool] = append(pools[g.Pool], g.ID)
	}
	out := map[string]bool{}
	for _, ids := range pools {
		window(out, ring(ids), index, count)
	}
	return out
}

// place returns the node's index on the ring of nodes and their number.
func place(self string, nodes []string) (index, count int) {
	all := nodes
	if !slices.Contains(nodes, self) {
		all = append(slices.Clone(nodes), self)
	}
	sorted := ring(all)
	for i, n := range sorted {
		if n.id == self {
			return i, len(sorted)
		}
	}
	return 0, max(1, len(sorted))
}

// window adds the groups of a node's window. Each window reaches to the start of
// the window of the node that is Watchers places further on, so that every group
// has Watchers, and more where a pool is small.
func window(out map[string]bool, groups []placed, index, count int) {
	start := index * len(groups) / count
	end := (index + Watchers) * len(groups) / count
	size := min(max(MinGroups, end-start), len(groups))
	for i := range size {
		out[groups[(start+i)%len(groups)].id] = true
	}
}
