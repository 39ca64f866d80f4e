package entry

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/admission"
	"github.com/tamarackcleat/tamarackcleat/balance"
	"github.com/tamarackcleat/tamarackcleat/configuration"
	"github.com/tamarackcleat/tamarackcleat/health"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/router"
)

// bridgeName is the bridge's registered name.
const bridgeName = "bridge"

const (
	// capacityEvery is how often a node's share of the slots is renewed.
	capacityEvery = 200 * time.Millisecond
)

// disrupted is the effect that ends the streams on replicas that broke; their
// requests go on elsewhere.
type disrupted struct{ upstreams []string }

// capacityTick is the timer that renews the capacity, capacityNow renews it once:
// the router has taken the upstreams that were sent to it before.
type (
	capacityTick struct{}
	capacityNow  struct{}
)

// bridge is the kernel service that tells the request path what health
// checking and the configuration say.
type bridge struct {
	nodes  func(now time.Time) int
	health *health.Service
	router *router.Service
	// pools holds every pool that has had an upstream.
	pools map[string]bool
}

// Name implements kernel.Service.
func (b *bridge) Name() string { return bridgeName }

// Start implements kernel.Starter.
func (b *bridge) Start(time.Time) []kernel.Effect {
	return []kernel.Effect{kernel.SetTimer{To: bridgeName, After: capacityEvery, Msg: capacityTick{}}}
}

// Handle implements kernel.Service.
func (b *bridge) Handle(now time.Time, msg kernel.Message) []kernel.Effect {
	switch m := msg.(type) {
	case health.Changed:
		return append(b.upstreams(m), kernel.Send{To: bridgeName, Msg: capacityNow{}})
	case capacityNow:
		return b.capacity(now)
	case health.LoadReported:
		return []kernel.Effect{kernel.Send{To: router.Name, Msg: router.LoadReported{
			ID:      m.ID,
			Running: m.Report.Running,
			Queued:  m.Report.Queued,
			LoadAt:  time.UnixMilli(m.Report.LoadAt),
		}}}
	case health.EligibilityRenewed:
		return []kernel.Effect{kernel.Send{To: router.Name, Msg: router.EligibilityRenewed(m)}}
	case configuration.Changed:
		return []kernel.Effect{
			kernel.Send{To: admission.Name, Msg: admission.Configure{Classes: m.Document.Classes}},
		}
	case capacityTick:
		again := kernel.SetTimer{To: bridgeName, After: capacityEvery, Msg: capacityTick{}}
		return append(b.capacity(now), again)
	}
	return nil
}

// upstreams tells the router who may take work and ends streams on replicas
// that broke.
func (b *bridge) upstreams(m health.Changed) []kernel.Effect {
	list := make([]balance.Upstream, 0, len(m.Upstreams))
	for _, u := range m.Upstreams {
		list = append(list, balance.Upstream{
			ID:         u.ID,
			Generation: u.Generation,
			Address:    u.Address,
			Pool:       poolOf(u),
			Zone:       u.Zone,
			Slots:      u.Slots,
			EligibleUntil: u.EligibleUntil,
		})
	}
	out := []kernel.Effect{kernel.Send{To: router.Name, Msg: router.UpstreamsChanged{
		Upstreams: list,
		PoolSizes: b.poolSizes(),
	}}}
	if len(m.Broken) > 0 {
		out = append(out, disrupted{upstreams: m.Broken})
	}
	return out
}

// poolOf returns the pool of an upstream in the request path.
func poolOf(u health.Upstream) string {
	if u.Plain {
		return balance.ServicePool(u.Pool)
	}
	return u.Pool
}

// capacity tells admission this node's share of each pool's slots.
func (b *bridge) capacity(now time.Time) []kernel.Effect {
	out := []kernel.Effect{kernel.Send{To: router.Name, Msg: router.NodesChanged{Nodes: b.nodes(now)}}}
	for _, u := range b.health.Eligible() {
		b.pools[poolOf(u)] = true
	}
	for _, pool := range sortedKeys(b.pools) {
		out = append(out, kernel.Send{To: admission.Name, Msg: admission.Capacity{
			Pool:  pool,
			Slots: b.router.Share(now, pool),
		}})
	}
	return out
}

// poolSizes counts the upstreams of each pool over the whole deployment.
func (b *bridge) poolSizes() map[string]int {
	sizes := map[string]int{}
	for _, g := range b.health.PoolCounts() {
		if g.Plain {
			sizes[balance.ServicePool(g.Pool)] = g.Count
			continue
		}
		sizes[g.Pool] = g.Count
	}
	return sizes
}
