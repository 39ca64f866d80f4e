package prooftest

import (
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/tamarackcleat/tamarackcleat/health"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/ledger"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
)

// member is a VM of the replica under test. It starts outside the replica.
type member struct {
	id port.VMID
	// changed holds the times at which the VM joined and left the replica, in turn.
	changed []time.Time
}

func (m *member) joined() bool { return len(m.changed)%2 == 1 }

// joinedSince reports whether the VM was in the replica at a time or later.
func (m *member) joinedSince(at time.Time) bool {
	return m.joined() || (len(m.changed) > 0 && !m.changed[len(m.changed)-1].Before(at))
}

// pendingProbe is a probe whose result the health service has not handled. The VM
// has answered it if report is set.
type pendingProbe struct {
	vm     port.VMID
	at     time.Time
	report *port.Report
}

// healthHarness runs a health service with the simulated VMs of one replica and
// the probes that are pending between them.
type healthHarness struct {
	t          *rapid.T
	now        time.Time
	service    *health.Service
	generation record.Position
	members    []*member
	probes     []pendingProbe
	timers     []envelope
	// checkBeforeTimers makes advance call check before the service has handled
	// its due timers, as after a pause. The service then still counts the replica
	// as eligible by reports that have expired, so check must fail in some run.
	checkBeforeTimers bool
}

func newHealthHarness(t *rapid.T) *healthHarness {
	w := &healthHarness{t: t, now: time.UnixMilli(startMillis), generation: record.At(1, 0)}
	control := ledger.NewControl()
	term := record.At(0, 0)
	control.Apply(term, record.Record{ID: "lease", Lease: &record.LeaseClaim{Holder: "n"}})
	form := &record.Formation{Term: term, Replica: "r", Model: "m", VMs: []port.VMID{"v1", "v2"}}
	control.Apply(w.generation, record.Record{ID: "form", Form: form})
	w.service = health.New("n", func(time.Time) []string { return nil }, func(time.Time) bool { return true }, control, rand.New(rand.NewPCG(1, 1)))
	inventory := health.InventoryFetched{Models: port.ModelList{Models: []port.Model{{Name: "m"}}}}
	for _, id := range form.VMs {
		w.members = append(w.members, &member{id: id})
		inventory.VMs = append(inventory.VMs, port.VM{ID: id, Kind: port.KindEngine, Address: string(id)})
	}
	w.perform(w.service.Start(w.now))
	w.handle(inventory)
	return w
}

func (w *healthHarness) handle(msg kernel.Message) { w.perform(w.service.Handle(w.now, msg)) }

func (w *healthHarness) perform(effects []kernel.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case health.Probe:
			w.probes = append(w.probes, pendingProbe{vm: e.VM, at: e.SentAt})
		case kernel.SetTimer:
			w.timers = append(w.timers, envelope{at: w.now.Add(e.After), msg: e.Msg})
		}
	}
}

// toggleMember makes a drawn VM join the replica, or leave it if it is a member.
func (w *healthHarness) toggleMember(t *rapid.T) {
	m := rapid.SampledFrom(w.members).Draw(t, "member")
	m.changed = append(m.changed, w.now)
}

// answer makes a VM answer a drawn probe with its present state, unless the probe was
// answered before.
func (w *healthHarness) answer(t *rapid.T) {
	if len(w.probes) == 0 {
		t.Skip("no probe")
	}
	p := &w.probes[rapid.IntRange(0, len(w.probes)-1).Draw(t, "probe")]
	if p.report != nil {
		return
	}
	p.report = &port.Report{VM: p.vm, State: port.EngineIdle}
	for _, m := range w.members {
		if m.id == p.vm && m.joined() {
			p.report = &port.Report{VM: p.vm, State: port.EngineReady, Replica: "r", Generation: int64(w.generation), Model: "m", Slots: 8}
		}
	}
}

// deliver makes the service handle the first probe that was answered.
func (w *healthHarness) deliver(t *rapid.T) {
	i := slices.IndexFunc(w.probes, func(p pendingProbe) bool { return p.report != nil })
	if i < 0 {
		t.Skip("no answer")
	}
	p := w.probes[i]
	w.probes = slices.Delete(w.probes, i, i+1)
	w.handle(health.Probed{VM: p.vm, SentAt: p.at, Report: *p.report})
}

// advance moves the time on by a drawn span. The service handles the timers due
// by then only at the end of the span, as if it had been paused.
func (w *healthHarness) advance(t *rapid.T) {
	w.now = w.now.Add(rapid.SampledFrom([]time.Duration{100 * time.Millisecond, time.Second, 4 * time.Second}).Draw(t, "time"))
	if w.checkBeforeTimers {
		w.check(t)
	}
	due := w.timers
	w.timers = nil
	for _, e := range due {
		if e.at.After(w.now) {
			w.timers = append(w.timers, e)
			continue
		}
		w.handle(e.msg)
	}
}

// check fails if the replica is eligible although one of its VMs has not been in
// it within health.ReportTTL. check first sends the service a message that makes it
// evaluate its reports at the present time. If checkBeforeTimers is set, no message
// is sent, so that a service that has not handled its due timers yet is checked as
// it is.
func (w *healthHarness) check(t *rapid.T) {
	if !w.checkBeforeTimers {
		w.handle(health.Suspected{Upstream: "nobody"})
	}
	if len(w.service.Eligible()) == 0 {
		return
	}
	for _, m := range w.members {
		if !m.joinedSince(w.now.Add(-health.ReportTTL)) {
			t.Fatalf("the replica is eligible at %v, but %s has not been in it within the validity of a report; it joined and left at %v", w.now, m.id, m.changed)
		}
	}
}

// freshness returns the property that a replica is eligible only as check allows.
// It adds to eligible the number of eligible upstreams after each action.
func freshness(checkBeforeTimers bool, eligible *int) func(*rapid.T) {
	return func(t *rapid.T) {
		w := newHealthHarness(t)
		w.checkBeforeTimers = checkBeforeTimers
		t.Repeat(map[string]func(*rapid.T){
			"order":   w.toggleMember,
			"answer":  w.answer,
			"deliver": w.deliver,
			"pass":    w.advance,
			"": func(t *rapid.T) {
				w.check(t)
				*eligible += len(w.service.Eligible())
			},
		})
	}
}

var _ = Describe("a replica", func() {
	It("is eligible only if each VM was in it within the validity of a report", func() {
		eligible := 0
		rapid.Check(GinkgoT(), freshness(false, &eligible))
		Expect(eligible).To(BeNumerically(">", 0), "the replica must be eligible at some time")
	})

	It("is wrongly eligible by an evaluation from before a pause", func() {
		eligible := 0
		Expect(fails(freshness(true, &eligible))).To(BeTrue())
	})
})
