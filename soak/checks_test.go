package soak_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/tamarackcleat/tamarackcleat/platform/standin"
)

// checker checks the guarantees after a run.
type checker struct {
	system   *testSystem
	attempts []*attempt
	// byID holds the attempts by id. runs holds the executions of each attempt's
	// request that the engines recorded, by attempt id.
	byID         map[string]*attempt
	runs         map[string][]standin.Run
	routeAddedAt map[int]time.Time
	keyRemovedAt map[string]time.Time
	violations   []string
}

// violations returns descriptions of the violated guarantees.
func (s *testSystem) violations() []string {
	c := s.newChecker()
	for _, problem := range s.fleet.Violations() {
		c.addViolation("replicas: %s", problem)
	}
	for _, a := range c.attempts {
		c.checkResponse(a)
		c.checkAtMostOnce(a)
		c.checkRouting(a)
		c.checkRemovedKeys(a)
		c.checkNotDenied(a)
		c.checkPlannedStops(a)
		c.checkAnsweredInTime(a)
	}
	c.checkLeavingEngines()
	c.checkEvacuations()
	c.checkLease()
	c.checkNotices()
	c.checkConfigVersions()
	c.checkAbandoned()
	c.checkRetryBudget()
	c.checkAvailability()
	c.checkMemory()
	for _, name := range s.crashedNodes() {
		c.addViolation("process of %s ended unexpectedly", name)
	}
	return c.violations
}

// newChecker returns a checker of what was recorded so far.
func (s *testSystem) newChecker() *checker {
	c := &checker{system: s, attempts: s.attempts.list(), byID: map[string]*attempt{}, runs: map[string][]standin.Run{}}
	c.routeAddedAt, c.keyRemovedAt = s.configs.snapshot()
	for _, a := range c.attempts {
		c.byID[a.id] = a
	}
	for _, r := range s.fleet.AllRuns() {
		c.runs[r.ID] = append(c.runs[r.ID], r)
	}
	return c
}

func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (a *attempt) String() string {
	return fmt.Sprintf("%s %s at %s (incarnation %d), sent %s, after %d ms: status %d complete %t closed %t timed out %t",
		a.id, a.path, a.node.name, a.incarnation, a.sentAt.Format("05.000"), a.endedAt.Sub(a.sentAt).Milliseconds(), a.status, a.complete, a.closed, a.timedOut)
}

// refusesAsNotRun reports whether a status tells the caller that the request was not
// run.
func refusesAsNotRun(status int) bool {
	return slices.Contains([]int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, status)
}

// checkResponse checks that a success is the unchanged and complete response of the
// upstream.
func (c *checker) checkResponse(a *attempt) {
	if a.mismatch != "" {
		c.addViolation("response: %s: %v", a.mismatch, a)
	}
}

// checkAtMostOnce checks that a request that must not be repeated ran at most once,
// and not at all if it was refused as not run.
func (c *checker) checkAtMostOnce(a *attempt) {
	if a.kind != onceKind {
		return
	}
	if n := len(c.runs[a.id]); n > 1 {
		c.addViolation("ran %d times: %v", n, a)
	} else if n > 0 && refusesAsNotRun(a.status) {
		c.addViolation("refused as not run, but ran: %v", a)
	}
}

// checkRouting checks that a request ran at the service of its route and for the
// team that its API key belongs to.
func (c *checker) checkRouting(a *attempt) {
	service, team := plainService, rotatingTeam
	if a.kind == streamKind {
		service = generatingService
	}
	if a.key == steadyKey {
		team = steadyTeam
	}
	for _, r := range c.runs[a.id] {
		if r.Service != service || r.Tenant != team {
			c.addViolation("ran at %s as team %q: %v", r.Service, r.Tenant, a)
		}
	}
}

// checkRemovedKeys checks that no request runs with a key that was removed more than
// revokeBound before the request was sent. If a restoration of the store lost the removal
// before that, the time counts from when the operator wrote it again.
func (c *checker) checkRemovedKeys(a *attempt) {
	removedAt, wasRemoved := c.keyRemovedAt[a.key]
	if !wasRemoved || len(c.runs[a.id]) == 0 {
		return
	}
	if a.sentAt.After(c.dueAt(a, removedAt, revokeBound, a.endedAt, true, afterWriting)) {
		c.addViolation("ran with a key that had been removed %v earlier: %v", a.sentAt.Sub(removedAt), a)
	}
}

// checkNotDenied checks that a node doesn't deny a request whose route and key are
// in every version of the configuration.
func (c *checker) checkNotDenied(a *attempt) {
	alwaysAllowed := a.key == steadyKey && !strings.HasPrefix(a.path, "/v")
	if alwaysAllowed && a.status >= http.StatusBadRequest && a.status < http.StatusInternalServerError && !refusesAsNotRun(a.status) && !a.fromUpstream {
		c.addViolation("denied although every version of the configuration allows it: %v", a)
	}
}

