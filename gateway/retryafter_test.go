package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// After all entry VMs lost power on trouble-2 of jll-kolkata 170 requests were refused
// in a quarter of a second, and all were told to come back after half a second.
var _ = It("Callers that found no room are told to return at different times", func() {
	quarters := map[time.Duration]int{}
	const callers = 600
	for range callers {
		after := roomAfter()
		Expect(after).To(BeNumerically(">=", roomFirst))
		Expect(after).To(BeNumerically("<", roomFirst+roomSpread))
		quarters[after/(250*time.Millisecond)]++
	}
	for _, n := range quarters {
		Expect(n).To(BeNumerically("<", callers/4))
	}
})
