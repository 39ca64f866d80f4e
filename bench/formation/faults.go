package formation

import (
	"math/rand/v2"
	"slices"
	"time"
)

// faultKind is a kind of fault.
type faultKind int

const (
	// faultVMFailure stops a VM for good. Another VM takes its place later.
	faultVMFailure faultKind = iota
	// faultRestart restarts a VM, which loses its membership and weights.
	faultRestart
	// faultReplace announces that a VM leaves, and replaces it after
	// leaveNotice.
	faultReplace
	// faultDomainOutage makes a whole fabric domain unreachable. Its VMs keep
	// their state.
	faultDomainOutage
	// faultZoneOutage makes a whole availability zone unreachable. Its VMs keep
	// their state.
	faultZoneOutage
	// faultStraggler makes a VM load weights slowly.
	faultStraggler
	// faultPause makes a VM unreachable for seconds. It keeps its state.
	faultPause
	// faultLogOutage makes the log unavailable, so that no replica can be
	// formed or dissolved.
	faultLogOutage
)

// fault is one fault of a sequence. at is the time from the start of the
// measurement.
type fault struct {
	kind faultKind
	at   time.Duration
	// target is the index of the VM, domain or zone that fails. A log outage
	// has none.
	target int
	// duration is the time from the start of the fault until its repair.
	duration time.Duration
}

// leaveNotice is the time from the announcement that a VM leaves until it stops.
const leaveNotice = 2 * time.Minute

// faultRate defines how often a kind of fault occurs and how long it lasts.
type faultRate struct {
	kind faultKind
	// perDay is the mean number of faults per day in the whole fleet.
	perDay float64
	// shortest and mean are the minimum and the mean of the time to repair,
	// which is shortest plus an exponentially distributed time.
	shortest, mean time.Duration
}

// rates returns the fault rates of a fleet of the given number of VMs. Failures,
// restarts and replacements of VMs follow the daily figures of the two-year plan
// for 80,000 VMs, scaled to the fleet and multiplied by speedUp, so that faults
// overlap within a run. Pauses are as frequent as restarts and replacements
// together. The rates of stragglers and of outages of domains, zones and the log
// are for the fleets that Fleets returns, of about 300 VMs, and don't depend on
// speedUp. These outages exceed the figures of the plan by a larger factor than the
// faults of VMs do.
func rates(vms int, speedUp float64) []faultRate {
	const (
		planVMs        = 80000
		deathsPerDay   = 150
		restartsPerDay = 1100
	)
	scale := speedUp * float64(vms) / planVMs
	return []faultRate{
		{faultVMFailure, deathsPerDay * scale, 5 * time.Minute, 40 * time.Minute},
		{faultRestart, restartsPerDay * scale / 2, time.Minute, 3 * time.Minute},
		{faultReplace, restartsPerDay * scale / 2, 4 * time.Minute, 10 * time.Minute},
		{faultDomainOutage, 3.0 / 30, 5 * time.Minute, 40 * time.Minute},
		{faultZoneOutage, 1.0 / 30, 5 * time.Minute, 30 * time.Minute},
		{faultStraggler, 2, 10 * time.Minute, 40 * time.Minute},
		{faultPause, restartsPerDay * scale, 2 * time.Second, 5 * time.Second},
		{faultLogOutage, 6.0 / 30, 5 * time.Minute, 40 * time.Minute},
	}
}

// drawFaults returns the random faults of a run in order of time. They depend only
// on the fleet, the seed and the span, so that every policy meets the same faults.
func drawFaults(f Fleet, seed uint64, s Span) []fault {
	var faults []fault
	for i, r := range rates(f.VMs(), s.SpeedUp) {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		gap := float64(24*time.Hour) / r.perDay
		for at := rng.ExpFloat64() * gap; at < float64(s.Length); at += rng.ExpFloat64() * gap {
			duration := r.shortest + time.Duration(rng.ExpFloat64()*float64(r.mean-r.shortest))
			faults = append(faults, fault{kind: r.kind, at: time.Duration(at), target: drawTarget(rng, f, r.kind), duration: duration})
		}
	}
	slices.SortStableFunc(faults, func(a, b fault) int { return int(a.at - b.at) })
	return faults
}

// drawTarget returns the index of a random domain, zone or VM for a fault of the
// given kind.
func drawTarget(rng *rand.Rand, f Fleet, kind faultKind) int {
	switch kind {
	case faultDomainOutage:
		return rng.IntN(len(f.Domains))
	case faultZoneOutage:
		return rng.IntN(f.Zones)
	}
	return rng.IntN(f.VMs())
}
