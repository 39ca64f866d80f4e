// Package watch divides the probing of upstream VMs among the entry nodes.
//
// Every node computes the same division from the same lists: nodes and groups
// of VMs are placed on a ring by hash, and each node watches the groups in one
// window of the ring. A node routes only to the replicas that it watches, so
// its cost depends on the size of the window and not on the number of VMs. While
// the nodes' lists differ, a group briefly has more or fewer watchers. That costs
// additional probes or leaves fewer replicas to choose from, but routing stays
// correct, because each node relies on its own probes only.
package watch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// Watchers is the minimum number of nodes that watch each group, if there
	// are as many nodes.
	MinWatchers = 2
	// MinGroups is the minimum number of groups of each pool that a node
	// watches, if the pool has as many.
	MinGroups = 5
)

// Group is a set of VMs that are watched together.
type Group struct {
	// ID is the replica's name or the VM's id.
	ID string
	// Pool names the pool that the group belongs to; the groups of each pool
	// are divided among the nodes separately.
	Pool string
}

// ringItem is a node or group at its position on the ring.
type ringItem struct {
	id   string
	hash uint64
}

// ring returns the ids with their hashes, sorted by hash.
func ring(ids []string) []ringItem {
	out := make([]ringItem, 0, len(ids))
	for _, id := range ids {
		out = append(out, ringItem{id: id, hash: xxhash.Sum64String(id)})
	}
	slices.SortFunc(out, func(a, b ringItem) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
	})
	return out
}

// Assign returns the ids of the groups that the node self watches. nodes holds all
// live nodes; self counts as live whether or not it is in nodes.
func Assign(self string, nodes []string, groups []Group) map[string]bool {
	index, count := ringIndex(self, nodes)
	pools := map[string][]string{}
	for _, g := range groups {
		pools[g.Pool] = append(pools[g.Pool], g.ID)
	}
	out := map[string]bool{}
	for _, ids := range pools {
		addWindow(out, ring(ids), index, count)
	}
	return out
}

// ringIndex returns the index of the node self on the ring of nodes, and the number
// of nodes on the ring.
func ringIndex(self string, nodes []string) (index, count int) {
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

// addWindow adds to out the groups in the window of the node with the given index.
// The window ends where the window of the node Watchers positions further begins,
// so every group gets Watchers watchers. In small pools the window is extended to
// MinGroups, so groups get more watchers.
func addWindow(out map[string]bool, groups []ringItem, index, count int) {
	start := index * len(groups) / count
	end := (index + MinWatchers) * len(groups) / count
	size := min(max(MinGroups, end-start), len(groups))
	for i := range size {
		out[groups[(start+i)%len(groups)].id] = true
	}
}
