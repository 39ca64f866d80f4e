package formation

import (
	"math/rand/v2"
	"slices"
	"time"
)

// faultKind is a kind of fault.
type faultKind int

const (
	// faultDeath ends a VM; another comes up in its place later.
	faultDeath faultKind = iota
	// faultRestart restarts a VM, which loses its membership and weights.
	faultRestart
	// faultReplace announces that a VM leaves and is replaced later.
	faultReplace
	// faultDomain puts a whole fabric domain out of reach; its VMs come back
	// as if nothing had happened.
	faultDomain
	// faultZone does the same to an availability zone.
	faultZone
	// faultStraggler makes a VM load slowly.
	faultStraggler
	// faultPause puts a VM out of reach for seconds.
	faultPause
	// faultLog makes the log unavailable, so that nothing can be formed.
	faultLog
)

// fault is one fault of a sequence.
type fault struct {
	kind faultKind
	at   time.Duration
	// target is the index of the VM, domain or zone.
	target int
	// lasts is the time until repair.
	lasts time.Duration
}

// leaveNotice is the time between the announcement that a VM leaves and its end.
const leaveNotice = 2 * time.Minute

// faultRate describes how often a kind of fault happens and how long it lasts.
type faultRate struct {
	kind faultKind
	// perDay is the number of faults a day over the whole fleet.
	perDay float64
	// shortest and mean bound the exponential time to repair.
	shortest, mean time.Duration
}

// rates returns the fault rates of a fleet of today's size. Deaths, restarts
// and replacements come speedUp times as often as in the two-year plan's daily
// figures for 80,000 VMs, scaled to the fleet, so that faults overlap within a
// run; VMs pause as often as they restart; whole domains, zones and the log fail
// more often still.
func rates(vms int, speedUp float64) []faultRate {
	const (
		planVMs        = 80000
		deathsPerDay   = 150
		restartsPerDay = 1100
	)
	scale := speedUp * float64(vms) / planVMs
	return []faultRate{
		{faultDeath, deathsPerDay * scale, 5 * time.Minute, 40 * time.Minute},
		{faultRestart, restartsPerDay * scale / 2, time.Minute, 3 * time.Minute},
		{faultReplace, restartsPerDay * scale / 2, 4 * time.Minute, 10 * time.Minute},
		{faultDomain, 3.0 / 30, 5 * time.Minute, 40 * time.Minute},
		{faultZone, 1.0 / 30, 5 * time.Minute, 30 * time.Minute},
		{faultStraggler, 2, 10 * time.Minute, 40 * time.Minute},
		{faultPause, restartsPerDay * scale, 2 * time.Second, 5 * time.Second},
		{faultLog, 6.0 / 30, 5 * time.Minute, 40 * time.Minute},
	}
}

// sequence draws the faults of a run. It depends on the fleet and the seed
// only, so that every policy meets the same faults.
func sequence(f Fleet, seed uint64, s Span) []fault {
	var faults []fault
	for i, r := range rates(f.VMs(), s.SpeedUp) {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		gap := float64(24*time.Hour) / r.perDay
		for at := rng.ExpFloat64() * gap; at < float64(s.Length); at += rng.ExpFloat64() * gap {
			lasts := r.shortest + time.Duration(rng.ExpFloat64()*float64(r.mean-r.shortest))
			faults = append(faults, fault{kind: r.kind, at: time.Duration(at), target: target(rng, f, r.kind), lasts: lasts})
		}
	}
	slices.SortStableFunc(faults, func(a, b fault) int { return int(a.at - b.at) })
	return faults
}

// target draws what a fault hits.
func target(rng *rand.Rand, f Fleet, kind faultKind) int {
	switch kind {
	case faultDomain:
		return rng.IntN(len(f.Domains))
	case faultZone:
		return rng.IntN(f.Zones)
	}
	return rng.IntN(f.VMs())
}
