package soak_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a failure of the built process in which requests went on to reach engines that had
// said in an answer that they leave, or that they want none for a while.
var _ = Describe("The gateway processes under load", func() {
	It("send nothing to an engine that leaves and almost nothing in a pause, by what they were answered", func() {
		const (
			pauseTime  = 2 * time.Second
			pauseCount = 2
		)
		s := newTestSystem(1)
		defer s.stop()
		s.startCallers()
		leaving, pausing := s.plainUpstreams[0], s.plainUpstreams[1]
		leaving.AnnounceLeaving()
		for range pauseCount {
			pausing.AskForPause(pauseTime)
			time.Sleep(pauseTime + drainBound/2)
		}
		Eventually(leaving.SaidLeaving, recoveryTimeout, pollInterval).Should(BeTrue())
		time.Sleep(2 * drainBound)
		s.stop()
		Expect(pausing.Arrivals()).NotTo(BeEmpty())
		c := s.newChecker()
		c.checkNotices()
		Expect(c.violations).To(BeEmpty())
	})
})
