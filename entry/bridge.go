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

// bridgeName is the name that the bridge registers with the kernel.
const bridgeName = "bridge"

const (
	// capacityInterval is the time between two updates of this node's share of the
	// slots in admission.
	capacityInterval = 200 * time.Millisecond
)

// cancelStreams is the effect that cancels the streams on replicas that lost a
// VM. The requests are then retried on other replicas.
type cancelStreams struct{ upstreams []string }

// capacityTick is the timer message on which the bridge tells admission this node's
// share of the slots, every capacityInterval. On updateCapacity it does so once. The
// bridge sends updateCapacity to itself after it has told the router of a change of
// upstreams, so that the router, which computes the share, handles the change first.
type (
	capacityTick   struct{}
	updateCapacity struct{}
)

// bridge is the kernel service that passes the results of health checking and
// the configuration on to the router and admission.
type bridge struct {
	liveNodes func(now time.Time) int
	health    *health.Service
	router    *router.Service
	// knownPools holds every pool that has had an upstream.
	knownPools map[string]bool
}

// Name implements kernel.Service.
func (b *bridge) Name() string { return bridgeName }

// Start implements kernel.Starter.
func (b *bridge) Start(time.Time) []kernel.Effect {
	return []kernel.Effect{kernel.SetTimer{To: bridgeName, After: capacityInterval, Msg: capacityTick{}}}
}

// Handle implements kernel.Service.
func (b *bridge) Handle(now time.Time, msg kernel.Message) []kernel.Effect {
	switch m := msg.(type) {
	case health.Changed:
		return append(b.upstreamEffects(m), kernel.Send{To: bridgeName, Msg: updateCapacity{}})
	case updateCapacity:
		return b.capacityEffects(now)
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
		again := kernel.SetTimer{To: bridgeName, After: capacityInterval, Msg: capacityTick{}}
		return append(b.capacityEffects(now), again)
	}
	return nil
}

// upstreamEffects returns the effects that tell the router which upstreams may
// take work and that cancel the streams on replicas that lost a VM.
func (b *bridge) upstreamEffects(m health.Changed) []kernel.Effect {
	list := make([]balance.Upstream, 0, len(m.Upstreams))
	for _, u := range m.Upstreams {
		list = append(list, balance.Upstream{
			ID:            u.ID,
			Generation:    u.Generation,
			Address:       u.Address,
			Process:       u.Process,
			Pool:          poolName(u),
			Zone:          u.Zone,
			Slots:         u.Slots,
			EligibleUntil: u.EligibleUntil,
		})
	}
	out := []kernel.Effect{kernel.Send{To: router.Name, Msg: router.UpstreamsChanged{
		Upstreams: list,
		PoolSizes: b.poolSizes(),
	}}}
	if len(m.Broken) > 0 {
		out = append(out, cancelStreams{upstreams: m.Broken})
	}
	return out
}

// poolName returns the name that the router and admission use for an upstream's
// pool.
func poolName(u health.Upstream) string {
	if u.Plain {
		return balance.ServicePool(u.Pool)
	}
	return u.Pool
}

// capacityEffects returns the effects that tell the router the number of live
// nodes and admission this node's share of each pool's slots.
func (b *bridge) capacityEffects(now time.Time) []kernel.Effect {
	out := []kernel.Effect{kernel.Send{To: router.Name, Msg: router.NodesChanged{Nodes: b.liveNodes(now)}}}
	for _, u := range b.health.Eligible() {
		b.knownPools[poolName(u)] = true
	}
	for _, pool := range sortedKeys(b.knownPools) {
		out = append(out, kernel.Send{To: admission.Name, Msg: admission.Capacity{
			Pool:  pool,
			Slots: b.router.Share(now, pool),
		}})
	}
	return out
}

// poolSizes returns the number of upstreams of each pool in the whole deployment.
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
