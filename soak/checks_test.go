package soak_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/tamarackcleat/tamarackcleat/platform/standin"
)

// judge holds what is needed to check the promises after a run.
type judge struct {
	world    *world
	attempts []*attempt
	byID     map[string]*attempt
	runs     map[string][]standin.Run
	added    map[int]time.Time
	removed  map[string]time.Time
	problems []string
}

// findings returns the promises that were broken.
func (w *world) findings() []string {
	j := &judge{world: w, attempts: w.log.list(), byID: map[string]*attempt{}, runs: map[string][]standin.Run{}}
	j.added, j.removed = w.config.snapshot()
	for _, a := range j.attempts {
		j.byID[a.id] = a
	}
	for _, r := range w.fleet.AllRuns() {
		j.runs[r.ID] = append(j.runs[r.ID], r)
	}
	for _, problem := range w.fleet.Broken() {
		j.problem("replicas: %s", problem)
	}
	for _, a := range j.attempts {
		j.bytes(a)
		j.atMostOnce(a)
		j.placed(a)
		j.keys(a)
		j.denied(a)
		j.plannedStops(a)
		j.answered(a)
	}
	j.drain()
	j.versions()
	j.abandoned()
	j.retryBudget()
	j.served()
	for _, name := range w.crashedNodes() {
		j.problem("%s ended by itself", name)
	}
	return j.problems
}

func (j *judge) problem(format string, args ...any) {
	j.problems = append(j.problems, fmt.Sprintf(format, args...))
}

func (a *attempt) String() string {
	return fmt.Sprintf("%s %s at %s (life %d), sent %s, after %d ms: status %d whole %t closed %t hung %t",
		a.id, a.path, a.node.name, a.life, a.sentAt.Format("05.000"), a.endedAt.Sub(a.sentAt).Milliseconds(), a.status, a.whole, a.closed, a.hung)
}

// promise reports whether a status says that the request has not run.
func promise(status int) bool {
	return slices.Contains([]int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, status)
}

// bytes checks that a success holds the upstream's own whole answer.
func (j *judge) bytes(a *attempt) {
	if a.wrong != "" {
		j.problem("answer: %s: %v", a.wrong, a)
	}
}

// atMostOnce checks requests that may not be repeated.
func (j *judge) atMostOnce(a *attempt) {
	if a.kind != onceKind {
		return
	}
	if n := len(j.runs[a.id]); n > 1 {
		j.problem("ran %d times: %v", n, a)
	} else if n > 0 && promise(a.status) {
		j.problem("refused as not run, but ran: %v", a)
	}
}

// placed checks that a request ran at its route's service, as its key's team.
func (j *judge) placed(a *attempt) {
	service, team := plainService, rotatingTeam
	if a.kind == streamKind {
		service = generatingService
	}
	if a.key == steadyKey {
		team = steadyTeam
	}
	for _, r := range j.runs[a.id] {
		if r.Service != service || r.Tenant != team {
			j.problem("ran at %s as team %q: %v", r.Service, r.Tenant, a)
		}
	}
}

// keys checks that no key is honoured long after its removal.
func (j *judge) keys(a *attempt) {
	at, removed := j.removed[a.key]
	if removed && a.sentAt.After(at.Add(revokeBound)) && len(j.runs[a.id]) > 0 {
		j.problem("ran with a key that was removed %v before: %v", a.sentAt.Sub(at), a)
	}
}

// denied checks that nothing that has always been allowed is denied.
func (j *judge) denied(a *attempt) {
	always := a.key == steadyKey && !strings.HasPrefix(a.path, "/v")
	if always && a.status >= http.StatusBadRequest && a.status < http.StatusInternalServerError && !promise(a.status) && !a.signed {
		j.problem("denied: %v", a)
	}
}

// plannedStops checks that a node that stops as planned cuts nothing off.
func (j *judge) plannedStops(a *attempt) {
	if !a.closed || a.left {
		return
	}
	d, any := j.world.notes.during(a.node, a.sentAt, a.endedAt, true)
	if !any || !d.planned || d.node != a.node {
		return
	}
	if _, unplanned := j.world.notes.during(a.node, a.sentAt.Add(-contact), a.endedAt, false); unplanned {
		return
	}
	// What an upstream broke off is not the node's doing, unless it went on at
	// another one.
	if runs := j.runs[a.id]; len(runs) > 0 && runs[len(runs)-1].BrokenOff {
		return
	}
	// A request that crosses the end of the connection is not lost if it was
	// not passed on.
	late := a.sentAt.After(d.from.Add(contact)) && len(j.runs[a.id]) == 0
	if len(j.runs[a.id]) > 0 || !late && a.endedAt.Sub(a.sentAt) > lossSlack {
		j.problem("cut off by a planned stop: %v", a)
	}
}

