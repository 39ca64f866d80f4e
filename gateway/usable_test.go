package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/fleet"
)

var _ = Describe("Targets that may be used", func() {
	targets := []fleet.Target{{ID: "stays"}, {ID: "ends", EndingSince: time.Second}}

	It("include a replica with a leaving member until the member may be gone", func() {
		Expect(usable(targets, 3*time.Second, 2*time.Second)).To(HaveLen(2))
		Expect(usable(targets, 4*time.Second, 2*time.Second)).To(Equal(targets[:1]))
	})

	It("leave the replica out at once where nothing is said of leaving VMs", func() {
		Expect(usable(targets, time.Second, 0)).To(Equal(targets[:1]))
		Expect(targets[1].ID).To(Equal("ends"))
	})
})
