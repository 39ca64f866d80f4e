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

// The size of a world. Each fabric domain has room for two replicas and one VM
// more, so that a replica can be formed again when a VM is gone.
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
	// longAnswer takes several seconds; someTokens are few of them.
	longAnswer  = 500
	someTokens  = 10
	shortAnswer = 30
)

// document is the operators' document; its text differs by the length bound.
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

// node is an entry VM. It reaches the log, and others reach it, over links.
type node struct {
	*proc
	// address is where callers of the test connect.
	address string
	toLog   *link.Link
	inbound *link.Link
}

// world is a whole system on loopback.
type world struct {
	dir                    string
	log, list, weights     *proc
	logAddress             string
	listAddress, weightsAt string
	plain                  *proc
	plainAddress           string
	vms                    []*vm
	nodes                  []*node
	version                int64
	watch                  *reportWatch
}

// newWorld starts everything, publishes a document and waits until all
// replicas serve on every node.
func newWorld() *world {
	w := &world{dir: GinkgoT().TempDir()}
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
	w.awaitBookings(w.nodes...)
	w.watch = watchReports(w)
	return w
}

// printLogs shows the end of the daemons' logs of a spec that failed.
func (w *world) printLogs() {
	if !CurrentSpecReport().Failed() {
		return
	}
	for _, n := range w.nodes {
		data, _ := os.ReadFile(n.LogPath)
		AddReportEntry(n.Name, string(data[max(0, len(data)-shownLogBytes):]))
		AddReportEntry(n.Name+" status", fmt.Sprintf("%+v", n.status()))
		AddReportEntry(n.Name+" counters", fmt.Sprint(n.counters()))
	}
	for _, v := range w.vms {
		if r, ok := v.report(); ok {
			AddReportEntry(v.Name, fmt.Sprintf("%+v", r))
		}
	}
}

// shownLogBytes bounds what is shown of one log.
const shownLogBytes = 4000

func (w *world) startPlatform() {
	w.logAddress, w.listAddress, w.weightsAt = freeAddress(), freeAddress(), freeAddress()
	w.log = w.standin("log", "log", "--listen", w.logAddress)
	w.list = w.standin("vms", "vms", "--listen", w.listAddress, "--lag", "100ms")
	w.weights = w.standin("weights", "weights", "--listen", w.weightsAt, "--rate", "200GB",
		"--model", fmt.Sprintf("draft=%d:1GB", vmsPerReplica))
	for _, address := range []string{w.logAddress + "/fault", w.listAddress + "/fault", w.weightsAt + "/v1/models"} {
		Eventually(func() error {
			_, err := ask(http.MethodGet, "http://"+address, nil, nil)
			return err
		}).Should(Succeed(), address)
	}
}

func (w *world) standin(name string, args ...string) *proc {
	return newProc(w.dir, name, binaries.standin, args...).start()
}

func (w *world) startUpstreams() {
	list, weights := "http://"+w.listAddress, "http://"+w.weightsAt
	for d := range domainCount {
		for i := range vmsPerDomain {
			id, address := fmt.Sprintf("engine-%d-%d", d, i), freeAddress()
			p := w.standin(id, "engine", "--listen", address, "--id", id, "--list", list, "--weights", weights,
				"--domain", fmt.Sprintf("domain-%d", d), "--zone", fmt.Sprintf("zone-%d", d))
			w.vms = append(w.vms, &vm{proc: p, id: port.VMID(id), address: address, domain: d})
		}
	}
	w.plainAddress = freeAddress()
	w.plain = w.standin("bookings", "plain", "--listen", w.plainAddress, "--id", "bookings-0",
		"--service", "bookings", "--zone", "zone-0", "--list", list)
}

