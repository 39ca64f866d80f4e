package gateway

import (
	"context"
	"net"
	"os"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/dispatch"
	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/reach"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

var _ = Describe("A node that checks its path to upstreams", func() {
	// The process at crashedVM has ended, and connections to hungVM hang.
	const (
		soundVM   = "192.0.2.1:1"
		crashedVM = "192.0.2.2:1"
		hungVM    = "192.0.2.3:1"
	)
	var (
		n *Node
		// acceptAfter is how long the sound upstream takes to accept a connection.
		acceptAfter time.Duration
		// cut says that all connections are refused.
		cut bool
	)
	BeforeEach(func() {
		acceptAfter, cut = 0, false
		dial := func(ctx context.Context, _, address string) (net.Conn, error) {
			switch {
			case cut || address == crashedVM:
				return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
			case address == hungVM:
				<-ctx.Done()
				return nil, ctx.Err()
			}
			time.Sleep(acceptAfter)
			c, upstream := net.Pipe()
			DeferCleanup(upstream.Close)
			return c, nil
		}
		var report func(...fleet.VM)
		n, report = newPlainNode(func(s *Settings) { s.DialUpstream = dial })
		report(fleet.VM{ID: "a", Boot: 1, Address: soundVM}, fleet.VM{ID: "b", Boot: 1, Address: crashedVM}, fleet.VM{ID: "c", Boot: 1, Address: hungVM})
	})
	// beginCheck makes two upstreams fail.
	beginCheck := func() {
		n.pathFailed(hungVM, reach.NoAnswer)
		n.pathFailed(soundVM, reach.NoAnswer)
		Expect(n.path.state()).To(Equal(reach.Doubtful))
	}

	// Guards against verdicts on upstreams that are held back because one of them hangs.
	It("knows that it has one as soon as an upstream accepts, although others hang", func() {
		begin := time.Now()
		beginCheck()
		Expect(n.path.settled(context.Background())).To(Equal(reach.Reachable))
		Expect(time.Since(begin)).To(BeNumerically("<", pathCheckTimeout/2))
	})

	// Guards against a request that ends engines one after the other, because its caller leaves
	// as soon as each has ended.
	It("counts a crash although the caller leaves during the check", func() {
		acceptAfter = pathCheckTimeout / 2
		beginCheck()
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(acceptAfter/2, leave)
		crashed := dispatch.Assignment{Target: fleet.Target{ID: "b", Boot: 1, Address: crashedVM}}
		forwarderFor(n, time.Second).noteFailure(&try{ctx: ctx, assignment: crashed},
			verdict.New(verdict.MayHaveRun, verdict.ReasonUpstreamLost, "lost"), false)
		Expect(n.parts.report(time.Now()).Suspects).NotTo(BeEmpty())
	})

	// Guards against a sound request that is stopped, because the connection that a partition
	// broke first is taken for a crash of its upstream.
	It("counts no crash at the first failure in a partition", func() {
		cut = true
		sound := dispatch.Assignment{Target: fleet.Target{ID: "a", Boot: 1, Address: soundVM}}
		forwarderFor(n, time.Second).noteFailure(&try{ctx: context.Background(), assignment: sound},
			verdict.New(verdict.MayHaveRun, verdict.ReasonUpstreamLost, "lost"), false)
		Expect(n.parts.report(time.Now()).Suspects).To(BeEmpty())
	})

	// Guards against an upstream that is declared dead for all nodes, because the node that
	// probes it alone has lost its path.
	It("does not take an upstream for dead in a partition by its probes alone", func() {
		cut = true
		const probesUntilDead = 2
		counted := 0
		for range probesUntilDead {
			if n.RecordProbe(soundVM, false) {
				counted++
			}
			time.Sleep(150 * time.Millisecond)
		}
		Expect(counted).To(BeNumerically("<", probesUntilDead))
	})
})