// checkPlannedStops checks that a planned operation on a node, which is a graceful
// stop or a reload of the settings, breaks off no request.
func (c *checker) checkPlannedStops(a *attempt) {
	if !a.closed || a.left {
		return
	}
	record, found := c.system.faults.overlapping(a.node, a.sentAt, a.endedAt, true)
	if !found || !record.planned || record.node != a.node {
		return
	}
	if _, unplanned := c.system.faults.overlapping(a.node, a.sentAt.Add(-contactBound), a.endedAt, false); unplanned {
		return
	}
	// If the upstream that last ran the request broke it off, the node is not the
	// cause.
	if runs := c.runs[a.id]; len(runs) > 0 && runs[len(runs)-1].Aborted {
		return
	}
	// A request that never ran at an upstream is tolerated if it failed within
	// closeRaceTolerance, because the node was closing the connection when the
	// request arrived, or if it was sent more than contactBound after the start
	// of the operation.
	lateAndNotRun := a.sentAt.After(record.from.Add(contactBound)) && len(c.runs[a.id]) == 0
	if len(c.runs[a.id]) > 0 || !lateAndNotRun && a.endedAt.Sub(a.sentAt) > closeRaceTolerance {
		c.addViolation("broken off by a planned operation on the node: %v", a)
	}
}

// checkAnsweredInTime checks that a node that no fault affects answers within the
// deadline and deadlineSlack.
func (c *checker) checkAnsweredInTime(a *attempt) {
	if a.timedOut && c.system.faults.faultFree(a.node, a.sentAt, a.endedAt) {
		c.addViolation("no response in time: %v", a)
	}
}

// mustKnow reports whether the node that an attempt reached must know until time to what the
// store has acknowledged: no fault but planned operations affected it since the attempt was
// sent, or none of its own and of the store since contactBound before.
func (c *checker) mustKnow(a *attempt, to time.Time) bool {
	l := c.system.faults
	return l.faultFreeExceptPlanned(a.node, a.sentAt, to) || l.informed(a.node, a.sentAt.Add(-contactBound), to)
}

// checkLeavingEngines checks that a node sends no request to an engine that has been
// leaving for more than drainBound. It ignores nodes that a fault may have kept from being
// informed.
func (c *checker) checkLeavingEngines() {
	for id, runs := range c.runs {
		a, known := c.byID[id]
		for _, r := range runs {
			if known && r.LeavingFor > drainBound && r.At.After(c.dueAt(a, r.At.Add(-r.LeavingFor), drainBound, r.At, false, afterReturn)) && c.mustKnow(a, r.At) {
				c.addViolation("sent to %s %v after it reported that it is leaving: %v", r.Engine, r.LeavingFor, a)
			}
		}
	}
}

const (
	// pauseBound is how long after an engine has asked a node for a pause the node may
	// still send it requests, and tolerated the number of those that may come later.
	pauseBound     = 500 * time.Millisecond
	toleratedPause = 2
)

// checkNotices checks that a process of a node sends no request to an engine that a caller
// sent later than drainBound after the engine had told that process in an answer that it is
// leaving, and no more than toleratedPause requests in a pause that the engine had asked it
// for. It ignores what was told before the last unplanned fault.
func (c *checker) checkNotices() {
	type process struct {
		node        *node
		incarnation int64
		upstream    int64
		pause       time.Time
	}
	for _, u := range slices.Concat(c.system.generators, c.system.plainUpstreams) {
		told, late := map[process]time.Time{}, map[process]int{}
		for _, arrival := range u.Arrivals() {
			a, known := c.byID[arrival.ID]
			if !known {
				continue
			}
			p := process{a.node, a.incarnation, arrival.Incarnation, arrival.PausedUntil}
			at, wasTold := told[p]
			if !wasTold || !c.system.faults.faultFreeExceptPlanned(a.node, at, arrival.At) {
				told[p] = arrival.At
				continue
			}
			if arrival.Leaving && a.sentAt.After(at.Add(drainBound)) {
				c.addViolation("sent to %s %v after it had answered that it is leaving: %v", u.ID, a.sentAt.Sub(at), a)
			}
			if !arrival.PausedUntil.IsZero() && arrival.At.After(at.Add(pauseBound)) {
				if late[p]++; late[p] == toleratedPause+1 {
					c.addViolation("more than %d requests sent to %s in its pause, the last %v after it had asked for it: %v", toleratedPause, u.ID, arrival.At.Sub(at), a)
				}
			}
		}
	}
}

// faultFreeExceptPlanned is faultFree, but ignores planned operations.
func (l *faultLog) faultFreeExceptPlanned(n *node, from, to time.Time) bool {
	_, found := l.overlapping(n, from.Add(-contactBound), to, false)
	return !found
}

