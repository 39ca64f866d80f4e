package gateway

import (
	"context"
	"net"
	"os"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/reach"
)

var _ = Describe("A node that checks its path to upstreams", func() {
	// The process at crashedVM has ended, and connections to hungVM hang.
	const (
		soundVM   = "192.0.2.1:1"
		crashedVM = "192.0.2.2:1"
		hungVM    = "192.0.2.3:1"
	)
	var n *Node
	BeforeEach(func() {
		dial := func(ctx context.Context, _, address string) (net.Conn, error) {
			switch address {
			case crashedVM:
				return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
			case hungVM:
				<-ctx.Done()
				return nil, ctx.Err()
			}
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
})
