package controller

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/tamarackcleat/tamarackcleat/placement"
	"github.com/tamarackcleat/tamarackcleat/port"
)

// dissolutions returns the causes of all dissolutions in the log, in order.
func (w *world) dissolutions() []string {
	var causes []string
	for _, r := range w.log {
		if r.Dissolve != nil {
			causes = append(causes, r.Dissolve.Cause)
		}
	}
	return causes
}

// formations returns the number of formations in the log.
func (w *world) formations() int {
	n := 0
	for _, r := range w.log {
		if r.Form != nil {
			n++
		}
	}
	return n
}

// A member whose process announced that it is leaving, as health checking observes it.
var _ = Describe("A replica with a member that announced its leaving", func() {
	var w *world
	var leaving *engine
	BeforeEach(func() {
		w = newWorld(2, 5)
		Expect(w.runUntil(2*time.Minute, w.hasComplete(1))).To(BeTrue())
		leaving = w.engines[w.completeReplicas()[0].VMs[1]]
	})
	count := func(name string) (n int64) {
		for _, node := range w.nodes {
			n += metrics.GetOrRegisterCounter("controller."+name, node.svc.Metrics).Count()
		}
		return n
	}
	// expectReplacedOnce requires that one replica without the leaving VM has replaced
	// the first one, and stays.
	expectReplacedOnce := func() {
		GinkgoHelper()
		Expect(w.runUntil(2*time.Minute, func() bool {
			return w.formations() == 2 && len(w.completeReplicas()) == 1
		})).To(BeTrue())
		w.runUntil(time.Minute, func() bool { return false })
		Expect(w.formations()).To(Equal(2))
		Expect(w.dissolutions()).To(HaveLen(1))
		Expect(w.completeReplicas()).To(HaveLen(1))
		Expect(w.completeReplicas()[0].VMs).NotTo(ContainElement(leaving.vm.ID))
		Expect(count("dissolve." + string(placement.CauseRestarted))).To(BeZero())
	}

	// Guards against a planned stop that is taken for a crash or a restart.
	It("is replaced once, for the leaving, although the process ends meanwhile", func() {
		leaving.vm.Leaving = true
		Expect(w.runUntil(time.Minute, func() bool { return leaving.rep.State != port.EngineReady })).To(BeTrue())
		leaving.unreachable = true
		expectReplacedOnce()
		Expect(w.dissolutions()).To(Equal([]string{string(placement.CauseLeaving)}))
	})

	// Guards against a replacement that is planned twice around an outage of the log.
	It("is replaced once when the log was away meanwhile", func() {
		w.logDown = true
		leaving.vm.Leaving = true
		w.runUntil(30*time.Second, func() bool { return false })
		Expect(w.dissolutions()).To(BeEmpty())
		w.logDown = false
		expectReplacedOnce()
		Expect(w.dissolutions()).To(Equal([]string{string(placement.CauseLeaving)}))
	})

	// Guards against a new process on the VM that is never used again.
	It("uses the VM again when its next process is there", func() {
		leaving.vm.Leaving = true
		expectReplacedOnce()
		w.restart(leaving.vm.ID)
		leaving.vm.Leaving = false
		member := w.engines[w.completeReplicas()[0].VMs[0]]
		member.unreachable = true
		Expect(w.runUntil(time.Minute, func() bool { return w.formations() == 3 && len(w.completeReplicas()) == 1 })).To(BeTrue())
		Expect(w.completeReplicas()[0].VMs).To(ContainElement(leaving.vm.ID))
	})
})
