package bench

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/balance/strategies"
	"github.com/tamarackcleat/tamarackcleat/balance/twochoice"
)

// Options are the settings of a suite that the command line takes.
type Options struct {
	// Seed makes runs repeatable.
	Seed uint64
	// Engines is the number of engines for long generations.
	Engines int
	// Nodes is the number of entry VMs.
	Nodes int
	// Policy limits the suite to one policy; empty runs all.
	Policy string
	// Length is the simulated time of arrivals after the warm-up.
	Length time.Duration
	// Fill is the offered load as a part of all slots; 0 stands for the
	// suite's own.
	Fill float64
}

// Suite is a set of runs that compare policies on the same seed.
type Suite struct {
	// Name is the subcommand.
	Name string
	// Usage describes the suite in one line.
	Usage string
	// Fill is the offered load of the suite.
	Fill float64
	// variants change the base scenario, one per policy.
	variants []variant
	// prepare adds faults to each scenario; it may be nil.
	prepare func(s *Scenario)
}

// variant is one policy of a suite.
type variant struct {
	name  string
	apply func(s *Scenario)
}

// warmup is the simulated time until caches and queues have settled.
const warmup = 3 * time.Minute

// Suites returns all suites.
func Suites() []Suite {
	return []Suite{routingSuite(), admissionSuite(), sharesSuite(), retriesSuite(), stragglersSuite(), allSlowSuite()}
}

// Scenarios returns the runs of a suite.
func (u Suite) Scenarios(o Options) []Scenario {
	var all []Scenario
	for _, d := range Deployments(o.Engines) {
		for _, v := range u.variants {
			if o.Policy != "" && o.Policy != v.name {
				continue
			}
			s := Scenario{
				Name: u.Name, Policy: v.name, Deployment: d, Nodes: o.Nodes, Seed: o.Seed,
				Warmup: warmup, Length: warmup + o.Length, Fill: u.Fill, DeskFill: u.Fill,
				Routing: twochoice.Name, Admission: AdmissionTargets, Retry: RetryBudget,
			}
			if o.Fill > 0 {
				s.Fill, s.DeskFill = o.Fill, o.Fill
			}
			v.apply(&s)
			if u.prepare != nil {
				u.prepare(&s)
			}
			all = append(all, s)
		}
	}
	return all
}

func routingSuite() Suite {
	u := Suite{Name: "routing", Usage: "compare how upstreams are selected", Fill: 0.8}
	for _, name := range strategies.Names() {
		u.variants = append(u.variants, variant{name, func(s *Scenario) { s.Routing = name }})
	}
	return u
}

func admissionSuite() Suite {
	u := Suite{Name: "admission", Usage: "compare admission policies under overload", Fill: 1.3}
	for _, name := range []string{AdmissionTargets, AdmissionFIFO, AdmissionNone} {
		u.variants = append(u.variants, variant{name, func(s *Scenario) { s.Admission = name }})
	}
	return u
}

func sharesSuite() Suite {
	u := Suite{Name: "shares", Usage: "compare nodes' shares of the slots behind an uneven balancer", Fill: 0.9}
	for _, name := range []string{CapacityRouter, CapacityEqual, CapacityMargin} {
		u.variants = append(u.variants, variant{name, func(s *Scenario) { s.Capacity, s.Skewed = name, true }})
	}
	return u
}

// darkFrom and darkFor are when and how long a fabric domain is dark.
const (
	darkFrom = warmup + time.Minute
	darkFor  = 2 * time.Minute
)

func retriesSuite() Suite {
	u := Suite{Name: "retries", Usage: "compare retries while a fabric domain is dark", Fill: 0.85}
	for _, name := range []string{RetryBudget, RetryRestart, RetryBlind, RetryNone} {
		u.variants = append(u.variants,
			variant{name, func(s *Scenario) { s.Retry = name }},
			variant{name + "/open", func(s *Scenario) { s.Retry, s.Admission = name, AdmissionNone }},
		)
	}
	u.prepare = func(s *Scenario) {
		s.faults = []fault{
			{darkFrom, func(w *world) { w.crash(w.inDomain(1)) }},
			{darkFrom + darkFor, func(w *world) { w.restart(w.inDomain(1)) }},
		}
	}
	return u
}

const (
	// stragglerSlowness multiplies the times of a straggler, and
	// allSlowness those of all engines at once.
	stragglerSlowness = 6
	allSlowness       = 2
	// stragglerEvery makes one engine of so many a straggler.
	stragglerEvery = 35
)

func ejectionVariants() []variant {
	return []variant{
		{"eject", func(*Scenario) {}},
		{"keep", func(s *Scenario) { s.KeepStragglers = true }},
	}
}

func stragglersSuite() Suite {
	return Suite{
		Name: "stragglers", Usage: "compare with and without the ejection of stragglers", Fill: 0.7,
		variants: ejectionVariants(),
		prepare: func(s *Scenario) {
			s.faults = []fault{{warmup, func(w *world) {
				for i, e := range w.engines {
					if i%stragglerEvery == 0 {
						e.setSlowness(stragglerSlowness)
					}
				}
			}}}
		},
	}
}

func allSlowSuite() Suite {
	return Suite{
		Name: "all-slow", Usage: "check that none is ejected when all engines are slow", Fill: 0.4,
		variants: ejectionVariants(),
		prepare: func(s *Scenario) {
			s.faults = []fault{{warmup, func(w *world) {
				for _, e := range w.engines {
					e.setSlowness(allSlowness)
				}
			}}}
		},
	}
}