// checkConfigVersions checks that a node doesn't return to an older configuration,
// and that a node that no fault other than a planned operation affects applies a new one
// within applyBound, as far as dueAt doesn't say otherwise.
func (c *checker) checkConfigVersions() {
	type incarnation struct {
		node   *node
		number int64
	}
	sorted := slices.Clone(c.attempts)
	slices.SortFunc(sorted, func(a, b *attempt) int { return a.sentAt.Compare(b.sentAt) })
	inForceAt := map[incarnation]map[int]time.Time{}
	for _, a := range sorted {
		var version int
		if _, err := fmt.Sscanf(a.path, "/v%d/", &version); err != nil {
			continue
		}
		i := incarnation{a.node, a.incarnation}
		if inForceAt[i] == nil {
			inForceAt[i] = map[int]time.Time{}
		}
		since, known := inForceAt[i][version]
		missing := a.status == http.StatusNotFound
		if missing && known && a.sentAt.After(since.Add(rollbackTolerance)) {
			c.addViolation("returned to a configuration before version %d: %v", version, a)
		}
		if missing && a.sentAt.After(c.dueAt(a, c.routeAddedAt[version], applyBound, a.endedAt, true, afterBoth)) && c.system.faults.faultFreeExceptPlanned(a.node, a.sentAt, a.endedAt) {
			c.addViolation("version %d not in force %v after its acknowledgement: %v", version, a.sentAt.Sub(c.routeAddedAt[version]), a)
		}
		if runs := c.runs[a.id]; len(runs) > 0 && !known {
			inForceAt[i][version] = runs[0].At
		}
	}
}

// Bounds on the work for callers that have left, and on the share of requests that
// are served.
const (
	sendAfterLeaveLimit = 500 * time.Millisecond
	engineStopSlack     = 300 * time.Millisecond
	toleratedRequests   = 3
	maxContinuedShare   = 0.25
	minServedShare      = 0.25
)

// checkAbandoned checks that the work on a request that may run more than once ends
// soon after its caller has disconnected. At most toleratedRequests requests are sent
// to an engine later than sendAfterLeaveLimit after that. Engines may still work on a
// request engineStopSlack after that limit in at most toleratedRequests cases or in
// the share maxContinuedShare of the executions, whichever is more.
func (c *checker) checkAbandoned() {
	sentLate, continued, started := 0, 0, 0
	for _, a := range c.attempts {
		if !a.left || a.kind == onceKind || !c.system.faults.faultFree(a.node, a.sentAt, a.endedAt.Add(sendAfterLeaveLimit)) {
			continue
		}
		for _, r := range c.runs[a.id] {
			if r.At.After(a.endedAt.Add(sendAfterLeaveLimit)) {
				sentLate++
			}
			started++
			if r.Ended.IsZero() || r.Ended.After(a.endedAt.Add(sendAfterLeaveLimit+engineStopSlack)) {
				continued++
			}
		}
	}
	if sentLate > toleratedRequests {
		c.addViolation("%d requests were sent to engines after their callers had left", sentLate)
	}
	if continued > toleratedRequests && float64(continued) > maxContinuedShare*float64(started) {
		c.addViolation("engines continued %d of %d requests whose callers had left", continued, started)
	}
}

// checkRetryBudget checks that the number of retries of streams, which are the runs
// after the first of each request, stays within the budget in every retryWindow.
func (c *checker) checkRetryBudget() {
	var requests, retries []time.Time
	for _, a := range c.attempts {
		if a.kind == streamKind {
			requests = append(requests, a.sentAt)
		}
	}
	for id, runs := range c.runs {
		if a, known := c.byID[id]; known && a.kind == streamKind {
			for _, r := range runs[1:] {
				retries = append(retries, r.At)
			}
		}
	}
	for _, at := range retries {
		from := at.Add(-retryWindow)
		retryCount, requestCount := countWithin(retries, from, at), countWithin(requests, from, at)
		if float64(retryCount) > retryRatio*float64(requestCount)+retrySlack {
			c.addViolation("%d retries for %d requests in %v", retryCount, requestCount, retryWindow)
			return
		}
	}
}

// countWithin returns how many times are after from and not after to.
func countWithin(times []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(from) && !t.After(to) {
			n++
		}
	}
	return n
}

// checkAvailability checks that at least minServedShare of the requests succeeded
// during the run. Nodes that start while the store is down have no configuration and
// rightly refuse everything, so requests sent at such times don't count.
func (c *checker) checkAvailability() {
	served, sent := 0, 0
	for _, a := range c.attempts {
		if c.system.faults.storeDown(a.sentAt) {
			continue
		}
		sent++
		if a.status == http.StatusOK && a.complete {
			served++
		}
	}
	if float64(served) < minServedShare*float64(sent) {
		c.addViolation("%d of %d requests served", served, sent)
	}
}
