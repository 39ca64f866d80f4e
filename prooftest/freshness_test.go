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

// member is a VM of the one replica, with the times at which it left and
// joined the replica in turn. It starts outside.
type member struct {
	id      port.VMID
	changed []time.Time
}

func (m *member) joined() bool { return len(m.changed)%2 == 1 }

// joinedSince reports whether the VM was in the replica at or after a time.
func (m *member) joinedSince(at time.Time) bool {
	return m.joined() || (len(m.changed) > 0 && !m.changed[len(m.changed)-1].Before(at))
}

// asked is a probe on its way; the VM has answered it if report is set.
type asked struct {
	vm     port.VMID
	at     time.Time
	report *port.Report
}

// watch is a health service, the VMs of one replica and the probes between.
type watch struct {
	t          *rapid.T
	now        time.Time
	service    *health.Service
	generation record.Position
	members    []*member
	probes     []asked
	timers     []envelope
	// lateLook judges by a state that a pause has made old.
	lateLook bool
}

func newWatch(t *rapid.T) *watch {
	w := &watch{t: t, now: time.UnixMilli(start), generation: record.At(1, 0)}
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

func (w *watch) handle(msg kernel.Message) { w.perform(w.service.Handle(w.now, msg)) }

func (w *watch) perform(effects []kernel.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case health.Probe:
			w.probes = append(w.probes, asked{vm: e.VM, at: e.SentAt})
		case kernel.SetTimer:
			w.timers = append(w.timers, envelope{at: w.now.Add(e.After), msg: e.Msg})
		}
	}
}

// orderAMember lets a VM leave or join the replica.
func (w *watch) orderAMember(t *rapid.T) {
	m := rapid.SampledFrom(w.members).Draw(t, "member")
	m.changed = append(m.changed, w.now)
}

// answer lets a VM answer a probe with its state of now.
func (w *watch) answer(t *rapid.T) {
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

// deliver lets the service handle an answer.
func (w *watch) deliver(t *rapid.T) {
	i := slices.IndexFunc(w.probes, func(p asked) bool { return p.report != nil })
	if i < 0 {
		t.Skip("no answer")
	}
	p := w.probes[i]
	w.probes = slices.Delete(w.probes, i, i+1)
	w.handle(health.Probed{VM: p.vm, SentAt: p.at, Report: *p.report})
}

// pass lets time pass. The service may be paused meanwhile: its timers go off
// only at the end.
func (w *watch) pass(t *rapid.T) {
	w.now = w.now.Add(rapid.SampledFrom([]time.Duration{100 * time.Millisecond, time.Second, 4 * time.Second}).Draw(t, "time"))
	if w.lateLook {
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

// check judges now and compares with the members' own past.
func (w *watch) check(t *rapid.T) {
	if !w.lateLook {
		w.handle(health.Suspected{Upstream: "nobody"})
	}
	if len(w.service.Eligible()) == 0 {
		return
	}
	for _, m := range w.members {
		if !m.joinedSince(w.now.Add(-health.ReportTTL)) {
			t.Fatalf("the replica is eligible at %v, but %s was last in it before that: %v", w.now, m.id, m.changed)
		}
	}
}

func freshness(lateLook bool, eligible *int) func(*rapid.T) {
	return func(t *rapid.T) {
		w := newWatch(t)
		w.lateLook = lateLook
		t.Repeat(map[string]func(*rapid.T){
			"order":   w.orderAMember,
			"answer":  w.answer,
			"deliver": w.deliver,
			"pass":    w.pass,
			"": func(t *rapid.T) {
				w.check(t)
				*eligible += len(w.service.Eligible())
			},
		})
	}
}

var _ = Describe("a replica", func() {
	It("is eligible only if each VM was in it as lately as reports count", func() {
		eligible := 0
		rapid.Check(GinkgoT(), freshness(false, &eligible))
		Expect(eligible).To(BeNumerically(">", 0), "the replica must be eligible at times")
	})

	It("is eligible wrongly by a judgement from before a pause", func() {
		eligible := 0
		Expect(fails(freshness(true, &eligible))).To(BeTrue())
	})
})
