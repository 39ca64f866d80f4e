package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against callers that return after a refusal being taken for new ones, whose answers
// can still be in time.
var _ = Describe("The time that a caller has waited", func() {
	It("is what its time falls short of the longest of the route", func() {
		c, now := newCallerTimeouts(), time.Unix(1000, 0)
		Expect(c.waited(now, "r", 6*time.Second)).To(BeZero())
		Expect(c.waited(now, "r", 5*time.Second)).To(Equal(time.Second))
		Expect(c.waited(now, "other", 5*time.Second)).To(BeZero())
	})

	It("follows callers whose times become shorter", func() {
		c, now := newCallerTimeouts(), time.Unix(1000, 0)
		c.waited(now, "r", 6*time.Second)
		for range 2 {
			now = now.Add(timeoutRetention + time.Second)
			c.waited(now, "r", 2*time.Second)
		}
		Expect(c.waited(now, "r", 2*time.Second)).To(BeZero())
	})
})