// answered checks that calm nodes hold nothing past its time.
func (j *judge) answered(a *attempt) {
	if a.hung && j.world.notes.calm(a.node, a.sentAt, a.endedAt) {
		j.problem("no answer in time: %v", a)
	}
}

// drain checks that calm nodes send nothing to an engine that left long ago.
func (j *judge) drain() {
	for id, runs := range j.runs {
		a, known := j.byID[id]
		for _, r := range runs {
			if known && r.LeavingFor > drainBound && j.world.notes.calmFor(a.node, a.sentAt, r.At) {
				j.problem("sent to %s %v after it reported to leave: %v", r.Engine, r.LeavingFor, a)
			}
		}
	}
}

// calmFor is calm but for engines that leave as planned.
func (d *disturbances) calmFor(n *node, from, to time.Time) bool {
	_, any := d.during(n, from.Add(-contact), to, false)
	return !any
}

// versions checks that a node doesn't go back to an older configuration, and that
// calm nodes know a new one in time.
func (j *judge) versions() {
	type life struct {
		node *node
		n    int64
	}
	sorted := slices.Clone(j.attempts)
	slices.SortFunc(sorted, func(a, b *attempt) int { return a.sentAt.Compare(b.sentAt) })
	knownAt := map[life]map[int]time.Time{}
	for _, a := range sorted {
		var version int
		if _, err := fmt.Sscanf(a.path, "/v%d/", &version); err != nil {
			continue
		}
		l := life{a.node, a.life}
		if knownAt[l] == nil {
			knownAt[l] = map[int]time.Time{}
		}
		at, known := knownAt[l][version]
		missing := a.status == http.StatusNotFound
		if missing && known && a.sentAt.After(at.Add(rollback)) {
			j.problem("went back before version %d: %v", version, a)
		}
		if missing && a.sentAt.After(j.added[version].Add(applyBound)) && j.world.notes.calm(a.node, a.sentAt, a.endedAt) {
			j.problem("version %d not in force %v after its acknowledgement: %v", version, a.sentAt.Sub(j.added[version]), a)
		}
		if runs := j.runs[a.id]; len(runs) > 0 && !known {
			knownAt[l][version] = runs[0].At
		}
	}
}

// Bounds on what may go on after a caller has left.
const (
	goneAfter  = 500 * time.Millisecond
	goneSlack  = 300 * time.Millisecond
	goneFew    = 3
	goneShare  = 0.25
	leastShare = 0.25
)

// abandoned checks that work ends soon after its caller has left.
func (j *judge) abandoned() {
	late, worked, started := 0, 0, 0
	for _, a := range j.attempts {
		if !a.left || a.kind == onceKind || !j.world.notes.calm(a.node, a.sentAt, a.endedAt.Add(goneAfter)) {
			continue
		}
		for _, r := range j.runs[a.id] {
			if r.At.After(a.endedAt.Add(goneAfter)) {
				late++
			}
			started++
			if r.Ended.IsZero() || r.Ended.After(a.endedAt.Add(goneAfter+goneSlack)) {
				worked++
			}
		}
	}
	if late > goneFew {
		j.problem("%d requests were sent on after their callers had left", late)
	}
	if worked > goneFew && float64(worked) > goneShare*float64(started) {
		j.problem("engines went on with %d of %d requests whose callers had left", worked, started)
	}
}

// retryBudget checks the runs beyond the first of each request, in any window.
func (j *judge) retryBudget() {
	var requests, repeats []time.Time
	for _, a := range j.attempts {
		if a.kind == streamKind {
			requests = append(requests, a.sentAt)
		}
	}
	for id, runs := range j.runs {
		if a, known := j.byID[id]; known && a.kind == streamKind {
			for _, r := range runs[1:] {
				repeats = append(repeats, r.At)
			}
		}
	}
	for _, at := range repeats {
		from := at.Add(-retryWindow)
		n, asked := within(repeats, from, at), within(requests, from, at)
		if float64(n) > retryRatio*float64(asked)+retrySlack {
			j.problem("%d repeats for %d requests in %v", n, asked, retryWindow)
			return
		}
	}
}

func within(times []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(from) && !t.After(to) {
			n++
		}
	}
	return n
}

// served checks that the system served through it all. Nodes that start while the
// store is away know no configuration and rightly refuse everything, so what was
// sent then doesn't count.
func (j *judge) served() {
	n, of := 0, 0
	for _, a := range j.attempts {
		if j.world.notes.storeAway(a.sentAt) {
			continue
		}
		of++
		if a.status == http.StatusOK && a.whole {
			n++
		}
	}
	if float64(n) < leastShare*float64(of) {
		j.problem("%d of %d requests served", n, of)
	}
}
