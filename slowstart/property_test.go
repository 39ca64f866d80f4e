package slowstart

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/quorum"
)

const (
	simulatedStep  = 20 * time.Millisecond
	simulatedTime  = 40 * time.Second
	coldTime       = 3 * time.Second
	heartbeat      = 1200 * time.Millisecond
	heardTimeout   = 1500 * time.Millisecond
	maxWayToServer = 250 * time.Millisecond
)

// registration is a record of the list of nodes in the log.
type registration struct {
	name, process string
	at            time.Duration
}

// coldReport is what an upstream wrote into the log of its remaining cold time.
type coldReport struct {
	at, remaining time.Duration
	upstream      fleet.Incarnation
}

// simulatedNode is a node with a copy of the log that is complete up to copied. Reports reach
// it late by lag.
type simulatedNode struct {
	name, process  string
	up             bool
	limiter        *Limiter
	marks          Marks
	copied, lag    time.Duration
	records, taken int
	heard          map[string]time.Duration
}

// simulation is a deployment whose nodes send to cold upstreams whatever they may.
type simulation struct {
	rng           *rand.Rand
	now           time.Duration
	nodes         []*simulatedNode
	registrations []registration
	reports       []coldReport
	coldUntil     map[fleet.Incarnation]time.Duration
	// side holds the side of a partition by node, logSide the side that reaches the log;
	// -1 for none. deaf holds pairs of nodes of which the first does not hear the second.
	side    map[string]int
	logSide int
	deaf    map[[2]string]bool
	bound   float64
	// sent and arrived hold the times of requests to cold upstreams.
	sent, arrived map[fleet.Incarnation][]time.Duration
}

func (s *simulation) start(n *simulatedNode) {
	n.process, n.up = fmt.Sprintf("%s/%d", n.name, s.now), true
	n.limiter, n.marks, n.heard = New(n.name, &quorum.Quorum{}), Marks{}, map[string]time.Duration{}
	n.copied, n.records, n.taken = -time.Hour, 0, 0
	n.lag = time.Duration(s.rng.Int64N(int64(1300 * time.Millisecond)))
	if s.side[n.name] == s.logSide {
		s.registrations = append(s.registrations, registration{n.name, n.process, s.now})
	}
}

// disturb changes the network, restarts or adds nodes, or makes an upstream start.
func (s *simulation) disturb() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	switch s.rng.IntN(8) {
	case 0:
		sides := 1 + s.rng.IntN(3)
		s.logSide = s.rng.IntN(sides+1) - 1
		for _, n := range s.nodes {
			s.side[n.name] = s.rng.IntN(sides)
		}
	case 1:
		s.side, s.logSide, s.deaf = map[string]int{}, 0, map[[2]string]bool{}
	case 2:
		for range 3 * len(s.nodes) {
			s.deaf[[2]string{n.name, s.nodes[s.rng.IntN(len(s.nodes))].name}] = true
		}
	case 3:
		if n.up = !n.up; n.up {
			s.start(n)
		}
	case 4:
		added := &simulatedNode{name: fmt.Sprintf("n%d", len(s.nodes))}
		s.nodes = append(s.nodes, added)
		s.start(added)
	default:
		u := fleet.Incarnation{ID: fmt.Sprint(s.rng.IntN(3)), Boot: int64(s.now)}
		s.coldUntil[u] = s.now + coldTime
		for at := time.Duration(0); at < coldTime; at += heartbeat {
			s.reports = append(s.reports, coldReport{s.now + at, coldTime - at, u})
		}
	}
}

// advance brings a node's copy of the log and its view of the others up to date.
func (s *simulation) advance(n *simulatedNode) {
	if s.side[n.name] == s.logSide {
		n.copied = max(n.copied, s.now-n.lag)
	}
	for ; n.records < len(s.registrations) && s.registrations[n.records].at <= n.copied; n.records++ {
		if r := s.registrations[n.records]; r.process == n.process {
			n.limiter.Join(s.now)
		} else {
			n.limiter.Register(r.name, r.process)
		}
	}
	for n.taken < len(s.reports) && s.reports[n.taken].at <= n.copied-700*time.Millisecond {
		r := s.reports[n.taken]
		n.marks.Record(s.now, r.upstream, r.remaining)
		n.taken++
	}
	seen := 1
	for _, o := range s.nodes {
		if o != n && o.up && s.side[o.name] == s.side[n.name] && !s.deaf[[2]string{n.name, o.name}] {
			n.heard[o.name] = s.now
		}
		if at, heard := n.heard[o.name]; heard && s.now-at < heardTimeout {
			seen++
		}
	}
	n.limiter.Observe(s.now, seen, s.now-n.copied < ProofAge)
}

// send makes a node send to each upstream as much as it may. One that it counts as warm is
// sent one request in each step.
func (s *simulation) send(n *simulatedNode) {
	for u, until := range n.marks {
		for sent := 0; sent < 40; sent++ {
			if s.now < until && !n.limiter.Take(s.now, u, s.bound) || s.now >= until && sent == 1 {
				break
			}
			if s.now < s.coldUntil[u] {
				s.sent[u] = append(s.sent[u], s.now)
				s.arrived[u] = append(s.arrived[u], s.now+time.Duration(s.rng.Int64N(int64(maxWayToServer))))
			}
		}
	}
}

// most returns the highest number of times within any span of a length.
func most(times []time.Duration, length time.Duration) int {
	slices.Sort(times)
	highest, first := 0, 0
	for i, at := range times {
		for times[first] <= at-length {
			first++
		}
		highest = max(highest, i+1-first)
	}
	return highest
}

// Guards against a cold upstream that gets more than the bound: nodes differ in what they
// know of each other, are cut off from each other or from the log, restart, join, and learn
// late of the upstream.
var _ = It("All nodes together send no more than the bound to one cold upstream in any second", func() {
	requests, highest := 0, 0.0
	for seed := range uint64(400) {
		s := &simulation{rng: rand.New(rand.NewPCG(seed, 7)), now: time.Hour, coldUntil: map[fleet.Incarnation]time.Duration{},
			side: map[string]int{}, deaf: map[[2]string]bool{}, sent: map[fleet.Incarnation][]time.Duration{}, arrived: map[fleet.Incarnation][]time.Duration{}}
		s.bound = Bound(s.rng.Float64()*20, 1+s.rng.Float64(), s.rng.Float64()*6)
		for i := range 1 + s.rng.IntN(24) {
			s.nodes = append(s.nodes, &simulatedNode{name: fmt.Sprintf("n%d", i)})
			s.start(s.nodes[i])
		}
		for end := s.now + simulatedTime; s.now < end; s.now += simulatedStep {
			if s.rng.IntN(50) == 0 {
				s.disturb()
			}
			for _, n := range s.nodes {
				if n.up {
					s.advance(n)
					s.send(n)
				}
			}
		}
		for u := range s.coldUntil {
			arrived := most(s.arrived[u], time.Second)
			Expect(float64(arrived)).To(BeNumerically("<=", s.bound), "seed %d, upstream %v", seed, u)
			Expect(float64(most(s.sent[u], Window))).To(BeNumerically("<=", max(1, s.bound/2)), "seed %d, upstream %v", seed, u)
			requests += arrived
			highest = max(highest, float64(arrived)/s.bound)
		}
	}
	AddReportEntry("requests", fmt.Sprintf("%d in the highest seconds, at most %.2f of a bound", requests, highest))
	Expect(requests).To(BeNumerically(">", 1000))
})
