package bench

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/balance/strategies"
	"github.com/tamarackcleat/tamarackcleat/balance/twochoice"
)

// Options are the settings of a suite that the command line can change.
type Options struct {
	// Seed initializes every random generator of each run.
	Seed uint64
	// Engines is the number of engines for long generations.
	Engines int
	// Nodes is the number of entry VMs.
	Nodes int
	// Policy is the name of the only policy to run. Empty means all policies.
	Policy string
	// Length is the simulated time during which requests arrive after the
	// warm-up.
	Length time.Duration
	// Fill is the offered load as a fraction of all slots. 0 means Suite.Fill.
	Fill float64
}

// Suite is a set of runs that compare policies on the same seed.
type Suite struct {
	// Name is the name of the suite and of its subcommand.
	Name string
	// Usage describes the suite in one line.
	Usage string
	// Fill is the suite's default offered load as a fraction of all slots.
	Fill float64
	// variants are the compared policies.
	variants []variant
	// prepare adds faults to each scenario. It may be nil.
	prepare func(s *Scenario)
}

// variant is one policy of a suite. apply sets it in a scenario.
type variant struct {
	name  string
	apply func(s *Scenario)
}

// warmup is the simulated time in which caches and queues reach a steady state.
const warmup = 3 * time.Minute

// Suites returns all suites.
func Suites() []Suite {
	return []Suite{routingSuite(), admissionSuite(), sharesSuite(), retriesSuite(), stragglersSuite(), allSlowSuite()}
}

// Scenarios returns one scenario for each deployment and policy of the suite.
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

// outageStart is the time from the start of the run to the outage of a fabric
// domain, outageLength the duration of the outage.
const (
	outageStart  = warmup + time.Minute
	outageLength = 2 * time.Minute
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
			{outageStart, func(w *world) { w.crash(w.largeModelEnginesIn(1)) }},
			{outageStart + outageLength, func(w *world) { w.restart(w.largeModelEnginesIn(1)) }},
		}
	}
	return u
}

const (
	// stragglerSlowdown is the slowdown factor of a straggler,
	// allEnginesSlowdown that of every engine in the suite "all-slow".
	stragglerSlowdown  = 6
	allEnginesSlowdown = 2
	// stragglerEvery is the interval of stragglers: one in stragglerEvery engines
	// is a straggler.
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
						e.setSlowdown(stragglerSlowdown)
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
					e.setSlowdown(allEnginesSlowdown)
				}
			}}}
		},
	}
}
