package processtest_test

import (
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/standin/link"
	"github.com/tamarackcleat/tamarackcleat/standin/process"
)

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() string {
	GinkgoHelper()
	address, err := process.FreeAddress("127.0.0.1")
	Expect(err).NotTo(HaveOccurred())
	return address.String()
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
