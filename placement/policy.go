package placement

import (
	"slices"
	"time"
)

// Policy selects the rules that the planner applies. Operators cannot set it:
// the daemons use DefaultPolicy, and the benchmarks compare it with the others.
type Policy struct {
	// Name identifies the policy, such as PolicyNoSpares.
	Name string
	// PreferWeightHolders prefers VMs that hold the model's weights.
	PreferWeightHolders bool
	// SpreadOverDomains prefers fabric domains with few replicas of the model.
	SpreadOverDomains bool
	// BestFit prefers the fabric domain that is left with the fewest free VMs.
	BestFit bool
	// DissolveBrokenAtOnce dissolves a broken replica at once, so that its
	// remaining VMs can join any other replica. Otherwise the replica is
	// dissolved only when its fabric domain has a free VM for each faulty
	// member, or when the fault is a restarted member, which can join again.
	DissolveBrokenAtOnce bool
	// FormSurplus forms replicas above Demand.Want, up to Demand.Max, from the
	// VMs that are still free.
	FormSurplus bool
	// SparesPerDomain is the number of free VMs that are kept in reserve in
	// each fabric domain. The reserve is used for a model with fewer than
	// MinReplicas replicas, and where a free VM holds the model's weights.
	SparesPerDomain int
	// Preempt dissolves a replica of one model to free VMs for another model
	// that lacks them. A model above its Demand.Want can lose a replica to any
	// other; a model above its Demand.Min to a model of higher priority that
	// is below its Demand.Min.
	Preempt bool
	// PreemptForUrgent lets an urgent model below its Demand.Want preempt a
	// replica of a less important model that is not urgent and above its
	// Demand.Min.
	PreemptForUrgent bool
	// WaitForGone keeps a replica with a leaving VM until the VM is lost or no
	// longer listed.
	WaitForGone bool
	// CrossDomainDemand selects the demands for which a replica may span
	// several fabric domains of one availability zone when no single domain has
	// room. Such a replica is dissolved as soon as one of its domains has room.
	CrossDomainDemand DemandLevel
	// LoadWindow bounds the bytes that are loaded at the same time to what the
	// weight store serves in this time; 0 means no bound.
	LoadWindow time.Duration
	// LoadTimeout is how long a replica may stay incomplete, in addition to
	// the time allowed for all loads that are running. The replica is then
	// dissolved if at least one of its members is ready. 0 means no bound.
	LoadTimeout time.Duration
}

// DemandLevel is a kind of demand, ordered from the most important to the
// least. As the value of Policy.CrossDomainDemand, a kind also selects the more
// important kinds.
type DemandLevel int

const (
	// DemandNone is no demand at all.
	DemandNone DemandLevel = iota
	// DemandBelowMin is the demand of models below their Demand.Min.
	DemandBelowMin
	// DemandBelowWant is the demand of models below their Demand.Want.
	DemandBelowWant
	// DemandSurplus is the demand of models below their Demand.Max.
	DemandSurplus
)

// Names of the policies that Policies returns.
const (
	PolicyFirstFit       = "first-fit"
	PolicyNoMerge        = "no-merge"
	PolicyNoSpares       = "no-spares"
	PolicyIdleSpares     = "idle-spares"
	PolicySpares         = "spares"
	PolicyUnstaggered    = "unstaggered"
	PolicyInDomain       = "in-domain-only"
	PolicyCrossWant      = "cross-domain-want"
	PolicyCrossSurplus   = "cross-domain-surplus"
	PolicyNoPreempt      = "no-preempt"
	PolicyPreemptMinOnly = "preempt-for-minimum-only"
	PolicyAnyWeights     = "any-weights"
	PolicyNoSpread       = "no-spread"
	PolicyWaitForGone    = "wait-for-gone"
)

// LoadWindow and LoadTimeout of DefaultPolicy.
const (
	defaultLoadWindow  = time.Minute
	defaultLoadTimeout = 3 * time.Minute
)

// DefaultPolicy returns the policy that the daemons use.
func DefaultPolicy() Policy {
	return Policy{
		Name:                 PolicyNoSpares,
		PreferWeightHolders:  true,
		SpreadOverDomains:    true,
		BestFit:              true,
		DissolveBrokenAtOnce: true,
		FormSurplus:          true,
		Preempt:              true,
		PreemptForUrgent:     true,
		CrossDomainDemand:    DemandBelowMin,
		LoadWindow:           defaultLoadWindow,
		LoadTimeout:          defaultLoadTimeout,
	}
}

// Policies returns every policy with a name, DefaultPolicy first.
func Policies() []Policy {
	variant := func(name string, change func(*Policy)) Policy {
		p := DefaultPolicy()
		p.Name = name
		change(&p)
		return p
	}
	return []Policy{
		DefaultPolicy(),
		{Name: PolicyFirstFit, LoadTimeout: defaultLoadTimeout},
		variant(PolicySpares, func(p *Policy) { p.SparesPerDomain = 1 }),
		variant(PolicyIdleSpares, func(p *Policy) { p.FormSurplus = false }),
		variant(PolicyNoMerge, func(p *Policy) { p.DissolveBrokenAtOnce = false }),
		variant(PolicyUnstaggered, func(p *Policy) { p.LoadWindow = 0 }),
		variant(PolicyInDomain, func(p *Policy) { p.CrossDomainDemand = DemandNone }),
		variant(PolicyCrossWant, func(p *Policy) { p.CrossDomainDemand = DemandBelowWant }),
		variant(PolicyCrossSurplus, func(p *Policy) { p.CrossDomainDemand = DemandSurplus }),
		variant(PolicyNoPreempt, func(p *Policy) { p.Preempt = false }),
		variant(PolicyPreemptMinOnly, func(p *Policy) { p.PreemptForUrgent = false }),
		variant(PolicyAnyWeights, func(p *Policy) { p.PreferWeightHolders = false }),
		variant(PolicyNoSpread, func(p *Policy) { p.SpreadOverDomains = false }),
		variant(PolicyWaitForGone, func(p *Policy) { p.WaitForGone = true }),
	}
}

// PolicyByName returns the policy with a name, and false if there is none.
func PolicyByName(name string) (Policy, bool) {
	all := Policies()
	i := slices.IndexFunc(all, func(p Policy) bool { return p.Name == name })
	if i < 0 {
		return Policy{}, false
	}
	return all[i], true
}
