package processtest_test

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/standin/link"
	"github.com/tamarackcleat/tamarackcleat/standin/process"
)

// The ports lie below the range from which the kernel takes the ports of outgoing
// connections, so that a process can be started again on its former port. Each test
// process takes ports from one of portRanges ranges of portsPerRange ports.
const (
	firstPort     = 20000
	portsPerRange = 1500
	portRanges    = 8
)

// portsTried counts the ports that freeAddress has tried.
var portsTried atomic.Int64

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() string {
	start := int64((os.Getpid() + GinkgoParallelProcess()) % portRanges * portsPerRange)
	for range portsPerRange {
		port := firstPort + start + portsTried.Add(1)%portsPerRange
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if l, err := net.Listen("tcp", address); err == nil {
			Expect(l.Close()).To(Succeed())
			return address
		}
	}
	Fail("no free port")
	return ""
}

// proc is a process that a spec starts; it is killed at the end of the spec.
type proc struct{ *process.Process }

// newProc returns a process that is not started yet. Its output goes to a file in
// dir.
func newProc(dir, name, path string, args ...string) *proc {
	return &proc{process.New(dir, name, path, args...)}
}

// start starts the process and has it killed at the end of the spec.
func (p *proc) start() *proc {
	Expect(p.Start()).To(Succeed())
	DeferCleanup(p.Kill)
	return p
}

func (p *proc) signal(s syscall.Signal) { Expect(p.Signal(s)).To(Succeed()) }

// pause and resume stop and continue the process.
func (p *proc) pause()  { p.signal(syscall.SIGSTOP) }
func (p *proc) resume() { p.signal(syscall.SIGCONT) }

// exitCode waits for the end of the process and returns its exit code.
func (p *proc) exitCode() int {
	GinkgoHelper()
	Eventually(p.Exited()).Should(BeClosed(), p.Name)
	return p.ExitCode()
}

// newLink returns a TCP proxy to an address, for the simulation of network faults. It
// forwards everything until a fault is set, and is closed at the end of the spec.
func newLink(target string) *link.Link {
	k, err := link.New(freeAddress(), target)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(k.Close)
	return k
}
