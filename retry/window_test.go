package retry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/retry"
)

var _ = Describe("Window", func() {
	var (
		w   *retry.Window
		now time.Time
	)
	BeforeEach(func() {
		w = retry.NewWindow(retry.WindowConfig{Length: 10 * time.Second, Ratio: 0.2, Slack: 3})
		now = time.Unix(1000, 0)
	})
	spend := func() int {
		n := 0
		for w.Spend(now) {
			n++
		}
		return n
	}

	It("allows only the slack without requests", func() {
		Expect(spend()).To(Equal(3))
	})

	// When a replica fails, all of its streams are retried elsewhere at once.
	It("lets a burst use all retries that the requests of the whole window allow", func() {
		for range 100 {
			now = now.Add(50 * time.Millisecond)
			w.RecordRequest(now)
		}
		Expect(spend()).To(Equal(23))
	})

	It("allows no more retries than the ratio and the slack in any window", func() {
		total := 0
		for i := range 400 {
			now = now.Add(50 * time.Millisecond)
			w.RecordRequest(now)
			if i >= 200 {
				total += spend()
			}
		}
		Expect(total).To(BeNumerically("<=", 0.2*200+3))
	})

	It("ignores requests and retries older than the window", func() {
		for range 100 {
			w.RecordRequest(now)
		}
		Expect(spend()).To(Equal(23))
		now = now.Add(11 * time.Second)
		Expect(spend()).To(Equal(3))
	})

	It("keeps to its limits when the clock jumps back or forward", func() {
		w.RecordRequest(now)
		now = now.Add(-time.Hour)
		Expect(spend()).To(Equal(3))
		now = now.Add(2 * time.Hour)
		Expect(spend()).To(Equal(3))
	})
})
