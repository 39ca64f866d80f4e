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

// Time bounds and retry limits. Those that are in the settings of the nodes have the
// values of the platform's example, with shorter bounds for graceful stops and for
// the removal of keys, so that runs are short.
const (
	// contactBound is how long after its end a fault may still affect requests.
	contactBound = 3 * time.Second
	// drainBound is how long after an engine has reported that it is leaving a
	// node may still send it requests.
	drainBound = 2 * time.Second
	// graceBound is how long a node may take for a graceful stop.
	graceBound = 6 * time.Second
	// revokeBound is how long after its removal a key may still be accepted.
	revokeBound = 2500 * time.Millisecond
	// applyBound bounds the time from the store's acknowledgement of a
	// configuration until the nodes apply it.
	applyBound = 2 * time.Second
	// closeRaceTolerance is how long after it was sent a request may fail because
	// its connection was being closed at the same time.
	closeRaceTolerance = 200 * time.Millisecond
	// rollbackTolerance is how long a node may answer by an older configuration
	// after a newer one was first seen in force.
	rollbackTolerance = 250 * time.Millisecond
	// recoveryTimeout bounds the time from the last fault until a node serves
	// again.
	recoveryTimeout = 12 * time.Second
	// stallBound is how long a replica that lost a VM may make no progress before
	// the engine on its first VM reports it as broken.
	stallBound = 2 * time.Second
	// A retryWindow contains at most retryRatio retries for each request, plus
	// retrySlack.
	retryRatio  = 0.2
	retrySlack  = 130
	retryWindow = 10 * time.Second
)

// Ports of a node. All nodes use the same ports, each on its own IP address.
const (
	callerPort    = 8227
	readyPort     = 8220
	firstPeerPort = 7340
	lastPeerPort  = 7355
)

// The configuration and the upstreams.
const (
	host              = "desk.example"
	steadyKey         = "steady-key"
	steadyTeam        = "steady"
	rotatingTeam      = "rotating"
	generatingService = "llm"
	plainService      = "desk"
	// replicaSize is the number of VMs of a replica, maxAttempts the number of
	// upstreams to which a request that may run more than once is sent at most.
	replicaSize = 3
	maxAttempts = 2
	// streamEvents is the number of events in a stream, which takes about 0.75 s.
	streamEvents = 25
	// plainLatency is how long a plain upstream takes for a request.
	plainLatency = 15 * time.Millisecond
	// Deadlines that callers set, for streams and for other requests.
	streamDeadline = 6 * time.Second
	callDeadline   = 1500 * time.Millisecond
)

// Kinds of requests, which are also the first segments of their paths: streams that
// may be resumed at another upstream, calls that must not run more than once, and
// reads, which may run more than once.
const (
	streamKind = "gen"
	onceKind   = "once"
	readKind   = "read"
)

const (
	// tickInterval is the interval at which the engines check whether their
	// replicas make progress.
	tickInterval = 50 * time.Millisecond
	// readinessInterval is the interval of the balancer's readiness checks;
	// readinessFailureThreshold failures in a row take a node out of rotation.
	// The platform's balancer checks every second.
	readinessInterval         = 250 * time.Millisecond
	readinessFailureThreshold = 2
	// startTimeout bounds the wait until a new system serves, which is checked
	// every pollInterval.
	startTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond
)

// node is a gateway process, which is started again each time it has ended.
type node struct {
	*process.Process
	name string
	ip   string
	// storeLink is the proxy between the node and the store, callerLink the proxy
	// between callers and the node.
	storeLink  *link.Link
	callerLink *link.Link

	// mu guards the process: a start doesn't overlap with a signal.
	mu sync.Mutex
	// starts are the times of the process's starts, guarded by mu.
	starts []time.Time
	// faultMu is locked while a fault is injected into the node, so that the node
	// has at most one fault at a time.
	faultMu sync.Mutex
	// incarnation counts the starts of the process.
	incarnation atomic.Int64
	// endRequested says that the test has ended the process.
	endRequested atomic.Bool
	// inRotation says that the balancer sends new connections to the node.
	inRotation atomic.Bool
}

