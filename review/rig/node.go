package rig

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Ports of a node and bounds of the deployment, as on the users' page on deployment.
const (
	frontPort     = 8227
	readyPort     = 8220
	firstPeerPort = 7340
	lastPeerPort  = 7355
	// MemoryLimit is the memory of a process, above which the platform kills it.
	MemoryLimit = 284 << 20
	// DrainTime, GraceTime, RevokeTime, StallTime and ContactTime are bounds of the
	// rules.
	DrainTime   = 2 * time.Second
	GraceTime   = 8 * time.Second
	RevokeTime  = 5 * time.Second
	StallTime   = 4 * time.Second
	ContactTime = 3 * time.Second
)

// gatewayCommand is the command of the deploy file.
var gatewayCommand = []string{"target/tamarackcleat-gateway", "--metrics-port", "9464"}

// Node is a gateway process on a loopback address of its own.
type Node struct {
	Name, IP string

	settings, log string
	cmd           *exec.Cmd
	exited        chan struct{}
}

// NewNode writes the settings of a node into a folder. store is the address of the store
// as this node reaches it.
func NewNode(dir, name, store string) (*Node, error) {
	ip, err := freeIP()
	if err != nil {
		return nil, err
	}
	n := &Node{Name: name, IP: ip, settings: filepath.Join(dir, name+".toml"), log: filepath.Join(dir, name+".log")}
	return n, os.WriteFile(n.settings, []byte(n.settingsFile(store)), 0o600)
}

// freeIP returns a loopback address on which the ports of a node are free.
func freeIP() (string, error) {
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250), 1+rand.IntN(250))
		if portsFree(ip) {
			return ip, nil
		}
	}
	return "", errors.New("no loopback address with free ports was found")
}

func portsFree(ip string) bool {
	for _, port := range []int{frontPort, readyPort, firstPeerPort} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (n *Node) settingsFile(store string) string {
	return fmt.Sprintf(`node = "%[1]s"
role = "entry"
machineClass = "edge"
serves = ["edge"]
ip = "%[2]s"
zone = "zone-plateau"
region = "region-dakar"
internalPorts = [%[3]d,%[4]d]
seeds = []
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","gangs"]
[zones]
zone-plateau = "region-dakar"
[listen]
front = "%[2]s:%[5]d"
readyAddr = "%[2]s:%[6]d"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = %[13]d
maxFds = 4200
linkMbps = 1000.0
diskMb = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = %[7]d
ackMs = 4000
catchUpS = 4
drainMs = %[8]d
graceS = %[9]d
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
outerMs = 5000
strictRevoke = true
revokeMs = %[10]d
retryBudgetRatio = 0.2
budgetWindowS = 10
retrySlack = 130
recoverS = 12
iterationMs = 120
retryAfterS = 0
stallMs = %[11]d
fencing = true
ceilingWindowS = 5
originOvershoot = 1.1
[platform]
address = "%[12]s"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 16
appendMs = 3.0
keep_s = 20
`, n.Name, n.IP, firstPeerPort, lastPeerPort, frontPort, readyPort, ContactTime.Milliseconds(), DrainTime.Milliseconds(),
		int(GraceTime.Seconds()), RevokeTime.Milliseconds(), StallTime.Milliseconds(), store, MemoryLimit>>20)
}

// Front returns where the node takes requests.
func (n *Node) Front() string { return fmt.Sprintf("%s:%d", n.IP, frontPort) }

// Start starts the process with the command of the deploy file. The working folder is the
// root of the repository.
func (n *Node) Start() error {
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	n.cmd = exec.Command(gatewayCommand[0], gatewayCommand[1:]...)
	n.cmd.Stdout, n.cmd.Stderr = out, out
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TAMARACKCLEAT_NODE_FILE=" + n.settings}
	// The process ends with this one, however that ends.
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return errors.Wrapf(err, "starting %s", n.Name)
	}
	n.exited = make(chan struct{})
	go func() {
		// How the process ended does not matter to the cases.
		_ = n.cmd.Wait()
		close(n.exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) error { return n.cmd.Process.Signal(s) }

// Exited reports whether the process has ended.
func (n *Node) Exited() bool {
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}

// Kill ends the process and waits for its end.
func (n *Node) Kill() {
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	// An error says that the process has ended already.
	_ = n.cmd.Process.Kill()
	<-n.exited
}

// Ready reports whether the node says that it is ready.
func (n *Node) Ready() bool {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/tamarackcleat/readyz", n.IP, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Await waits until a condition holds.
func Await(limit time.Duration, what string, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return errors.Newf("%s: not within %v", what, limit)
}

// Memory returns the resident memory of the process in bytes; 0 if it can't be read.
func (n *Node) Memory() int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		var kb int64
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil {
			return kb << 10
		}
	}
	return 0
}
