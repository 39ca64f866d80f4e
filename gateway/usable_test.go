package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/fleet"
)

var _ = Describe("Usable targets", func() {
	targets := []fleet.Target{{ID: "stays"}, {ID: "ends", MemberLeavingSince: time.Second}}

	It("include a replica with a leaving member until that member may be gone", func() {
		Expect(usableTargets(targets, 3*time.Second, 2*time.Second)).To(HaveLen(2))
		Expect(usableTargets(targets, 4*time.Second, 2*time.Second)).To(Equal(targets[:1]))
	})

	It("exclude a replica with a leaving member at once if no drain time is set", func() {
		Expect(usableTargets(targets, time.Second, 0)).To(Equal(targets[:1]))
		Expect(targets[1].ID).To(Equal("ends"))
	})
})
