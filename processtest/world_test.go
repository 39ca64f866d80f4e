package processtest_test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/standin/link"

	"github.com/tamarackcleat/tamarackcleat/api"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/standin/plainservice"
	"github.com/tamarackcleat/tamarackcleat/standin/vmlist"
)

// The size of a world. Each fabric domain has the VMs of two replicas and one spare
// VM, so that a replica can be formed again after the loss of a VM.
const (
	nodeCount      = 3
	domainCount    = 2
	vmsPerDomain   = 5
	vmsPerReplica  = 2
	wantedReplicas = domainCount * (vmsPerDomain / vmsPerReplica)
)

const (
	draftClass   = "drafting"
	confirmClass = "confirm"
	// longAnswerTokens is the length of an answer that takes several seconds.
	// midStreamTokens, a small part of it, is how many tokens show that the
	// stream is in progress.
	longAnswerTokens  = 500
	midStreamTokens   = 10
	shortAnswerTokens = 30
)

// document returns a configuration document. Documents differ in the longest answer
// of the class drafting.
func document(longest int) string {
	return fmt.Sprintf(`deployment: processes
classes:
  - name: drafting
    kind: generate
    model: draft
    longest_answer: %d tokens
    targets:
      first_token_within: 200ms
      between_tokens_within: 150ms
      answered_within: 30s
      for: 95 in 100
  - name: confirm
    kind: call
    service: bookings
    targets:
      answered_within: 1s
      for: 99 in 100
`, longest)
}

// vm is an engine VM.
type vm struct {
	*proc
	id      port.VMID
	address string
	domain  int
}

// node is an entry VM. It connects to the log through toLog. Its peers connect to it
// through inbound; callers of the test connect directly.
type node struct {
	*proc
	// address is where the callers connect.
	address string
	toLog   *link.Link
	inbound *link.Link
}

// world is a complete deployment on loopback: the stand-ins of the platform, engine
// VMs, the plain service and entry nodes.
type world struct {
	dir                         string
	log, vmList, weights        *proc
	logAddress                  string
	listAddress, weightsAddress string
	plainService                *proc
	plainAddress                string
	vms                         []*vm
	nodes                       []*node
	version                     int64
	reports                     *reportRecorder
}

// newWorld starts all processes, publishes the first document and waits until every
// node routes to all replicas and to the plain service.
func newWorld() *world {
	w := &world{dir: worldDir()}
	w.startPlatform()
	w.startUpstreams()
	for i := range nodeCount {
		w.nodes = append(w.nodes, w.newNode(i))
	}
	DeferCleanup(w.printLogs)
	for _, n := range w.nodes {
		Eventually(n.alive).Should(BeTrue(), n.Name)
	}
	Eventually(w.publishFirst).Should(Succeed())
	w.awaitServing(wantedReplicas, w.nodes...)
	w.awaitPlainService(w.nodes...)
	w.reports = recordReports(w)
	return w
}

// worldDir returns the directory of a world's settings and logs. It is kept after the
// spec if the flag processtest.logs is set.
func worldDir() string {
	if *logsDir == "" {
		return GinkgoT().TempDir()
	}
	dir, err := os.MkdirTemp(*logsDir, "world-")
	Expect(err).NotTo(HaveOccurred())
	return dir
}

// printLogs adds to the report of a failed spec the end of each daemon's log, the
// status and counters of the nodes and the reports of the VMs.
func (w *world) printLogs() {
	if !CurrentSpecReport().Failed() {
		return
	}
	for _, n := range w.nodes {
		data, _ := os.ReadFile(n.LogPath)
		AddReportEntry(n.Name, string(data[max(0, len(data)-maxShownLogBytes):]))
		AddReportEntry(n.Name+" status", fmt.Sprintf("%+v", n.status()))
		AddReportEntry(n.Name+" counters", fmt.Sprint(n.counters()))
	}
	for _, v := range w.vms {
		if r, ok := v.report(); ok {
			AddReportEntry(v.Name, fmt.Sprintf("%+v", r))
		}
	}
}

// maxShownLogBytes bounds how much of one log is added to the report.
const maxShownLogBytes = 4000

