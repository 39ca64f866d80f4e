package placement

import (
	"cmp"
	"container/heap"
	"strings"

	"github.com/tamarackcleat/tamarackcleat/port"
)

// candidates orders the domains that can host one more replica of a model. The
// order of a domain changes only when a replica is formed in it, so the choice
// among many domains costs a step in a heap.
type candidates struct {
	run   *run
	model port.Model
	heap  scoreHeap
	// spread says that the first replicas of the model are still to be put
	// into different domains and zones.
	spread bool
}

// score orders domains; lower is better, field by field.
type score struct {
	domain *domainNode
	// sameDomain and sameZone count replicas of the model nearby while the
	// model has fewer than MinReplicas.
	sameDomain, sameZone int
	// toLoad is the number of members that must load weights.
	toLoad int
	// replicas counts replicas of the model in the domain.
	replicas int
	// left is the number of VMs left free.
	left int
}

func newCandidates(r *run, m port.Model) *candidates {
	c := &candidates{run: r, model: m}
	c.rebuild()
	return c
}

// rebuild scores every domain.
func (c *candidates) rebuild() {
	c.spread = c.run.policy.Spread && c.run.tally(c.model.Name).live < MinReplicas
	c.heap = c.heap[:0]
	for _, d := range c.run.withFree {
		if s, ok := c.score(d); ok {
			c.heap = append(c.heap, s)
		}
	}
	heap.Init(&c.heap)
}

// best returns the members in the best domain, nil if no domain has room.
func (c *candidates) best() []*vmNode {
	if len(c.heap) == 0 {
		return nil
	}
	return c.run.pick(c.heap[0].domain, c.model)
}

// update scores the domains again after a replica was formed in d.
func (c *candidates) update(d *domainNode) {
	if c.spread || len(c.heap) == 0 || c.heap[0].domain != d {
		c.rebuild()
		return
	}
	s, ok := c.score(d)
	if !ok {
		heap.Pop(&c.heap)
		return
	}
	c.heap[0] = s
	heap.Fix(&c.heap, 0)
}

// score rates a domain; false if it has no room.
func (c *candidates) score(d *domainNode) (score, bool) {
	p := c.run.policy
	size := c.model.VMsPerReplica
	held := min(d.holders[c.model.Name], size)
	reserve := p.SparesPerDomain
	if held > 0 || c.run.tally(c.model.Name).live < MinReplicas {
		reserve = 0
	}
	left := len(d.free) - size
	if left < reserve {
		return score{}, false
	}
	s := score{domain: d}
	if c.spread {
		s.sameDomain = d.replicas[c.model.Name]
		s.sameZone = c.run.tally(c.model.Name).zones[d.zone]
	}
	if p.HoldersFirst {
		s.toLoad = size - held
	}
	if p.Spread {
		s.replicas = d.replicas[c.model.Name]
	}
	if p.BestFit {
		s.left = left
	}
	return s, true
}

// compare orders scores; the domain's name makes the order total.
func (s score) compare(o score) int {
	return cmp.Or(
		cmp.Compare(s.sameDomain, o.sameDomain),
		cmp.Compare(s.sameZone, o.sameZone),
		cmp.Compare(s.toLoad, o.toLoad),
		cmp.Compare(s.replicas, o.replicas),
		cmp.Compare(s.left, o.left),
		strings.Compare(s.domain.name, o.domain.name),
	)
}

// scoreHeap is a heap of scores, the best first.
type scoreHeap []score

func (h scoreHeap) Len() int           { return len(h) }
func (h scoreHeap) Less(i, j int) bool { return h[i].compare(h[j]) < 0 }
func (h scoreHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *scoreHeap) Push(x any) { *h = append(*h, x.(score)) }

// Pop implements heap.Interface.
func (h *scoreHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
