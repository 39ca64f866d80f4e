package processtest_test

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
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

// process is one process that the test started.
type process struct {
	name string
	path string
	args []string
	log  string

	cmd    *exec.Cmd
	exited chan struct{}
}

// newProcess describes a process, whose output goes to a file in dir.
func newProcess(dir, name, path string, args ...string) *process {
	return &process{name: name, path: path, args: args, log: filepath.Join(dir, name+".log")}
}

// start runs the process and stops it at the end of the spec.
func (p *process) start() *process {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Expect(err).NotTo(HaveOccurred())
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = out, out
	Expect(cmd.Start()).To(Succeed())
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
	p.cmd, p.exited = cmd, exited
	DeferCleanup(func() {
		_ = cmd.Process.Kill()
		<-exited
	})
	return p
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) { Expect(p.cmd.Process.Signal(s)).To(Succeed(), p.name) }

// kill ends the process as a crash does and waits until it is gone.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// pause and resume stop and continue the process.
func (p *process) pause()  { p.signal(syscall.SIGSTOP) }
func (p *process) resume() { p.signal(syscall.SIGCONT) }

// gone reports whether the process has ended.
func (p *process) gone() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// exitCode waits for the end of the process.
func (p *process) exitCode() int {
	GinkgoHelper()
	Eventually(p.exited).Should(BeClosed(), p.name)
	return p.cmd.ProcessState.ExitCode()
}
