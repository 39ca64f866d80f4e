package gateway

import (
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A node that stops", func() {
	const grace = 8 * time.Second
	// stoppedFor returns a node that was told to stop some time ago.
	stoppedFor := func(d time.Duration) *Node {
		n := New(Settings{Node: "n", Bounds: Bounds{Grace: grace}}, Outside{}, slog.New(slog.DiscardHandler))
		at := time.Now().Add(-d)
		n.drainStart.Store(&at)
		return n
	}

	// A stream taken 6.7 s after SIGTERM was cut at the end of the process.
	DescribeTable("takes only what it can finish, once the balancer has had time to look elsewhere",
		func(after, needs time.Duration, closing bool) {
			Expect(stoppedFor(after).closing(needs)).To(Equal(closing))
		},
		Entry("a stream at once", time.Duration(0), longAnswer, false),
		Entry("a stream before the balancer knows", 2*time.Second, longAnswer, false),
		Entry("a stream after that", 3*time.Second, longAnswer, true),
		Entry("a call after that", 3*time.Second, shortAnswer, false),
		Entry("a call at the end", 7*time.Second, shortAnswer, true),
	)

	It("takes everything while it was not told to stop", func() {
		n := New(Settings{Node: "n", Bounds: Bounds{Grace: grace}}, Outside{}, slog.New(slog.DiscardHandler))
		Expect(n.closing(time.Hour)).To(BeFalse())
	})
})

var _ = Describe("Settings that are read again", func() {
	It("replace the bounds and leave addresses as they were", func() {
		n := New(Settings{Node: "n", ListenCaller: "a:1"}, Outside{}, slog.New(slog.DiscardHandler))
		n.Reload(Settings{Node: "other", ListenCaller: "b:2", Bounds: Bounds{Revoke: time.Second}})
		Expect(n.Settings().Bounds.Revoke).To(Equal(time.Second))
		Expect(n.Settings().ListenCaller).To(Equal("a:1"))
		Expect(n.Settings().Node).To(Equal("n"))
	})
})
