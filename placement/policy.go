package placement

import (
	"slices"
	"time"
)

// Policy switches the planner's decisions. Operators never set one: the
// default follows from measurement, and the others serve as rivals in it.
type Policy struct {
	// Name names the policy.
	Name string
	// HoldersFirst prefers VMs that hold the model's weights.
	HoldersFirst bool
	// Spread prefers domains with few replicas of the model.
	Spread bool
	// BestFit prefers the domain that is left with the fewest free VMs.
	BestFit bool
	// Merge dissolves a broken replica at once, so that its survivors can
	// join any other replica. Without it survivors wait for a replacement.
	Merge bool
	// Surplus forms replicas beyond what is wanted from VMs left over.
	Surplus bool
	// SparesPerDomain holds back free VMs of each domain, except to
	// complete a set that holds the weights already.
	SparesPerDomain int
	// Preempt takes a replica of a model above its own need for a model
	// below its minimum.
	Preempt bool
	// UrgentFirst lets Preempt take a replica of a model above its minimum
	// for an urgent model below what is wanted.
	UrgentFirst bool
	// WaitForGone keeps a replica with a leaving VM until the VM is gone.
	WaitForGone bool
	// CrossDomain says when replicas are formed across domains of one zone
	// where no domain has room. They are ended when a domain has.
	CrossDomain Reach
	// LoadWindow bounds the bytes loaded at once to what the weight store
	// serves in this time; 0 means no bound.
	LoadWindow time.Duration
	// LoadTimeout dissolves a replica that is incomplete for longer than
	// this beyond the time that its loads should take.
	LoadTimeout time.Duration
}

// Reach is how far a policy goes to form a replica; each includes the former.
type Reach int

const (
	// ReachNone never forms a replica across domains.
	ReachNone Reach = iota
	// ReachMin does so for a model below its minimum.
	ReachMin
	// ReachWant does so for a model below what is wanted.
	ReachWant
	// ReachSurplus does so whenever VMs are left over.
	ReachSurplus
)

// Names of the policies.
const (
	PolicyFirstFit     = "first-fit"
	PolicyNoMerge      = "no-merge"
	PolicyNoSpares     = "no-spares"
	PolicyIdleSpares   = "idle-spares"
	PolicySpares       = "spares"
	PolicyUnstaggered  = "unstaggered"
	PolicyInDomain     = "in-domain-only"
	PolicyCrossWant    = "cross-domain-want"
	PolicyCrossSurplus = "cross-domain-surplus"
	PolicyNoPreempt    = "no-preempt"
	PolicyMinOnly      = "preempt-for-minimum-only"
	PolicyAnyWeights   = "any-weights"
	PolicyNoSpread     = "no-spread"
	PolicyWaitForGone  = "wait-for-gone"
)

// Load limits of the policies.
const (
	defaultLoadWindow  = time.Minute
	defaultLoadTimeout = 3 * time.Minute
)

// DefaultPolicy returns the policy that the daemons use.
func DefaultPolicy() Policy {
	return Policy{
		Name:         PolicyNoSpares,
		HoldersFirst: true,
		Spread:       true,
		BestFit:      true,
		Merge:        true,
		Surplus:      true,
		Preempt:      true,
		UrgentFirst:  true,
		CrossDomain:  ReachMin,
		LoadWindow:   defaultLoadWindow,
		LoadTimeout:  defaultLoadTimeout,
	}
}

// Policies returns all named policies, the default first.
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
		variant(PolicyIdleSpares, func(p *Policy) { p.Surplus = false }),
		variant(PolicyNoMerge, func(p *Policy) { p.Merge = false }),
		variant(PolicyUnstaggered, func(p *Policy) { p.LoadWindow = 0 }),
		variant(PolicyInDomain, func(p *Policy) { p.CrossDomain = ReachNone }),
		variant(PolicyCrossWant, func(p *Policy) { p.CrossDomain = ReachWant }),
		variant(PolicyCrossSurplus, func(p *Policy) { p.CrossDomain = ReachSurplus }),
		variant(PolicyNoPreempt, func(p *Policy) { p.Preempt = false }),
		variant(PolicyMinOnly, func(p *Policy) { p.UrgentFirst = false }),
		variant(PolicyAnyWeights, func(p *Policy) { p.HoldersFirst = false }),
		variant(PolicyNoSpread, func(p *Policy) { p.Spread = false }),
		variant(PolicyWaitForGone, func(p *Policy) { p.WaitForGone = true }),
	}
}

// PolicyByName finds a policy.
func PolicyByName(name string) (Policy, bool) {
	all := Policies()
	i := slices.IndexFunc(all, func(p Policy) bool { return p.Name == name })
	if i < 0 {
		return Policy{}, false
	}
	return all[i], true
}