func (w *world) startPlatform() {
	w.logAddress, w.listAddress, w.weightsAddress = freeAddress(), freeAddress(), freeAddress()
	w.log = w.standin("log", "log", "--listen", w.logAddress)
	w.vmList = w.standin("vms", "vms", "--listen", w.listAddress, "--lag", "100ms")
	w.weights = w.standin("weights", "weights", "--listen", w.weightsAddress, "--rate", "200GB",
		"--model", fmt.Sprintf("draft=%d:1GB", vmsPerReplica))
	for _, address := range []string{w.logAddress + "/fault", w.listAddress + "/fault", w.weightsAddress + "/v1/models"} {
		Eventually(func() error {
			_, err := doJSON(http.MethodGet, "http://"+address, nil, nil)
			return err
		}).Should(Succeed(), address)
	}
}

func (w *world) standin(name string, args ...string) *proc {
	return newProc(w.dir, name, binaries.standin, args...).start()
}

func (w *world) startUpstreams() {
	list, weights := "http://"+w.listAddress, "http://"+w.weightsAddress
	for d := range domainCount {
		for i := range vmsPerDomain {
			id, address := fmt.Sprintf("engine-%d-%d", d, i), freeAddress()
			p := w.standin(id, "engine", "--listen", address, "--id", id, "--list", list, "--weights", weights,
				"--domain", fmt.Sprintf("domain-%d", d), "--zone", fmt.Sprintf("zone-%d", d))
			w.vms = append(w.vms, &vm{proc: p, id: port.VMID(id), address: address, domain: d})
		}
	}
	w.plainAddress = freeAddress()
	w.plainService = w.standin("bookings", "plain", "--listen", w.plainAddress, "--id", "bookings-0",
		"--service", "bookings", "--zone", "zone-0", "--list", list)
}

