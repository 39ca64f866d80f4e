package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/platform/standin"
	"github.com/tamarackcleat/tamarackcleat/standin/link"
	"github.com/tamarackcleat/tamarackcleat/standin/process"
)

// Bounds that the nodes are given in their settings. They are those of the
// platform's example, with shorter ones for stops and keys so that runs are
// short.
const (
	contact     = 3 * time.Second
	drainBound  = 2 * time.Second
	grace       = 6 * time.Second
	revokeBound = 2500 * time.Millisecond
	applyBound  = 2 * time.Second
	lossSlack   = 200 * time.Millisecond
	rollback    = 250 * time.Millisecond
	recoverIn   = 12 * time.Second
	stall       = 2 * time.Second
	retryRatio  = 0.2
	retrySlack  = 130
	retryWindow = 10 * time.Second
)

// Ports of a node, the same for all: each node has an address of its own.
const (
	callerPort    = 8227
	readyPort     = 8220
	firstPeerPort = 7340
	lastPeerPort  = 7355
)

// The deployment.
const (
	host              = "desk.example"
	steadyKey         = "steady-key"
	steadyTeam        = "steady"
	rotatingTeam      = "rotating"
	generatingService = "llm"
	plainService      = "desk"
	// replicaSize is the number of VMs of a replica, mostAttempts the number of
	// upstreams that one request may be sent to.
	replicaSize  = 3
	mostAttempts = 2
	// streamEvents is the length of an answer; it takes about 0.75 s.
	streamEvents = 25
	plainWork    = 15 * time.Millisecond
	// Callers wait this long.
	streamDeadline = 6 * time.Second
	callDeadline   = 1500 * time.Millisecond
)

// Kinds of requests, which are also the first parts of their paths.
const (
	streamKind = "gen"
	onceKind   = "once"
	readKind   = "read"
)

const (
	// tickEvery is how often stand-ins that stand still are looked at.
	tickEvery = 50 * time.Millisecond
	// readyEvery is how often the balancer asks a node whether it is ready;
	// missesToOut misses in a row take it out. The platform's asks each second.
	readyEvery  = 250 * time.Millisecond
	missesToOut = 2
	// startLimit bounds the wait for a new world to serve, pollPeriod separates
	// two looks.
	startLimit = 20 * time.Second
	pollPeriod = 50 * time.Millisecond
)

// node is one gateway process that is started again after each end.
type node struct {
	*process.Process
	name string
	ip   string
	// toStore is the node's way to the store, inbound the callers' way to it.
	toStore *link.Link
	inbound *link.Link

	// mu guards the process against signals between two lives.
	mu sync.Mutex
	// exclusive is held by the fault that has the node.
	exclusive sync.Mutex
	// life counts the starts.
	life atomic.Int64
	// down says that an end was asked for.
	down atomic.Bool
	// inRotation says that the balancer sends new connections.
	inRotation atomic.Bool
}

// world is a whole system under a soak.
type world struct {
	dir    string
	rng    *rand.Rand
	fleet  *standin.Fleet
	nodes  []*node
	llms   []*upstream
	desks  []*upstream
	notes  *disturbances
	config *configurations
	log    *attemptLog
	// storeBusy is held by the fault that has the store.
	storeBusy sync.Mutex
	// done ends the background work.
	done chan struct{}
	once sync.Once
	wait sync.WaitGroup
}

// upstream is an engine behind a link.
type upstream struct {
	*standin.Engine
	link *link.Link
	// busy says that a fault has it; one at a time.
	busy atomic.Bool
}

// newWorld starts a system whose size follows from the seed and waits until all
// nodes serve.
func newWorld(seed uint64) *world {
	w := &world{
		dir: GinkgoT().TempDir(), rng: rand.New(rand.NewPCG(seed, 1)), fleet: standin.NewFleet(),
		notes: &disturbances{}, log: newAttemptLog(), done: make(chan struct{}),
	}
	w.fleet.Stall, w.fleet.Events, w.fleet.Work = stall, streamEvents, plainWork
	w.config = newConfigurations(w.fleet)
	w.config.publish()
	for d := range 1 + w.rng.IntN(2) {
		for i := range 2*replicaSize + 1 + w.rng.IntN(3) {
			w.llms = append(w.llms, w.newUpstream(fmt.Sprintf("llm-%d-%d", d, i), generatingService, fmt.Sprintf("domain-%d", d)))
		}
	}
	for i := range 2 + w.rng.IntN(2) {
		w.desks = append(w.desks, w.newUpstream(fmt.Sprintf("desk-%d", i), plainService, ""))
	}
	for i := range 2 + w.rng.IntN(4) {
		w.nodes = append(w.nodes, w.newNode(seed, i))
	}
	w.background(tickEvery, w.fleet.Tick)
	w.background(readyEvery, w.watchReadiness())
	for _, n := range w.nodes {
		Eventually(func() bool { return w.serves(n, streamKind) && w.serves(n, onceKind) }, startLimit, pollPeriod).Should(BeTrue(), n.name)
	}
	return w
}

// stop ends everything that the world started.
func (w *world) stop() { w.once.Do(w.end) }

