package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/tamarackcleat/tamarackcleat/api"
	"github.com/tamarackcleat/tamarackcleat/bootclock"
	"github.com/tamarackcleat/tamarackcleat/dispatch"
	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// explainRoute says where a request would go now. It runs the code that places requests
// with Balancer.Explain in the place of Pick, so it takes no place, no permit of a cold
// upstream and no retry. Like each request, it updates how many other nodes this one sees.
// The API key and the parts of the prompt are not checked. priority overrides that of the
// route if it is not nil.
func (n *Node) explainRoute(req *Request, priority *int) api.RouteExplanation {
	f := &forwarder{node: n, req: req, arrivedAt: time.Now()}
	if priority != nil {
		f.team = fleet.Team{Priority: *priority, HasPriority: true}
	}
	f.takeView()
	out := api.RouteExplanation{
		Node: n.id, Model: req.Model, Outcome: api.RouteSent, Candidates: []api.RouteCandidate{},
		ConfigAgeMs: f.configAge().Milliseconds(), ReportsAgeMs: (bootclock.Now() - n.ReportsVerifiedAt()).Milliseconds(),
	}
	e := f.prepareExplanation(&out)
	if e == nil {
		e = f.explainPlace(&out)
	}
	if e != nil {
		out.Reason, out.Detail = e.Reason, e.Detail
		if out.Outcome != api.RouteWaits {
			out.Outcome = api.RouteRefused
		}
	}
	return out
}

// prepareExplanation finds the request's route and service, and returns the refusal if
// there is none.
func (f *forwarder) prepareExplanation(out *api.RouteExplanation) *verdict.Error {
	if f.view.Config == nil {
		return refuseNoConfig()
	}
	out.ConfigVersion = f.view.Config.Version
	if e := f.resolveRoute(); e != nil {
		return e
	}
	f.setDeadline()
	out.Route, out.Service, out.Priority, out.LatencyTargetMs = f.route.Name, f.service.Name, f.priority(), f.route.LatencyTarget.Milliseconds()
	return f.refuseStopping()
}

// explainPlace describes the upstreams and returns why none takes the request now; nil if
// one does.
func (f *forwarder) explainPlace(out *api.RouteExplanation) *verdict.Error {
	pool := upstreamPool{f.service.Name, f.model()}
	lines := f.node.pauseLines
	alone := lines.empty(pool)
	e := f.explainPick(!alone, out)
	if cut := f.refuseCutOff(); cut != nil {
		e = cut
	}
	if !joinsLine(alone, e) {
		return e
	}
	if tooLong := f.placeAfter(f.pauseLimit()); tooLong != nil {
		return tooLong
	}
	if lines.full(pool) {
		return f.refusePaused()
	}
	out.Outcome = api.RouteWaits
	return e
}

// explainPick is pick with an explanation in the place of an assignment.
func (f *forwarder) explainPick(neverPaused bool, out *api.RouteExplanation) *verdict.Error {
	s := f.filter()
	req := f.dispatchRequest(nil, false, neverPaused)
	// explained holds the explanations of the warm and, if they matter, the cold upstreams.
	var explained []dispatch.Explanation
	shortage := f.pickWarmFirst(s.warm, s.cold, req.Exclude, func(targets []fleet.Target) dispatch.Shortage {
		explained = append(explained, f.node.balancer.Explain(time.Now(), f.service.Engine, targets, req))
		return explained[len(explained)-1].Shortage
	})
	last := explained[len(explained)-1]
	out.AdmissionLimitMs, out.Unreported = last.Limit.Milliseconds(), last.Unreported
	out.Peers, out.PeerLoadAgeMs, out.MeanPeerLoadAgeMs = last.Peers, last.PeerLoadAge.Milliseconds(), last.MeanPeerLoadAge.Milliseconds()
	out.Candidates = append(f.considered(s.view, explained), f.filteredOut(s, len(explained) > 1)...)
	out.Candidates = append(out.Candidates, f.notTargets(s)...)
	slices.SortStableFunc(out.Candidates, compareCandidates)
	f.node.state.setReportAges(out.Candidates)
	return f.refuseShortage(shortage, len(s.warm)+len(s.cold), req, last.Closest)
}

