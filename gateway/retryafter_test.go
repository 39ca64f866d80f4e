package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against synchronized retries: after all entry VMs lost power, 170 requests were
// refused within a quarter of a second, and all of their callers were told to retry after
// half a second.
var _ = It("Callers whose request no upstream had room for are told to retry at different times", func() {
	quarters := map[time.Duration]int{}
	const callers = 600
	for range callers {
		after := noRoomRetryAfter()
		Expect(after).To(BeNumerically(">=", noRoomMinDelay))
		Expect(after).To(BeNumerically("<", noRoomMinDelay+noRoomSpread))
		quarters[after/(250*time.Millisecond)]++
	}
	for _, n := range quarters {
		Expect(n).To(BeNumerically("<", callers/4))
	}
})