// testSystem is the system under test: gateway nodes, upstreams and a store, with
// the callers, the injected faults and what was observed.
type testSystem struct {
	dir   string
	rng   *rand.Rand
	fleet *standin.Fleet
	nodes []*node
	// generators are the upstreams of the generating service, plainUpstreams those
	// of the plain service.
	generators     []*upstream
	plainUpstreams []*upstream
	// away is an engine of the plain service in awayZone.
	away     *standin.Engine
	faults   *faultLog
	configs  *configPublisher
	attempts *attemptLog
	// storeFaultMu is locked while a fault is injected into the store, so that the
	// store has at most one fault at a time.
	storeFaultMu sync.Mutex
	// done is closed to end the background goroutines; wait is the WaitGroup for
	// their end.
	done chan struct{}
	once sync.Once
	wait sync.WaitGroup
}

// upstream is an engine that is reached through a link.
type upstream struct {
	*standin.Engine
	link *link.Link
	// claimed says that a fault is injected into the upstream. Only one fault can
	// claim it at a time.
	claimed atomic.Bool
}

// newTestSystem starts a system whose size the seed determines and waits until all
// nodes serve.
func newTestSystem(seed uint64) *testSystem {
	s := &testSystem{
		dir: GinkgoT().TempDir(), rng: rand.New(rand.NewPCG(seed, 1)), fleet: standin.NewFleet(),
		faults: &faultLog{}, attempts: newAttemptLog(), done: make(chan struct{}),
	}
	s.fleet.StallTimeout, s.fleet.Events, s.fleet.WorkTime = stallBound, streamEvents, plainLatency
	s.configs = newConfigPublisher(s.fleet)
	s.configs.publish()
	for d := range 1 + s.rng.IntN(2) {
		for i := range 2*replicaSize + 1 + s.rng.IntN(3) {
			s.generators = append(s.generators, s.newUpstream(fmt.Sprintf("llm-%d-%d", d, i), generatingService, fmt.Sprintf("domain-%d", d)))
		}
	}
	for i := range 2 + s.rng.IntN(2) {
		s.plainUpstreams = append(s.plainUpstreams, s.newUpstream(fmt.Sprintf("desk-%d", i), plainService, ""))
	}
	s.away = s.fleet.Add(awayEngine, plainService, "")
	s.away.SetZone(awayZone)
	for i := range 2 + s.rng.IntN(4) {
		s.nodes = append(s.nodes, s.newNode(seed, i))
	}
	s.background(tickInterval, s.fleet.BreakStalledGroups)
	s.background(readinessInterval, s.readinessCheck())
	for _, n := range s.nodes {
		Eventually(func() bool { return s.serves(n, streamKind) && s.serves(n, onceKind) }, startTimeout, pollInterval).Should(BeTrue(), n.name)
	}
	return s
}

// stop ends everything that the system started. Later calls do nothing.
func (s *testSystem) stop() { s.once.Do(s.shutDown) }

func (s *testSystem) shutDown() {
	close(s.done)
	s.wait.Wait()
	for _, n := range s.nodes {
		n.endRequested.Store(true)
		n.Kill()
		n.storeLink.Close()
		n.callerLink.Close()
	}
	for _, u := range append(s.generators, s.plainUpstreams...) {
		u.link.Close()
	}
	s.fleet.Close()
}

// background calls f at an interval, in a new goroutine, until the system stops.
func (s *testSystem) background(interval time.Duration, f func()) {
	s.wait.Go(func() {
		t := time.NewTicker(interval)
		defer t.Stop()
		for {
			select {
			case <-s.done:
				return
			case <-t.C:
				f()
			}
		}
	})
}

// newUpstream starts an engine and puts a link in front of it.
func (s *testSystem) newUpstream(id, service, domain string) *upstream {
	e := s.fleet.Add(id, service, domain)
	k, err := link.New("127.0.0.1:0", e.Address())
	Expect(err).NotTo(HaveOccurred())
	e.Advertise(k.Address())
	return &upstream{Engine: e, link: k}
}

