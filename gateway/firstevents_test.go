package gateway

import (
	"log/slog"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The first event of a service's streams", func() {
	var e *firstEvents
	BeforeEach(func() { e = newFirstEvents(slog.New(slog.DiscardHandler)) })

	It("is that of its first known stream, for each service", func() {
		Expect(e.of("a")).To(BeEmpty())
		e.learn("a", "1")
		e.learn("b", "0")
		e.learn("a", "7")
		Expect(e.of("a")).To(Equal("1"))
		Expect(e.of("b")).To(Equal("0"))
	})

	// Guards against a retry for each stream of a service whose streams begin anywhere.
	It("is none once several streams have begun elsewhere", func() {
		e.learn("a", "1")
		for range maxOtherFirstEvents {
			Expect(e.of("a")).To(Equal("1"))
			e.learn("a", "1000")
		}
		Expect(e.of("a")).To(BeEmpty())
	})
})
