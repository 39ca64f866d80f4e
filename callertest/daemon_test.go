package callertest_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/api"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/standin/process"
	"github.com/tamarackcleat/tamarackcleat/standin/vmlist"
)

// daemonConfig is the operators' document.
const daemonConfig = `deployment: callers
classes:
  - name: confirm
    kind: call
    service: bookings
    repeatable: true
    targets:
      answered_within: 1s
      for: 99 in 100
`

// daemonPlatform holds the processes of the stand-ins for tamarackcleatd.
type daemonPlatform struct {
	dir                string
	log                *process.Process
	logAddress         string
	vmList, weightList string
}

// newDaemonPlatform starts the log, the VM list, the weight store and a plain service.
func newDaemonPlatform() *daemonPlatform {
	GinkgoHelper()
	p := &daemonPlatform{dir: GinkgoT().TempDir(), logAddress: freeAddress("127.0.0.1"),
		vmList: freeAddress("127.0.0.1"), weightList: freeAddress("127.0.0.1")}
	p.log = p.standin("log", "log", "--listen", p.logAddress)
	p.standin("vms", "vms", "--listen", p.vmList, "--lag", "100ms")
	p.standin("weights", "weights", "--listen", p.weightList, "--rate", "200GB", "--model", "draft=2:1GB")
	for _, url := range []string{p.logAddress + "/fault", p.vmList + "/fault", p.weightList + "/v1/models"} {
		Eventually(func() error { _, err := get("http://" + url); return err }).Should(Succeed(), url)
	}
	p.standin("bookings", "plain", "--listen", freeAddress("127.0.0.1"), "--id", "bookings-0", "--service", "bookings",
		"--zone", "zone-0", "--list", "http://"+p.vmList)
	return p
}

// standin starts a process of the stand-ins, which is killed at the end of the spec.
func (p *daemonPlatform) standin(name string, args ...string) *process.Process {
	GinkgoHelper()
	proc := process.New(p.dir, name, binaries.standin, args...)
	Expect(proc.Start()).To(Succeed())
	DeferCleanup(proc.Kill)
	return proc
}

// startDaemon starts a tamarackcleatd and waits until it serves. The first one publishes
// the operators' document.
func startDaemon(p *daemonPlatform, name string, bounds limits) *target {
	GinkgoHelper()
	address := freeAddress("127.0.0.1")
	settings := writeFile(p.dir, name+".yaml", fmt.Sprintf(`
listen: %[1]s
advertise: %[1]s
zone: zone-0
log_level: warn
platform:
  log: http://%[2]s
  vms: http://%[3]s
  weights: http://%[4]s
limits:
  memory: %[5]dMiB
  descriptors: %[6]d
`, address, p.logAddress, p.vmList, p.weightList, bounds.memoryMB, bounds.descriptors))
	t := &target{
		Process: process.New(p.dir, name, binaries.daemon, "--settings", settings),
		limits:  bounds,
		address: address,
		requestStart: "POST /v1/calls/confirm HTTP/1.1\r\nHost: h.example\r\nContent-Type: application/json\r\n" +
			"OpenAI-Project: team\r\n",
		ordinaryBody: `{"key":"x"}`,
		readyURL:     "http://" + address + "/readyz",
		metricsURL:   "http://" + address + "/metrics",
		readyStatus:  http.StatusOK,
	}
	Expect(t.Start()).To(Succeed())
	t.cleanUp()
	Eventually(func() (int, error) { return get("http://" + address + "/healthz") }).Should(Equal(http.StatusOK))
	post(p.vmList, "/v1/vms", vmlist.Change{Verb: vmlist.Register, VM: port.VM{
		ID: port.VMID(name), Kind: port.KindEntry, Address: address, Zone: "zone-0"}})
	if name == firstNode {
		post(address, api.PathConfig, api.PublishRequest{ID: "first", Document: daemonConfig, Author: "test"})
	}
	t.awaitServing()
	t.watch()
	return t
}

// firstNode names the first process under test of a spec.
const firstNode = "node-1"

// post sends a JSON body until it is accepted.
func post(address, path string, body any) {
	GinkgoHelper()
	data, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	client := &http.Client{Timeout: requestTimeout}
	Eventually(func() (int, error) {
		resp, err := client.Post("http://"+address+path, "application/json", bytes.NewReader(data))
		if err != nil {
			return 0, err
		}
		return resp.StatusCode, resp.Body.Close()
	}, waitLimit, 200*time.Millisecond).Should(Equal(http.StatusOK), path)
}