// newNode starts a node. Its IP address is derived from the process id and the seed,
// to differ from the addresses of other runs on this machine.
func (s *testSystem) newNode(seed uint64, i int) *node {
	n := &node{name: fmt.Sprintf("node-%d", i), ip: fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+seed%250, 10+i)}
	var err error
	n.storeLink, err = link.New("127.0.0.1:0", s.fleet.Store.Address())
	Expect(err).NotTo(HaveOccurred())
	n.callerLink, err = link.New("127.0.0.1:0", fmt.Sprintf("%s:%d", n.ip, callerPort))
	Expect(err).NotTo(HaveOccurred())
	settings := filepath.Join(s.dir, n.name+".toml")
	Expect(os.WriteFile(settings, []byte(n.settings()), 0o600)).To(Succeed())
	n.Process = process.New(s.dir, n.name, gatewayPath).WithEnv("TAMARACKCLEAT_NODE_FILE=" + settings)
	n.start()
	return n
}

// settings returns the node's settings file in the form that the platform writes.
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
memoryMb = %[17]d
maxFds = %[18]d
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
`, n.name, n.ip, callerPort, readyPort, firstPeerPort, lastPeerPort, n.storeLink.Address(),
		contactBound.Milliseconds(), drainBound.Milliseconds(), int(graceBound.Seconds()), applyBound.Milliseconds(),
		revokeBound.Milliseconds(), stallBound.Milliseconds(), retryRatio, int(retryWindow.Seconds()), retrySlack, nodeMemoryMB, nodeDescriptors)
}

// start starts the node's process.
func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.incarnation.Add(1)
	n.starts = append(n.starts, time.Now())
	n.endRequested.Store(false)
	Expect(n.Start()).To(Succeed())
}

// startedAt returns when an incarnation of the node's process was started.
func (n *node) startedAt(incarnation int64) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.starts[incarnation-1]
}

// signal sends a signal to the node's process unless it has ended.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.HasExited() {
		// The signal fails if the process ends at this moment, which is
		// harmless.
		_ = n.Signal(s)
	}
}

// terminate ends the node's process with a signal and waits for its end. It kills a
// process that hasn't ended after graceBound.
func (n *node) terminate(s syscall.Signal) {
	n.endRequested.Store(true)
	n.signal(s)
	select {
	case <-n.Exited():
	case <-time.After(graceBound):
		n.Kill()
	}
}

// readinessCheck returns a function that does one readiness check of all nodes, as
// the balancer does: readinessFailureThreshold failures in a row take a node out of
// rotation, one success puts it back.
func (s *testSystem) readinessCheck() func() {
	client := &http.Client{Timeout: readinessInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := make(map[*node]int)
	return func() {
		for _, n := range s.nodes {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/tamarackcleat/readyz", n.ip, readyPort))
			if err == nil {
				_ = resp.Body.Close()
			}
			if err == nil && resp.StatusCode == http.StatusOK {
				misses[n] = 0
				n.inRotation.Store(true)
				continue
			}
			if misses[n]++; misses[n] >= readinessFailureThreshold {
				n.inRotation.Store(false)
			}
		}
	}
}

// serves reports whether a node answers a new request of a kind, or for the route of a
// version, with status 200.
func (s *testSystem) serves(n *node, kind string) bool {
	c := &caller{system: s, node: n}
	defer c.close()
	a := c.try(request{kind: kind, path: "/" + kind + "/probe", key: steadyKey})
	return a.complete && a.status == http.StatusOK
}

// crashedNodes returns the names of the nodes whose processes ended by themselves.
func (s *testSystem) crashedNodes() []string {
	var out []string
	for _, n := range s.nodes {
		n.mu.Lock()
		if !n.endRequested.Load() && n.HasExited() {
			out = append(out, n.name)
		}
		n.mu.Unlock()
	}
	return out
}

// logTails returns the last logTailBytes of each node's log.
func (s *testSystem) logTails() string {
	var b strings.Builder
	for _, n := range s.nodes {
		data, err := os.ReadFile(n.LogPath)
		if err != nil {
			fmt.Fprintf(&b, "%s: %v\n", n.name, err)
			continue
		}
		fmt.Fprintf(&b, "== %s\n%s\n", n.name, data[max(0, len(data)-logTailBytes):])
	}
	return b.String()
}

// logTailBytes bounds what logTails returns of one log.
const logTailBytes = 6000

// dial connects to the node through callerLink.
func (n *node) dial() (net.Conn, error) {
	return net.DialTimeout("tcp", n.callerLink.Address(), time.Second)
}
