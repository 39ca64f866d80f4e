// Package stand holds what the scripts of the second review share: a deployment of
// gateway processes on loopback addresses with stand-ins of the store, the engines and
// the clients, which note what they see.
package stand

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Ports of a gateway; each gateway has a loopback address of its own.
const (
	frontPort   = 8227
	readyPort   = 8220
	peerPort    = 7340
	metricsPort = 9464
)

// Bounds are the bounds and limits in the settings of a gateway that may differ between
// cases. The others are those of the settings file in our pages.
type Bounds struct {
	GraceS, StallMs int
	MemoryMb        int
	CPUShare        float64
}

// PageBounds are the bounds of the settings file in our pages.
var PageBounds = Bounds{GraceS: 8, StallMs: 4000, MemoryMb: 284, CPUShare: 0.4}

// Gateway is a process of the deploy file's role.
type Gateway struct {
	Name, IP string
	dir      string
	store    string
	cmd      *exec.Cmd
	exited   chan struct{}
}

// FreeIP returns a loopback address on which the ports of a gateway are free.
func FreeIP() (string, error) {
	for a := 20 + os.Getpid()%200; a < 250; a++ {
		for b := 1; b < 250; b++ {
			ip := fmt.Sprintf("127.%d.%d.1", a, b)
			if portsFree(ip) {
				return ip, nil
			}
		}
	}
	return "", fmt.Errorf("no free loopback address")
}

var taken = map[string]bool{}

func portsFree(ip string) bool {
	if taken[ip] {
		return false
	}
	for _, port := range []int{frontPort, readyPort, peerPort, metricsPort} {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	taken[ip] = true
	return true
}

// StartGateway writes a settings file like that of our pages into dir and starts a gateway
// with the command of the deploy file.
func StartGateway(dir, name, store string, b Bounds) (*Gateway, error) {
	ip, err := FreeIP()
	if err != nil {
		return nil, err
	}
	g := &Gateway{Name: name, IP: ip, dir: dir, store: store}
	if err := g.WriteSettings(b); err != nil {
		return nil, err
	}
	return g, g.start()
}

// WriteSettings writes the gateway's settings file.
func (g *Gateway) WriteSettings(b Bounds) error {
	text := fmt.Sprintf(settingsText, g.Name, g.IP, peerPort, peerPort+15, frontPort, readyPort, b.GraceS, b.StallMs, g.store, b.CPUShare, b.MemoryMb)
	return os.WriteFile(g.settingsPath(), []byte(text), 0o600)
}

func (g *Gateway) settingsPath() string { return filepath.Join(g.dir, g.Name+".toml") }

const settingsText = `node = "%[1]s"
role = "entry"
machineClass = "edge"
serves = ["edge"]
ip = "%[2]s"
zone = "kol-a"
region = "kolkata"
internalPorts = [%[3]d,%[4]d]
seeds = []
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","gangs"]
[zones]
kol-a = "kolkata"
[listen]
front = "%[2]s:%[5]d"
readyAddr = "%[2]s:%[6]d"
[limits]
cpuShare = %[10]v
cores = 1
memoryMb = %[11]d
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = %[7]d
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
outerMs = 5000
strictRevoke = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retrySlack = 132
recoverS = 12
iterationMs = 120
retryAfterS = 0
stallMs = %[8]d
fencing = true
ceilingWindowS = 5
originOvershoot = 1.1
[platform]
address = "%[9]s"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 16
appendMs = 3.0
partitionMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 20
partitionMb = 200
ttlMinMs = 1000
`

func (g *Gateway) start() error {
	out, err := os.Create(filepath.Join(g.dir, g.Name+".log"))
	if err != nil {
		return err
	}
	g.cmd = exec.Command("target/tamarackcleat-gateway", "--metrics-port", strconv.Itoa(metricsPort))
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TAMARACKCLEAT_NODE_FILE=" + g.settingsPath()}
	g.cmd.Stdout, g.cmd.Stderr = out, out
	// The gateway ends with this process, also if that is killed.
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.exited = make(chan struct{})
	go func() {
		// The exit code is of no interest: a gateway is stopped by a signal.
		_ = g.cmd.Wait()
		_ = out.Close()
		close(g.exited)
	}()
	return nil
}

// Front returns the address for clients.
func (g *Gateway) Front() string { return net.JoinHostPort(g.IP, strconv.Itoa(frontPort)) }

// Signal sends a signal to the process.
func (g *Gateway) Signal(s syscall.Signal) error { return g.cmd.Process.Signal(s) }

// Exited returns a channel that is closed when the process has ended.
func (g *Gateway) Exited() <-chan struct{} { return g.exited }

// Stop kills the process and waits for its end.
func (g *Gateway) Stop() {
	// An error says that the process has ended already.
	_ = g.cmd.Process.Kill()
	<-g.exited
}

// Ready reports whether the gateway answers the platform's question with 200.
func (g *Gateway) Ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + net.JoinHostPort(g.IP, strconv.Itoa(readyPort)) + "/tamarackcleat/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until the gateway is ready.
func (g *Gateway) AwaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if g.Ready() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", g.Name, limit)
}

// Memory returns the resident memory of the process without its files, in bytes.
func (g *Gateway) Memory() (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		var kilobytes int64
		if _, err := fmt.Sscanf(line, "RssAnon: %d kB", &kilobytes); err == nil {
			return kilobytes << 10, nil
		}
	}
	return 0, fmt.Errorf("the process of %s does not say its memory", g.Name)
}
