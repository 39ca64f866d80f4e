package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"
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

// unreported estimates how many requests all nodes together have sent to the candidates since
// the reported loads. The rate of a pool is the number of its requests in flight over the
// mean time that a request takes (Little's law).
func (s *search) unreported(found []candidate) float64 {
	if len(s.peers) == 0 {
		return 0
	}
	duration := s.stats.duration
	if !s.stats.ended {
		duration = float64(assumedDuration)
	}
	inFlight := 0
	for i := range found {
		inFlight += found[i].load.InFlight
	}
	unknownSince := s.reportDelay() + max(0, s.meanPeerLoadAge(s.now)-reportInterval)
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
	requests := unreported + 1
	low := lowest(found, requests)
	rng.Shuffle(len(low), func(i, j int) { low[i], low[j] = low[j], low[i] })
	shares := sortedShares(low, requests)
	at := rng.Float64()
	for i, w := range shares {
		if at -= w; at < 0 {
			return low[i]
		}
	}
	return low[0]
}

// lowest returns the candidates that may be raised to one level by a number of requests. The
// level is not above the one to which they would raise the best candidate alone.
func lowest(found []candidate, requests float64) []candidate {
	best := found[0]
	for i := range found {
		if found[i].score < best.score {
			best = found[i]
		}
	}
	limit := best.score + time.Duration(requests*float64(best.step))
	var out []candidate
	for i := range found {
		if found[i].score <= limit {
			out = append(out, found[i])
		}
	}
	return out
}

// sortedShares sorts the candidates that lowest has returned by score, and returns the
// probabilities with which the first of them are chosen; the others are not.
func sortedShares(low []candidate, requests float64) []float64 {
	slices.SortStableFunc(low, compareScores)
	return levelShares(low, requests)
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