// newNode starts an entry node and puts it on the VM list.
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
`, n.address, n.inbound.Address(), zone, n.toLog.Address(), w.listAddress, w.weightsAt)
	Expect(os.WriteFile(settings, []byte(text), 0o600)).To(Succeed())
	n.proc = newProc(w.dir, name, binaries.daemon, "--settings", settings).start()
	line := port.VM{ID: port.VMID(name), Kind: port.KindEntry, Address: n.inbound.Address(), Zone: zone}
	code, err := ask(http.MethodPost, "http://"+w.listAddress+"/v1/vms", vmlist.Change{Verb: vmlist.Register, VM: line}, nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(code).To(Equal(http.StatusOK))
	return n
}

func (n *node) alive() bool {
	code, err := ask(http.MethodGet, "http://"+n.address+"/healthz", nil, nil)
	return err == nil && code == http.StatusOK
}

// ready reports whether the node takes callers.
func (n *node) ready() bool {
	code, err := ask(http.MethodGet, "http://"+n.address+"/readyz", nil, nil)
	return err == nil && code == http.StatusOK
}

// status returns the node's status; it is empty if the node does not answer.
func (n *node) status() api.Status {
	var s api.Status
	if code, err := ask(http.MethodGet, "http://"+n.address+api.PathStatus, nil, &s); err != nil || code != http.StatusOK {
		return api.Status{}
	}
	return s
}

// config returns the node's view of the configuration.
func (n *node) config() api.ConfigView {
	var v api.ConfigView
	if code, err := ask(http.MethodGet, "http://"+n.address+api.PathConfig, nil, &v); err != nil || code != http.StatusOK {
		return api.ConfigView{}
	}
	return v
}

// counters returns the node's counters that are not 0.
func (n *node) counters() map[string]int64 {
	var all map[string]struct {
		Count int64 `json:"count"`
	}
	_, _ = ask(http.MethodGet, "http://"+n.address+"/metrics", nil, &all)
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

// publishFirst publishes the first document.
func (w *world) publishFirst() error {
	var view api.ConfigView
	code, err := ask(http.MethodPost, "http://"+w.nodes[0].address+api.PathConfig,
		api.PublishRequest{ID: "first", Document: document(1000), Author: "test"}, &view)
	if err != nil || code != http.StatusOK {
		return fmt.Errorf("status %d: %v", code, err)
	}
	w.version = view.Version
	return nil
}

// serving counts the replicas that serve on a node.
func (n *node) serving() int {
	for _, m := range n.status().Models {
		if m.Model == "draft" {
			return m.Serving
		}
	}
	return 0
}

// awaitServing waits until nodes route to so many replicas.
func (w *world) awaitServing(count int, nodes ...*node) {
	GinkgoHelper()
	for _, n := range nodes {
		Eventually(n.serving).Should(Equal(count), n.Name)
	}
}

// awaitBookings waits until nodes know the plain service and are ready.
func (w *world) awaitBookings(nodes ...*node) {
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

// streams starts streams, taking turns over nodes.
func (w *world) streams(label string, count, tokens int, nodes ...*node) []*stream {
	var out []*stream
	for i := range count {
		n := nodes[i%len(nodes)]
		out = append(out, newStream(n.address, fmt.Sprintf("%s %d by %s", label, i, n.Name), tokens, ""))
	}
	return out
}

// holder returns the node that holds the control lease, and the others.
func (w *world) holder() (*node, []*node) {
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

// without returns the nodes but one.
func (w *world) without(left *node) []*node {
	var out []*node
	for _, n := range w.nodes {
		if n != left {
			out = append(out, n)
		}
	}
	return out
}

// report returns a VM's report; false if it does not answer.
func (v *vm) report() (port.Report, bool) {
	var r port.Report
	code, err := ask(http.MethodGet, "http://"+v.address+"/v1/report", nil, &r)
	return r, err == nil && code == http.StatusOK
}

// busyReplica returns the members by rank of a replica that runs requests.
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

// members returns the VMs in the replica of a report by rank.
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

// domain returns the VMs of a fabric domain.
func (w *world) domain(d int) []*vm {
	var out []*vm
	for _, v := range w.vms {
		if v.domain == d {
			out = append(out, v)
		}
	}
	return out
}

// outage sets the log's outage; empty ends it.
func (w *world) outage(kind string) { setFault(w.logAddress, map[string]any{"outage": kind}) }

// effects returns how often each key took effect.
func (w *world) effects() map[string]int {
	GinkgoHelper()
	var e plainservice.Effects
	_, err := ask(http.MethodGet, "http://"+w.plainAddress+plainservice.EffectsPath, nil, &e)
	Expect(err).NotTo(HaveOccurred())
	return e.ByKey
}

// reportTimeout ends a question of the report watch.
const reportTimeout = 500 * time.Millisecond
