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

// Ports lie below the range from which the kernel takes ports of outgoing
// connections, so that a process can be started again on its former port.
const (
	firstPort    = 20000
	portsPerNode = 1500
	portRanges   = 8
)

// portsUsed counts the ports that were looked at.
var portsUsed atomic.Int64

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() string {
	start := int64((os.Getpid() + GinkgoParallelProcess()) % portRanges * portsPerNode)
	for range portsPerNode {
		port := firstPort + start + portsUsed.Add(1)%portsPerNode
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if l, err := net.Listen("tcp", address); err == nil {
			Expect(l.Close()).To(Succeed())
			return address
		}
	}
	Fail("no free port")
	return ""
}

// proc is a process of a spec; it ends with the spec.
type proc struct{ *process.Process }

// newProc describes a process, whose output goes to a file in dir.
func newProc(dir, name, path string, args ...string) *proc {
	return &proc{process.New(dir, name, path, args...)}
}

// start runs the process and stops it at the end of the spec.
func (p *proc) start() *proc {
	Expect(p.Start()).To(Succeed())
	DeferCleanup(p.Kill)
	return p
}

// signal sends a signal to the process.
func (p *proc) signal(s syscall.Signal) { Expect(p.Signal(s)).To(Succeed()) }

// pause and resume stop and continue the process.
func (p *proc) pause()  { p.signal(syscall.SIGSTOP) }
func (p *proc) resume() { p.signal(syscall.SIGCONT) }

// exitCode waits for the end of the process.
func (p *proc) exitCode() int {
	GinkgoHelper()
	Eventually(p.Exited()).Should(BeClosed(), p.Name)
	return p.ExitCode()
}

// newLink returns a link to an address that passes everything; it ends with the
// spec.
func newLink(target string) *link.Link {
	k, err := link.New(freeAddress(), target)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(k.Close)
	return k
}
