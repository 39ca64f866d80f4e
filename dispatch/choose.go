package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tamarackcleat/tamarackcleat/fleet"
)

const (
	// defaultReportDelay is how long a change of a peer's load takes to become known here
	// if nothing else is set.
	defaultReportDelay = 20 * time.Millisecond
	// reportInterval is the time within which a peer reports even if nothing has changed,
	// with a margin for delays. Only a report that is older may lack a change that was to
	// be reported.
	reportInterval = 80 * time.Millisecond
)

// SetReportDelay sets a function that returns how long a change of a peer's load takes to
// become known here. It must be set before requests run.
func (b *Balancer) SetReportDelay(f func() time.Duration) { b.reportDelay = f }

// assumedDuration is the mean time of a request that a node assumes before it has measured
// one. Of many nodes, each sends a pool few requests.
const assumedDuration = time.Second

// unreported estimates how many requests all nodes together have sent to the targets since
// the reported loads. The rate of a pool is the number of its requests in flight over the
// mean time that a request takes (Little's law).
func (b *Balancer) unreported(now time.Time, targets []fleet.Target) float64 {
	if len(targets) == 0 || len(b.peers) == 0 {
		return 0
	}
	p := b.knownPool(targets[0])
	duration := p.duration
	if !p.ended {
		duration = float64(assumedDuration)
	}
	inFlight := 0
	for _, t := range targets {
		inFlight += b.total(now, t).InFlight
	}
	unknownSince := b.reportDelay() + max(0, b.meanPeerLoadAge(now)-reportInterval)
	return float64(inFlight) / max(1, duration) * float64(unknownSince)
}

// meanPeerLoadAge returns the mean age of the reports of peers' loads that still count.
func (b *Balancer) meanPeerLoadAge(now time.Time) time.Duration {
	sum, n := time.Duration(0), time.Duration(0)
	for _, p := range b.peers {
		if age := now.Sub(p.receivedAt); age <= peerLoadMaxAge {
			sum, n = sum+age, n+1
		}
	}
	return sum / max(1, n)
}

// choose selects one of the candidates at random. Reported loads are old, and many nodes
// select at the same moment: if each selected the candidate with the lowest score, all would
// select the same one. So the shares are those with which the requests that were sent since
// the reports, and this one, raise the lowest scores to one level (load interpretation;
// Dahlin, Interpreting Stale Load Information, 1999). With recent reports that is the
// candidate with the lowest score, with old ones an even division.
func choose(rng *rand.Rand, found []candidate, unreported float64) candidate {
	rng.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	slices.SortStableFunc(found, compareScores)
	weights := choiceShares(found, unreported)
	at := rng.Float64()
	for i, w := range weights {
		if at -= w; at < 0 {
			return found[i]
		}
	}
	return found[0]
}

// choiceShares returns the probabilities with which the first of the candidates, sorted by
// score, are chosen; the others are not.
func choiceShares(found []candidate, unreported float64) []float64 {
	return levelShares(found, unreported+1)
}

// levelShares returns the parts of a number of requests that each candidate takes if they
// raise the lowest scores to one level. The candidates are sorted by score; those above the
// level have no part.
func levelShares(found []candidate, requests float64) []float64 {
	// With the first n candidates at level x, sum((x - score) / step) = requests.
	inverse, weighted, level := 0.0, 0.0, 0.0
	n := 0
	for ; n < len(found); n++ {
		c := found[n]
		if n > 0 && float64(c.score) >= level {
			break
		}
		inverse += 1 / float64(c.step)
		weighted += float64(c.score) / float64(c.step)
		level = (requests + weighted) / inverse
	}
	out := make([]float64, n)
	for i := range out {
		out[i] = (level - float64(found[i].score)) / float64(found[i].step) / requests
	}
	return out
}
