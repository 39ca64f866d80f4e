package formation

import (
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/fleet"
)

var _ = Describe("An answer to a probe", func() {
	const now = time.Minute
	vm := fleet.VM{ID: "a", Boot: 7, LastSeen: now}
	// confirmedBy reports whether the VM can be ordered to join after it has answered
	// probes in these ways.
	confirmedBy := func(results ...Result) bool {
		p := NewPlanner(Settings{Logger: slog.New(slog.DiscardHandler)})
		p.probes[vm.ID] = &probeState{}
		for _, res := range results {
			p.HandleResult(now, Order{Kind: Probe, VM: vm.ID}, res)
		}
		r := &round{Planner: p, now: now, view: fleet.NewView(nil, 0, map[string]fleet.VM{vm.ID: vm})}
		return r.confirmed(vm)
	}
	accepted := int64(3)
	readable := Result{Answered: true, Accepted: true, Report: VMReport{Boot: vm.Boot, Accepted: &accepted}}
	unreadable := Result{Answered: true, Accepted: true, Problem: "decoding a report"}

	// Guards against orders without a condition on the orders that the VM has accepted, which
	// a late order of a former holder may precede: an answer that could not be read counted as
	// one of a VM that does not tell their number.
	It("that can't be read tells nothing about the orders that the VM has accepted", func() {
		Expect(confirmedBy(unreadable)).To(BeFalse())
		Expect(confirmedBy(unreadable, readable)).To(BeTrue())
		Expect(confirmedBy(readable, unreadable)).To(BeTrue())
	})

	It("without that number shows that the VM does not tell it", func() {
		Expect(confirmedBy(Result{Answered: true, Accepted: true, Report: VMReport{Boot: vm.Boot}})).To(BeTrue())
	})

	It("shows that the VM lives although it can't be read", func() {
		p := NewPlanner(Settings{Logger: slog.New(slog.DiscardHandler)})
		p.probes[vm.ID] = &probeState{deadAt: now, unanswered: deadAfterProbes}
		p.HandleResult(now, Order{Kind: Probe, VM: vm.ID}, unreadable)
		Expect(p.Dead()).To(BeEmpty())
	})
})
