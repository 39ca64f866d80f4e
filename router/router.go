// Package router selects an upstream for each request. It is the kernel
// service "router".
//
// The service estimates the load of the upstreams from their reports and the
// node's own requests, keeps an index of the prompt prefixes in their caches,
// leaves out stragglers, and computes the node's share of a pool for admission.
// It never picks an upstream whose eligibility has expired, that has said it is leaving,
// or that has asked for a pause which has not passed by the monotonic clock. While all
// upstreams that could take a request pause, the request waits in order of arrival if
// it has the time, and is refused at once otherwise.
package router

import (
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/tamarackcleat/tamarackcleat/balance"
	"github.com/tamarackcleat/tamarackcleat/balance/prefix"
	"github.com/tamarackcleat/tamarackcleat/balance/twochoice"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/notice"
	"github.com/tamarackcleat/tamarackcleat/outlier"
	"github.com/tamarackcleat/tamarackcleat/port"
)

// Name is the name of the service.
const Name = "router"

const (
	// DefaultSubsetSize is the maximum number of upstreams of a pool that a
	// node uses unless Config.SubsetSize says otherwise.
	DefaultSubsetSize = 96
	// probationRequests is the maximum number of this node's requests in
	// flight on an upstream that is on probation after an ejection.
	probationRequests = 1
	// usableShare is the fraction of the slots that admission may fill.
	usableShare = 0.9
	// noReplicaRetryAfter is the retry delay advised to callers while a pool
	// has no upstream that may be picked.
	noReplicaRetryAfter = 2 * time.Second
)

// Config configures a Service.
type Config struct {
	// Node is the entry VM's id and Zone its availability zone.
	Node, Zone string
	// Rand is the seeded random source of the default strategy.
	Rand *rand.Rand
	// Strategy selects upstreams; nil means twochoice.Strategy.
	Strategy balance.Strategy
	// SubsetSize is the maximum number of upstreams used per pool; 0 means
	// DefaultSubsetSize.
	SubsetSize int
	// DisableEjection turns the ejection of stragglers off.
	DisableEjection bool
	// Metrics is the registry for the counters; nil means a new registry.
	Metrics metrics.Registry
	// Logger logs what upstreams say of themselves. If it is nil, New creates one that
	// discards it.
	Logger *slog.Logger
}

// Service is the kernel service "router".
type Service struct {
	config Config
	// nodes is the number of live entry VMs, this one included.
	nodes     int
	pools     map[string]*pool
	upstreams map[string]*upstream
	prefixes  *prefix.Index
	// estimates holds the work estimates by class.
	estimates map[string]*workEstimate
	// pauses holds the pauses that processes of upstreams asked this node for.
	pauses *notice.Pauses[port.Incarnation]
	// waiting holds the requests that wait for the end of a pause, in order of
	// arrival, and wakeAt is when the next waitTick is due; zero if none is.
	waiting []waitingPick
	wakeAt  time.Time
}

// pool holds the upstreams of one model or plain service that this node uses.
type pool struct {
	// members is ordered by id.
	members  []*upstream
	outliers *outlier.Detector
	// totalSize is the number of all upstreams of the pool, including those
	// that are not in this node's subset.
	totalSize int
	// scratch is the buffer for the candidates of a Pick message, reused to
	// avoid an allocation per message.
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
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	return &Service{
		config:    c,
		nodes:     1,
		pools:     map[string]*pool{},
		upstreams: map[string]*upstream{},
		prefixes:  prefix.NewIndex(),
		estimates: map[string]*workEstimate{},
		pauses:    notice.NewPauses[port.Incarnation](),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Handle implements kernel.Service.
func (s *Service) Handle(now time.Time, msg kernel.Message) []kernel.Effect {
	switch m := msg.(type) {
	case UpstreamsChanged:
		s.replaceUpstreams(now, m)
		return s.retryWaiting(now)
	case EligibilityRenewed:
		s.extendEligibility(m)
	case NodesChanged:
		s.nodes = m.Nodes
		s.updateNodeCounts()
	case LoadReported:
		if u, ok := s.upstreams[m.ID]; ok {
			u.applyReport(m)
		}
	case Pick:
		return s.handlePick(now, m)
	case CancelPick:
		s.cancelPick(now, m)
		return s.retryWaiting(now)
	case Noticed:
		s.handleNoticed(now, m)
		return s.retryWaiting(now)
	case Confirm:
		return []kernel.Effect{kernel.Reply{ID: m.Ask, Msg: s.confirm(now, m.Upstream)}}
	case waitTick:
		if m.at.Equal(s.wakeAt) {
			s.wakeAt = time.Time{}
			return s.retryWaiting(now)
		}
	case Progressed:
		s.handleProgressed(now, m)
	case Finished:
		s.handleFinished(now, m)
		return s.retryWaiting(now)
	case CacheEvents:
		s.applyCacheEvents(m)
	}
	return nil
}

// Available reports whether a pool has an eligible upstream.
func (s *Service) Available(pool string) bool {
	_, ok := s.pools[pool]
	return ok
}

// FreeSlots returns the estimated number of free slots on the upstreams of a pool
// that this node uses.
func (s *Service) FreeSlots(pool string) int {
	free := 0
	if p, ok := s.pools[pool]; ok {
		for _, u := range p.members {
			free += max(0, u.candidate.Slots-u.candidate.Load)
		}
	}
	return free
}

// Share returns how many requests of a pool this node may run at a time. It is
// the capacity that admission works with.
//
// The share is the node's equal part of the slots of healthy upstreams. A reserve
// is left out, so that two random choices are likely to find a free slot. If
// slots are free, the node may add its equal part of them to the requests that it
// already runs, so that a node with more callers than the others uses what the
// others leave. The slots of upstreams that pause count only while all upstreams do,
// so that requests get to wait or to be refused here. The share is at least 1 if the
// pool has an upstream.
func (s *Service) Share(now time.Time, pool string) int {
	p, ok := s.pools[pool]
	if !ok {
		return 0
	}
	slots, load, own := 0, 0, 0
	allPause := !slices.ContainsFunc(p.members, func(u *upstream) bool { return !s.paused(now, u) })
	for _, u := range p.members {
		own += u.candidate.InFlight
		if s.paused(now, u) && !allPause {
			continue
		}
		if !s.config.DisableEjection && p.outliers.State(u.candidate.ID, now) != outlier.Healthy {
			continue
		}
		slots += u.candidate.Slots
		load += u.candidate.Load
	}
	usableSlots := usableShare * float64(slots)
	nodes := s.nodesPerUpstream(p)
	equal := int(math.Ceil(usableSlots / nodes))
	withFreeSlots := own + int(math.Floor((usableSlots-float64(load))/nodes))
	return max(1, equal, withFreeSlots)
}

// count increments a counter of the service.
func (s *Service) count(name string) {
	metrics.GetOrRegisterCounter("router."+name, s.config.Metrics).Inc(1)
}
