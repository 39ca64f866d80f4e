package placement

import (
	"cmp"
	"container/heap"
	"strings"

	"github.com/tamarackcleat/tamarackcleat/port"
)

// candidates is a priority queue of the fabric domains that have room for one
// more replica of a model. Unless spread is set, forming a replica changes only
// the score of the domain in which it was formed, so each choice costs one heap
// operation.
type candidates struct {
	run   *planRun
	model port.Model
	heap  scoreHeap
	// spread says that the model had fewer than MinReplicas replicas when the
	// domains were scored, so that the next one should go into another domain
	// and availability zone. Every replica formed then changes the scores of
	// several domains, and all are scored again.
	spread bool
}

// score rates a domain. Scores are compared field by field in the order of
// declaration, and a lower value is better. A field stays 0 if the policy
// ignores it.
type score struct {
	domain *domainState
	// sameDomain and sameZone count the model's replicas in the domain and in
	// its availability zone. Both are 0 once the model has MinReplicas.
	sameDomain, sameZone int
	// toLoad is the number of members that would have to load the weights.
	toLoad int
	// replicas counts the model's replicas in the domain.
	replicas int
	// freeLeft is the number of VMs of the domain that would stay free.
	freeLeft int
}

func newCandidates(r *planRun, m port.Model) *candidates {
	c := &candidates{run: r, model: m}
	c.rebuild()
	return c
}

// rebuild scores every domain with free VMs.
func (c *candidates) rebuild() {
	c.spread = c.run.policy.SpreadOverDomains && c.run.countsOf(c.model.Name).live < MinReplicas
	c.heap = c.heap[:0]
	for _, d := range c.run.domainsWithFree {
		if s, ok := c.score(d); ok {
			c.heap = append(c.heap, s)
		}
	}
	heap.Init(&c.heap)
}

// bestMembers returns the members for a replica in the domain with the best
// score, or nil if no domain has room.
func (c *candidates) bestMembers() []*vmState {
	if len(c.heap) == 0 {
		return nil
	}
	return c.run.pickInDomain(c.heap[0].domain, c.model)
}

// rescore updates the scores after a replica was formed in d.
func (c *candidates) rescore(d *domainState) {
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

// score rates a domain. It returns false if the domain has no room for a
// replica besides the policy's reserve.
func (c *candidates) score(d *domainState) (score, bool) {
	p := c.run.policy
	size := c.model.VMsPerReplica
	held := min(d.freeHolders[c.model.Name], size)
	reserve := p.SparesPerDomain
	if held > 0 || c.run.countsOf(c.model.Name).live < MinReplicas {
		reserve = 0
	}
	left := len(d.free) - size
	if left < reserve {
		return score{}, false
	}
	s := score{domain: d}
	if c.spread {
		s.sameDomain = d.replicas[c.model.Name]
		s.sameZone = c.run.countsOf(c.model.Name).zones[d.zone]
	}
	if p.PreferWeightHolders {
		s.toLoad = size - held
	}
	if p.SpreadOverDomains {
		s.replicas = d.replicas[c.model.Name]
	}
	if p.BestFit {
		s.freeLeft = left
	}
	return s, true
}

// compare orders scores, the best first. Equal scores are ordered by the name
// of the domain, so that plans are deterministic.
func (s score) compare(o score) int {
	return cmp.Or(
		cmp.Compare(s.sameDomain, o.sameDomain),
		cmp.Compare(s.sameZone, o.sameZone),
		cmp.Compare(s.toLoad, o.toLoad),
		cmp.Compare(s.replicas, o.replicas),
		cmp.Compare(s.freeLeft, o.freeLeft),
		strings.Compare(s.domain.name, o.domain.name),
	)
}

// scoreHeap implements heap.Interface with the best score at the root.
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