// newNode starts an entry node and registers it in the VM list.
func (w *world) newNode(i int) *node {
	n := &node{address: freeAddress(), toLog: newLink(w.logAddress)}
	n.inbound = newLink(n.address)
	name, zone := fmt.Sprintf("node-%d", i), fmt.Sprintf("zone-%d", i%domainCount)
	settings := filepath.Join(w.dir, name+".yaml")
	text := fmt.Sprintf(`listen: %s
advertise: %s
zone: %s
platform:
  log: http://%s
  vms: http://%s
  weights: http://%s
`, n.address, n.inbound.Address(), zone, n.toLog.Address(), w.listAddress, w.weightsAddress)
	Expect(os.WriteFile(settings, []byte(text), 0o600)).To(Succeed())
	n.proc = newProc(w.dir, name, binaries.daemon, "--settings", settings).start()
	line := port.VM{ID: port.VMID(name), Kind: port.KindEntry, Address: n.inbound.Address(), Zone: zone}
	code, err := doJSON(http.MethodPost, "http://"+w.listAddress+"/v1/vms", vmlist.Change{Verb: vmlist.Register, VM: line}, nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(code).To(Equal(http.StatusOK))
	return n
}

// alive reports whether the node's process answers its health check.
func (n *node) alive() bool {
	code, err := doJSON(http.MethodGet, "http://"+n.address+"/healthz", nil, nil)
	return err == nil && code == http.StatusOK
}

// ready reports whether the node accepts requests of callers.
func (n *node) ready() bool {
	code, err := doJSON(http.MethodGet, "http://"+n.address+"/readyz", nil, nil)
	return err == nil && code == http.StatusOK
}

// status returns the node's status; it is empty if the node does not answer.
func (n *node) status() api.Status {
	var s api.Status
	if code, err := doJSON(http.MethodGet, "http://"+n.address+api.PathStatus, nil, &s); err != nil || code != http.StatusOK {
		return api.Status{}
	}
	return s
}

// config returns the node's view of the configuration.
func (n *node) config() api.ConfigView {
	var v api.ConfigView
	if code, err := doJSON(http.MethodGet, "http://"+n.address+api.PathConfig, nil, &v); err != nil || code != http.StatusOK {
		return api.ConfigView{}
	}
	return v
}

// counters returns the node's counters that are not 0.
func (n *node) counters() map[string]int64 {
	var all map[string]struct {
		Count int64 `json:"count"`
	}
	_, _ = doJSON(http.MethodGet, "http://"+n.address+"/metrics", nil, &all)
	counts := map[string]int64{}
	for name, c := range all {
		if c.Count != 0 {
			counts[name] = c.Count
		}
	}
	return counts
}

// counter returns one of the node's counters.
func (n *node) counter(name string) int64 { return n.counters()[name] }

// publishFirst publishes the first document and sets w.version.
func (w *world) publishFirst() error {
	var view api.ConfigView
	code, err := doJSON(http.MethodPost, "http://"+w.nodes[0].address+api.PathConfig,
		api.PublishRequest{ID: "first", Document: document(1000), Author: "test"}, &view)
	if err != nil || code != http.StatusOK {
		return fmt.Errorf("status %d: %v", code, err)
	}
	w.version = view.Version
	return nil
}

// servingReplicas returns the number of replicas to which the node routes requests.
func (n *node) servingReplicas() int {
	for _, m := range n.status().Models {
		if m.Model == "draft" {
			return m.Serving
		}
	}
	return 0
}

// awaitServing waits until each of the nodes routes to count replicas.
func (w *world) awaitServing(count int, nodes ...*node) {
	GinkgoHelper()
	for _, n := range nodes {
		Eventually(n.servingReplicas).Should(Equal(count), n.Name)
	}
}

// awaitPlainService waits until each of the nodes can serve the class confirm and is
// ready.
func (w *world) awaitPlainService(nodes ...*node) {
	GinkgoHelper()
	for _, n := range nodes {
		Eventually(func() bool {
			for _, c := range n.status().Classes {
				if c.Class == confirmClass {
					return len(c.Obstacles) == 0 && n.ready()
				}
			}
			return false
		}).Should(BeTrue(), n.Name)
	}
}

// streams starts count streams, in turn through the nodes.
func (w *world) streams(label string, count, tokens int, nodes ...*node) []*stream {
	var out []*stream
	for i := range count {
		n := nodes[i%len(nodes)]
		out = append(out, newStream(n.address, fmt.Sprintf("%s %d by %s", label, i, n.Name), tokens, ""))
	}
	return out
}

// leaseHolder waits until a node holds the control lease, and returns this node and
// the other nodes.
func (w *world) leaseHolder() (*node, []*node) {
	GinkgoHelper()
	var holder *node
	Eventually(func() *node {
		for _, n := range w.nodes {
			if s := n.status(); s.Node != "" && s.Node == s.LeaseHolder {
				holder = n
			}
		}
		return holder
	}).ShouldNot(BeNil())
	return holder, w.without(holder)
}

// without returns all nodes but one.
func (w *world) without(left *node) []*node {
	var out []*node
	for _, n := range w.nodes {
		if n != left {
			out = append(out, n)
		}
	}
	return out
}

// report returns the VM's report, and false if the VM does not answer.
func (v *vm) report() (port.Report, bool) {
	var r port.Report
	code, err := doJSON(http.MethodGet, "http://"+v.address+"/v1/report", nil, &r)
	return r, err == nil && code == http.StatusOK
}

// busyReplica waits for a replica that runs requests and returns its VMs by rank.
func (w *world) busyReplica() []*vm {
	GinkgoHelper()
	var members []*vm
	Eventually(func() []*vm {
		for _, v := range w.vms {
			if r, ok := v.report(); ok && r.Rank == 0 && r.State == port.EngineReady && r.Running > 0 {
				members = w.members(r)
			}
		}
		return members
	}).Should(HaveLen(vmsPerReplica))
	return members
}

// members returns, by rank, the VMs that report the same replica and generation as
// the given report, or nil if a rank is missing.
func (w *world) members(of port.Report) []*vm {
	found := make([]*vm, vmsPerReplica)
	for _, v := range w.vms {
		if r, ok := v.report(); ok && r.Replica == of.Replica && r.Generation == of.Generation {
			found[r.Rank] = v
		}
	}
	for _, v := range found {
		if v == nil {
			return nil
		}
	}
	return found
}

// vmsInDomain returns the engine VMs of a fabric domain.
func (w *world) vmsInDomain(d int) []*vm {
	var out []*vm
	for _, v := range w.vms {
		if v.domain == d {
			out = append(out, v)
		}
	}
	return out
}

// setLogOutage starts an outage of the log, of one of the kinds of the log's
// stand-in. An empty kind ends it.
func (w *world) setLogOutage(kind string) { setFault(w.logAddress, map[string]any{"outage": kind}) }

// effects returns how often each key took effect in the plain service.
func (w *world) effects() map[string]int {
	GinkgoHelper()
	var e plainservice.Effects
	_, err := doJSON(http.MethodGet, "http://"+w.plainAddress+plainservice.EffectsPath, nil, &e)
	Expect(err).NotTo(HaveOccurred())
	return e.ByKey
}

// reportTimeout bounds one request of the reportRecorder.
const reportTimeout = 500 * time.Millisecond