// compareCandidates orders candidates by their share, those that are not excluded before
// the others.
func compareCandidates(a, b api.RouteCandidate) int {
	return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(a.Excluded, b.Excluded), cmp.Compare(a.Upstream, b.Upstream))
}

// considered returns the upstreams that the balancer considered.
func (f *forwarder) considered(v *fleet.View, explained []dispatch.Explanation) []api.RouteCandidate {
	out := []api.RouteCandidate{}
	for _, e := range explained {
		for _, c := range e.Candidates {
			r := routeCandidate(v, c.Target, string(c.Excluded))
			r.Share, r.Load, r.PendingPromptTokens, r.PauseMs = c.Share, c.Load.InFlight, c.Load.PendingPromptTokens, c.Pause.Milliseconds()
			if f.service.Engine != nil && c.Predicted > 0 {
				ms := float64(c.Predicted.Microseconds()) / 1e3
				r.PredictedMs = &ms
			}
			out = append(out, r)
		}
	}
	return out
}

// filteredOut returns the upstreams that the balancer did not consider, each with the filter
// that excludes it. coldConsidered says that the balancer considered the cold ones.
func (f *forwarder) filteredOut(s filtered, coldConsidered bool) []api.RouteCandidate {
	out := f.missing(s.view, s.all, s.inUse, api.ExcludedZoneEvacuated)
	out = append(out, f.missing(s.view, s.inUse, s.stay, api.ExcludedLeaving)...)
	out = append(out, f.missing(s.view, s.stay, slices.Concat(s.warm, s.cold), api.ExcludedColdNoPermit)...)
	if !coldConsidered {
		out = append(out, f.missing(s.view, s.cold, nil, api.ExcludedColdNotNeeded)...)
	}
	return out
}

// missing returns the targets of before that after lacks.
func (f *forwarder) missing(v *fleet.View, before, after []fleet.Target, excluded string) []api.RouteCandidate {
	kept := make(map[string]bool, len(after))
	for _, t := range after {
		kept[t.InstanceKey()] = true
	}
	var out []api.RouteCandidate
	for _, t := range before {
		if !kept[t.InstanceKey()] {
			r, l := routeCandidate(v, t, excluded), f.node.TotalLoad(t)
			r.Load, r.PendingPromptTokens = l.InFlight, l.PendingPromptTokens
			out = append(out, r)
		}
	}
	return out
}

// notTargets returns the VMs of a plain service, or the heads of the model's replicas, that
// the view does not list as targets.
func (f *forwarder) notTargets(s filtered) []api.RouteCandidate {
	listed := make(map[string]bool, len(s.all))
	for _, t := range s.all {
		listed[t.ID] = true
	}
	var out []api.RouteCandidate
	for vm := range s.view.All() {
		isHead := f.service.Engine == nil || vm.Member.Replica != "" && vm.Member.Rank == 0 && vm.Model == f.model()
		if vm.Service != f.service.Name || !isHead || listed[vm.ID] {
			continue
		}
		out = append(out, api.RouteCandidate{Upstream: vm.ID, Replica: vm.Member.Replica, Zone: vm.Zone, Excluded: notTargetReason(vm)})
	}
	return out
}

// notTargetReason returns why a VM that could take requests is not a target.
func notTargetReason(vm fleet.VM) string {
	switch {
	case vm.Leaving:
		return api.ExcludedLeaving
	case vm.Unlisted:
		return api.ExcludedUnlisted
	}
	return api.ExcludedNotServing
}

// routeCandidate returns the description of a target.
func routeCandidate(v *fleet.View, t fleet.Target, excluded string) api.RouteCandidate {
	return api.RouteCandidate{
		Upstream: t.ID, Replica: t.Replica, Zone: t.Zone, Excluded: excluded,
		ColdMs: max(0, v.TargetColdUntil(t)-bootclock.Now()).Milliseconds(),
	}
}

// setReportAges sets the ages of the upstreams' latest reports.
func (s *state) setReportAges(candidates []api.RouteCandidate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := bootclock.Now()
	for i, c := range candidates {
		if vm := s.latest(c.Upstream); vm.ID != "" {
			candidates[i].ReportAgeMs = (now - vm.LastSeen).Milliseconds()
		}
	}
}
