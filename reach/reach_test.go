package reach

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestReach(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Reach Suite")
}

// Guards against a node that takes the loss of some upstreams for that of its own path, and
// against one that never notices that loss.
var _ = Describe("Monitor", func() {
	const known = 10
	var m *Monitor
	BeforeEach(func() { m = &Monitor{} })

	It("begins no check for one silent upstream", func() {
		for i := range 10 {
			Expect(m.Failed(time.Duration(i)*time.Second, "a", NoAnswer, known)).To(BeFalse())
		}
	})

	It("begins no check if there was a sign of life between two failures", func() {
		Expect(m.Failed(0, "a", NoAnswer, known)).To(BeFalse())
		m.Alive()
		Expect(m.Failed(1, "b", NoAnswer, known)).To(BeFalse())
		Expect(m.Watching()).To(BeTrue())
	})

	It("checks new connections also while open ones work", func() {
		Expect(m.Failed(0, "a", NoConnection, known)).To(BeFalse())
		m.Alive()
		Expect(m.Failed(1, "b", NoConnection, known)).To(BeTrue())
		m.Alive()
		Expect(m.Checked(CheckTargets, 0)).To(BeTrue())
		Expect(m.State()).To(Equal(Unreachable))
		Expect(m.Lively()).To(BeTrue())
	})

	It("stays reachable if any upstream accepts a connection, and checks again only after a pause", func() {
		m.Failed(0, "a", NoAnswer, known)
		Expect(m.Failed(0, "b", NoAnswer, known)).To(BeTrue())
		Expect(m.State()).To(Equal(Doubtful))
		Expect(m.Checked(CheckTargets, 1)).To(BeFalse())
		Expect(m.State()).To(Equal(Reachable))
		m.Failed(checkPause-1, "a", NoAnswer, known)
		Expect(m.Failed(checkPause-1, "b", NoAnswer, known)).To(BeFalse())
		Expect(m.Failed(checkPause, "b", NoAnswer, known)).To(BeTrue())
	})

	It("is reachable again if one of many upstreams accepts in two checks in a row", func() {
		m.Failed(0, "a", NoAnswer, known)
		m.Failed(0, "b", NoAnswer, known)
		m.Checked(CheckTargets, 0)
		for _, accepted := range []int{1, 0, 1} {
			Expect(m.Checked(CheckTargets, accepted)).To(BeFalse())
		}
		Expect(m.Checked(CheckTargets, 1)).To(BeTrue())
	})

	It("is reachable again once two upstreams accept, or the only one", func() {
		for _, only := range []int{CheckTargets, 1} {
			m = &Monitor{}
			m.Failed(0, "a", NoAnswer, only)
			m.Failed(0, "b", NoAnswer, only)
			Expect(m.Checked(only, 0)).To(BeTrue())
			Expect(m.Lively()).To(BeFalse())
			Expect(m.Due(checkPause - 1)).To(BeFalse())
			Expect(m.Due(checkPause)).To(BeTrue())
			Expect(m.Due(checkPause)).To(BeFalse())
			if only > 1 {
				Expect(m.Checked(only, 1)).To(BeFalse())
			}
			Expect(m.Checked(only, min(2, only))).To(BeTrue())
			Expect(m.Watching()).To(BeFalse())
		}
	})
})
