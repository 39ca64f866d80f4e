// Package router selects an upstream for each request. It is the kernel
// service "router".
package router

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/tamarackcleat/tamarackcleat/balance"
	"github.com/tamarackcleat/tamarackcleat/balance/prefix"
	"github.com/tamarackcleat/tamarackcleat/balance/twochoice"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/outlier"
)

// Name is the name of the service.
const Name = "router"

const (
	// DefaultSubsetSize bounds the upstreams of a pool that a node uses.
	DefaultSubsetSize = 96
	// probationRequests bounds the requests in flight on an upstream that
	// returns from ejection.
	probationRequests = 1
	// usableShare is the part of an upstream's slots that admission fills.
	usableShare = 0.9
	// noReplicaRetry advises callers while a pool has no upstream.
	noReplicaRetry = 2 * time.Second
)

// Config configures a Service.
type Config struct {
	// Node is the entry VM's id and Zone its availability zone.
	Node, Zone string
	// Rand is the seeded source of random choices.
	Rand *rand.Rand
	// Strategy selects upstreams; nil stands for two random choices.
	Strategy balance.Strategy
	// SubsetSize bounds the upstreams used per pool; 0 stands for
	// DefaultSubsetSize.
	SubsetSize int
	// KeepStragglers turns the ejection of stragglers off.
	KeepStragglers bool
	// Metrics takes the counters; nil stands for a registry of its own.
	Metrics metrics.Registry
}

// Service is the kernel service "router".
type Service struct {
	config    Config
	nodes     int
	pools     map[string]*pool
	upstreams map[string]*upstream
	prefixes  *prefix.Index
	// works holds what was learned per class.
	works map[string]*workEstimate
}

// pool is the upstreams of one model or service that this node uses.
type pool struct {
	members  []*upstream
	outliers *outlier.Detector
	// size counts the pool's upstreams, used by this node or not.
	size int
	// scratch is reused for the candidates of each Pick.
	scratch []*balance.Candidate
}

// New returns a Service without upstreams.
func New(c Config) *Service {
	if c.Strategy == nil {
		c.Strategy = twochoice.New(c.Rand)
	}
	if c.SubsetSize == 0 {
		c.SubsetSize = DefaultSubsetSize
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return &Service{
		config:    c,
		nodes:     1,
		pools:     map[string]*pool{},
		upstreams: map[string]*upstream{},
		prefixes:  prefix.NewIndex(),
		works:     map[string]*workEstimate{},
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Handle implements kernel.Service.
func (s *Service) Handle(now time.Time, msg kernel.Message) []kernel.Effect {
	switch m := msg.(type) {
	case UpstreamsChanged:
		s.replaceUpstreams(m)
	case Renewed:
		s.renew(m)
	case NodesChanged:
		s.nodes = m.Nodes
		s.updateSharers()
	case LoadReported:
		if u, ok := s.upstreams[m.ID]; ok {
			u.reported(m)
		}
	case Pick:
		return []kernel.Effect{kernel.Reply{ID: m.Ask, Msg: s.pick(now, m)}}
	case Progressed:
		s.progressed(now, m)
	case Finished:
		s.finished(now, m)
	case CacheEvents:
		s.cacheEvents(m)
	}
	return nil
}

// Available reports whether a pool has an upstream.
func (s *Service) Available(pool string) bool {
	_, ok := s.pools[pool]
	return ok
}

// FreeSlots estimates the slots of a pool that no request occupies, over the
// upstreams that this node uses.
func (s *Service) FreeSlots(pool string) int {
	free := 0
	if p, ok := s.pools[pool]; ok {
		for _, u := range p.members {
			free += max(0, u.candidate.Slots-u.candidate.Load)
		}
	}
	return free
}

// Share returns how many requests of a pool this node may run at a time, for
// admission.
//
// The node has an equal part of the slots of upstreams in service, less a
// reserve that keeps a free slot in reach of two random choices. It may go
// beyond that by its part of the slots that are free, so that a node with more
// callers than the others uses what they leave.
func (s *Service) Share(now time.Time, pool string) int {
	p, ok := s.pools[pool]
	if !ok {
		return 0
	}
	slots, load, own := 0, 0, 0
	for _, u := range p.members {
		own += u.candidate.InFlight
		if !s.config.KeepStragglers && p.outliers.State(u.candidate.ID, now) != outlier.Healthy {
			continue
		}
		slots += u.candidate.Slots
		load += u.candidate.Load
	}
	usable := usableShare * float64(slots)
	sharers := s.sharers(p)
	equal := int(math.Ceil(usable / sharers))
	beyond := own + int(math.Floor((usable-float64(load))/sharers))
	return max(1, equal, beyond)
}

// count adds one to a counter of the service.
func (s *Service) count(name string) {
	metrics.GetOrRegisterCounter("router."+name, s.config.Metrics).Inc(1)
}
