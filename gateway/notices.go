package gateway

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/bootclock"
	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/notice"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// Causes for which a request is not written to the upstream that it was assigned to.
var (
	errUpstreamLeaving = errors.New("the upstream is leaving")
	errUpstreamGone    = errors.New("the upstream stopped taking requests")
	errUpstreamPaused  = errors.New("the upstream wants no further requests now")
)

// heed acts on what an upstream says of itself in its answer to a request or an order; who
// names the request or the order.
func (n *Node) heed(i fleet.Incarnation, said notice.Notice, who string) {
	if said.Unused != "" {
		n.count("upstream.unused_word." + string(said.Unused))
		n.logger.Warn(decisions.UpstreamUnusedWord, "upstream", i.ID, "problem", said.Unused, "pause_ms", said.Pause.Milliseconds(), "request", who)
	}
	if said.UnusedCold != "" {
		n.count("upstream.unused_word.cold_" + string(said.UnusedCold))
		n.logger.Warn(decisions.UpstreamUnusedWord, "upstream", i.ID, "problem", said.UnusedCold, "cold_ms", said.Cold.Milliseconds(), "request", who)
	}
	if said.Cold > 0 {
		n.markCold(i, said.Cold, true, "request", who)
	}
	if said.Leaving {
		n.markLeaving(i, true, "request", who)
	}
	if said.Pause > 0 && n.balancer.Pause(time.Now(), i, said.Pause) {
		n.count("upstream.paused")
		n.logger.Info(decisions.UpstreamPaused, "upstream", i.ID, "boot", i.Boot, "pause_ms", said.Pause.Milliseconds(), "told_request", who)
		n.pauseLines.wakeAll()
	}
}

// NoticesOf returns the function that takes what a VM says of itself in its answer to an
// order that is sent now. What it says holds for the VM's present incarnation.
func (n *Node) NoticesOf(vm string) func(notice.Notice) {
	v, known := n.View().VM(vm)
	if !known {
		return func(notice.Notice) {}
	}
	return func(said notice.Notice) { n.heed(v.Incarnation(), said, "order") }
}

// expireNotices drops what ended incarnations of upstreams have said.
func (n *Node) expireNotices(now time.Time) {
	n.state.expireLeaving(bootclock.Now())
	n.state.expireGone(bootclock.Now())
	n.expireCold()
	v := n.View()
	n.balancer.RetainPauses(now, func(i fleet.Incarnation) bool {
		// A pause outlasts the absence of the upstream's record.
		vm, known := v.VM(i.ID)
		return !known || vm.Boot == i.Boot
	})
}

// mayWrite returns why a request must not be written to its upstream now; nil if it may. A
// request to a cold upstream then counts as written.
// Queueing and connecting take time, in which the upstream may have said that it is leaving
// or wants no requests, or its zone may have been evacuated.
func (n *Node) mayWrite(t *try) error {
	target, v := t.assignment.Target, n.View()
	vm, known := v.VM(target.ID)
	switch {
	case n.cutOff():
		return errCutOff
	case !known || vm.Boot != target.Boot || vm.Unlisted:
		return errUpstreamGone
	case vm.Leaving:
		return errors.Wrapf(errUpstreamLeaving, "known for %d ms", (bootclock.Now() - vm.LeavingSince).Milliseconds())
	case v.Evacuated(vm.Zone):
		return errors.Wrapf(errZoneEvacuated, "zone %s", vm.Zone)
	case !n.balancer.MaySend(time.Now(), &t.assignment):
		return errors.Wrapf(errUpstreamPaused, "pause for %d ms more", n.balancer.PauseRemaining(time.Now(), target.Incarnation()).Milliseconds())
	case !n.takeColdPermit(v, vm):
		return errUpstreamCold
	}
	return nil
}

// notSent returns the failure for a request that no byte was sent of.
func (f *forwarder) notSent(t *try, err error) *verdict.Error {
	reason := verdict.ReasonConnect
	switch {
	case errors.Is(err, errUpstreamGone):
		reason = verdict.ReasonUpstreamGone
	case errors.Is(err, errUpstreamLeaving):
		reason = verdict.ReasonUpstreamLeaving
	case errors.Is(err, errUpstreamPaused):
		reason = verdict.ReasonUpstreamPaused
	case errors.Is(err, errZoneEvacuated):
		reason = verdict.ReasonZoneEvacuated
	case errors.Is(err, errUpstreamCold):
		reason = verdict.ReasonUpstreamCold
	case errors.Is(err, errCutOff):
		reason = verdict.ReasonConfigStale
	case errors.Is(err, errNoTunnel):
		reason = verdict.ReasonNoPath
	}
	t.withheld = reason != verdict.ReasonConnect && reason != verdict.ReasonNoPath
	return verdict.Refuse(reason, "%v", err).WithRetryAfter(retryAfterFailure)
}

// refusalReason returns the reason for an upstream's refusal that says nothing else.
func refusalReason(said notice.Notice) verdict.Reason {
	switch {
	case said.Pause > 0:
		return verdict.ReasonUpstreamPaused
	case said.Leaving:
		return verdict.ReasonUpstreamLeaving
	}
	return verdict.ReasonUpstreamBusy
}

// maxWithheld bounds how often one request is assigned to an upstream and not written.
const maxWithheld = 8

// noteWithheld takes back what a try counts that was not written, and lifts the exclusion
// of an upstream that wants no requests now: its pause keeps them from it.
func (f *forwarder) noteWithheld(t *try, e *verdict.Error) {
	f.withheld = t.withheld
	if t.withheld {
		f.sends--
		f.withheldCount++
		f.node.count("withheld." + string(e.Reason))
	}
	if t.withheld || e.Reason == verdict.ReasonUpstreamPaused {
		key := t.assignment.Target.InstanceKey()
		f.exclude = withoutKey(f.exclude, key)
	}
}

// withoutKey returns a list without a key; it does not change the list.
func withoutKey(list []string, key string) []string {
	out := make([]string, 0, len(list))
	for _, k := range list {
		if k != key {
			out = append(out, k)
		}
	}
	return out
}
