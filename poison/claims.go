package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// claimDelay is the time between a claim and its use, in which the claims of other
	// nodes arrive, and the outcome of requests that already run.
	claimDelay = 400 * time.Millisecond
	// retrialDelay takes the place of claimDelay for a part that was convicted.
	retrialDelay = time.Second
	// claimTTL is how long a claim of a peer holds after the peer last reported it.
	claimTTL = time.Second
)

// claimKey identifies the claim of a node to run a request with a part.
type claimKey struct{ part, node string }

// claim is a claim to run the only request with a suspected part.
type claim struct {
	// since is when this node made the claim; refreshed is when the claiming node last
	// reported it.
	since, refreshed time.Time
	// running says that the request was sent.
	running bool
	// request identifies the request of a claim of this node.
	request string
}

// Claim claims the suspected parts for a request and reports whether it may be sent now.
// Call it again until it may, or until Release. Of the nodes that claim a part at the same
// time, the first by id runs its request.
func (t *Table) Claim(now time.Time, request string, parts []string) bool {
	for _, part := range parts {
		if c, ok := t.claims[claimKey{part, t.node}]; ok && c.request != request {
			return false
		}
	}
	free := true
	for _, part := range parts {
		key := claimKey{part, t.node}
		if t.claims[key] == nil {
			t.claims[key] = &claim{since: now, request: request}
		}
		free = free && now.Sub(t.claims[key].since) >= t.delay(part) && !t.outranked(now, part)
	}
	for _, part := range parts {
		t.claims[claimKey{part, t.node}].running = free
	}
	return free
}

// delay returns the time between the claim of a part and its use.
func (t *Table) delay(part string) time.Duration {
	if s, ok := t.suspects[part]; ok && s.convicted {
		return retrialDelay
	}
	return claimDelay
}

// outranked reports whether another node runs a request with a part or goes before this
// one.
func (t *Table) outranked(now time.Time, part string) bool {
	for key, c := range t.claims {
		if key.part == part && key.node != t.node && now.Sub(c.refreshed) < claimTTL && (c.running || key.node < t.node) {
			return true
		}
	}
	return false
}

// Release ends the claims of a request.
func (t *Table) Release(request string) {
	for key, c := range t.claims {
		if key.node == t.node && c.request == request {
			delete(t.claims, key)
		}
	}
}

// expireClaims removes the claims that peers no longer report.
func (t *Table) expireClaims(now time.Time) {
	for key, c := range t.claims {
		if key.node != t.node && now.Sub(c.refreshed) >= claimTTL {
			delete(t.claims, key)
		}
	}
}

// mergeClaim merges a claim that a peer reported and reports whether it is news.
func (t *Table) mergeClaim(now time.Time, r ClaimReport) bool {
	at := now.Add(-millis(r.AgeMillis))
	if r.Node == t.node || now.Sub(at) >= claimTTL {
		return false
	}
	key := claimKey{r.Part, r.Node}
	c, ok := t.claims[key]
	if !ok {
		if len(t.claims) >= maxSuspects {
			return false
		}
		c = &claim{}
		t.claims[key] = c
	}
	news := !ok || r.Running && !c.running
	if !at.Before(c.refreshed) {
		c.refreshed, c.running = at, r.Running
	}
	return news
}

// claimReports returns the claims to report to peers, of each part the one that goes
// before the others.
func (t *Table) claimReports(now time.Time) []ClaimReport {
	t.expireClaims(now)
	first := map[string]ClaimReport{}
	for key, c := range t.claims {
		r := ClaimReport{Part: key.part, Node: key.node, Running: c.running}
		if key.node != t.node {
			r.AgeMillis = now.Sub(c.refreshed).Milliseconds()
		}
		if other, ok := first[r.Part]; !ok || r.precedes(other) {
			first[r.Part] = r
		}
	}
	out := slices.SortedFunc(maps.Values(first), func(a, b ClaimReport) int {
		return cmp.Or(cmp.Compare(a.AgeMillis, b.AgeMillis), cmp.Compare(a.Part, b.Part))
	})
	return out[:min(len(out), maxReportedClaims)]
}

// precedes reports whether a claim goes before another one to the same part.
func (r ClaimReport) precedes(other ClaimReport) bool {
	if r.Running != other.Running {
		return r.Running
	}
	return r.Node < other.Node
}
