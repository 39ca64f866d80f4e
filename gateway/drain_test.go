package gateway

import (
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A draining node", func() {
	const grace = 8 * time.Second
	// stoppedFor returns a node that was told to stop the duration d ago.
	stoppedFor := func(d time.Duration) *Node {
		n := New(Settings{Node: "n", Bounds: Bounds{ShutdownGrace: grace}}, Dependencies{}, slog.New(slog.DiscardHandler))
		at := time.Now().Add(-d)
		n.drainStart.Store(&at)
		return n
	}

	// Guards against cutting answers off: a stream that was accepted 6.7 s after
	// SIGTERM was cut off when the process ended, and so was a request whose upstream
	// took longer than most.
	DescribeTable("accepts only requests that it can finish, once the load balancer has had time to notice",
		func(after, timeLeft time.Duration, cannotFinish bool) {
			Expect(stoppedFor(after).cannotFinish(time.Now().Add(timeLeft))).To(Equal(cannotFinish))
		},
		Entry("a stream right after the signal", time.Duration(0), 5*time.Second, false),
		Entry("a stream before the load balancer has noticed", 2*time.Second, 5*time.Second, false),
		Entry("a stream after the load balancer has noticed", 3*time.Second, 5*time.Second, true),
		Entry("a plain request after the load balancer has noticed", 3*time.Second, time.Second, false),
		Entry("a plain request that may take long", 3*time.Second, 6*time.Second, true),
		Entry("a plain request at the end of the grace period", 7*time.Second, time.Second, true),
	)

	It("accepts every request if it was not told to stop", func() {
		n := New(Settings{Node: "n", Bounds: Bounds{ShutdownGrace: grace}}, Dependencies{}, slog.New(slog.DiscardHandler))
		Expect(n.cannotFinish(time.Now().Add(time.Hour))).To(BeFalse())
	})
})

var _ = Describe("Reloaded settings", func() {
	It("replace the bounds and leave the node name and addresses unchanged", func() {
		n := New(Settings{Node: "n", ListenCaller: "a:1"}, Dependencies{}, slog.New(slog.DiscardHandler))
		n.Reload(Settings{Node: "other", ListenCaller: "b:2", Bounds: Bounds{RevocationTime: time.Second}})
		Expect(n.Settings().Bounds.RevocationTime).To(Equal(time.Second))
		Expect(n.Settings().ListenCaller).To(Equal("a:1"))
		Expect(n.Settings().Node).To(Equal("n"))
	})
})