func (w *world) end() {
	close(w.done)
	w.wait.Wait()
	for _, n := range w.nodes {
		n.down.Store(true)
		n.Kill()
		n.toStore.Close()
		n.inbound.Close()
	}
	for _, u := range append(w.llms, w.desks...) {
		u.link.Close()
	}
	w.fleet.Close()
}

// background calls f at intervals until the world stops.
func (w *world) background(every time.Duration, f func()) {
	w.wait.Go(func() {
		t := time.NewTicker(every)
		defer t.Stop()
		for {
			select {
			case <-w.done:
				return
			case <-t.C:
				f()
			}
		}
	})
}

func (w *world) newUpstream(id, service, domain string) *upstream {
	e := w.fleet.Add(id, service, domain)
	k, err := link.New("127.0.0.1:0", e.Address())
	Expect(err).NotTo(HaveOccurred())
	e.Advertise(k.Address())
	return &upstream{Engine: e, link: k}
}

// newNode starts a node with an address that no other run on this machine uses.
func (w *world) newNode(seed uint64, i int) *node {
	n := &node{name: fmt.Sprintf("node-%d", i), ip: fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+seed%250, 10+i)}
	var err error
	n.toStore, err = link.New("127.0.0.1:0", w.fleet.Store.Address())
	Expect(err).NotTo(HaveOccurred())
	n.inbound, err = link.New("127.0.0.1:0", fmt.Sprintf("%s:%d", n.ip, callerPort))
	Expect(err).NotTo(HaveOccurred())
	settings := filepath.Join(w.dir, n.name+".toml")
	Expect(os.WriteFile(settings, []byte(n.settings()), 0o600)).To(Succeed())
	n.Process = process.New(w.dir, n.name, gatewayPath).WithEnv("TAMARACKCLEAT_NODE_FILE=" + settings)
	n.start()
	return n
}

// settings returns the node's settings file as the platform writes it.
func (n *node) settings() string {
	return fmt.Sprintf(`node = "%[1]s"
zone = "z"
ip = "%[2]s"
internalPorts = [%[5]d, %[6]d]
bootstrap = true
[listen]
front = "%[2]s:%[3]d"
readyAddr = "%[2]s:%[4]d"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
[bounds]
contactMs = %[8]d
drainMs = %[9]d
graceS = %[10]d
configApplyMs = %[11]d
revokeMs = %[12]d
strictRevoke = true
stallMs = %[13]d
retryBudgetRatio = %[14]v
budgetWindowS = %[15]d
retrySlack = %[16]d
ceilingWindowS = 5
[platform]
address = "%[7]s"
`, n.name, n.ip, callerPort, readyPort, firstPeerPort, lastPeerPort, n.toStore.Address(),
		contact.Milliseconds(), drainBound.Milliseconds(), int(grace.Seconds()), applyBound.Milliseconds(),
		revokeBound.Milliseconds(), stall.Milliseconds(), retryRatio, int(retryWindow.Seconds()), retrySlack)
}

// start begins the node's next life.
func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.life.Add(1)
	n.down.Store(false)
	Expect(n.Start()).To(Succeed())
}

// signal sends a signal to the node unless it has ended.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.Gone() {
		// A process that ends just now needs no signal.
		_ = n.Signal(s)
	}
}

// end makes the node end by a signal and waits for its end.
func (n *node) end(s syscall.Signal) {
	n.down.Store(true)
	n.signal(s)
	select {
	case <-n.Exited():
	case <-time.After(grace):
		n.Kill()
	}
}

// watchReadiness returns the balancer's look at the nodes: two misses take one
// out, an answer takes it in again.
func (w *world) watchReadiness() func() {
	client := &http.Client{Timeout: readyEvery, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := make(map[*node]int)
	return func() {
		for _, n := range w.nodes {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/tamarackcleat/readyz", n.ip, readyPort))
			if err == nil {
				_ = resp.Body.Close()
			}
			if err == nil && resp.StatusCode == http.StatusOK {
				misses[n] = 0
				n.inRotation.Store(true)
				continue
			}
			if misses[n]++; misses[n] >= missesToOut {
				n.inRotation.Store(false)
			}
		}
	}
}

// serves reports whether a node answers a request of a kind.
func (w *world) serves(n *node, kind string) bool {
	c := &caller{world: w, node: n}
	defer c.close()
	a := c.try(request{kind: kind, path: "/" + kind + "/probe", key: steadyKey})
	return a.whole && a.status == http.StatusOK
}

// crashedNodes names the nodes that ended without being told to.
func (w *world) crashedNodes() []string {
	var out []string
	for _, n := range w.nodes {
		n.mu.Lock()
		if !n.down.Load() && n.Gone() {
			out = append(out, n.name)
		}
		n.mu.Unlock()
	}
	return out
}

// tails returns the end of each node's log.
func (w *world) tails() string {
	var b strings.Builder
	for _, n := range w.nodes {
		data, err := os.ReadFile(n.Log)
		if err != nil {
			fmt.Fprintf(&b, "%s: %v\n", n.name, err)
			continue
		}
		fmt.Fprintf(&b, "== %s\n%s\n", n.name, data[max(0, len(data)-tailBytes):])
	}
	return b.String()
}

// tailBytes bounds what is shown of one log.
const tailBytes = 6000

// dial connects to a node as a caller does.
func (n *node) dial() (net.Conn, error) {
	return net.DialTimeout("tcp", n.inbound.Address(), time.Second)
}
