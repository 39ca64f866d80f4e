package callertest_test

import (
	"fmt"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"

	"github.com/tamarackcleat/tamarackcleat/platform/standin"
	"github.com/tamarackcleat/tamarackcleat/standin/process"
)

// gatewayConfig is the operators' configuration; its limits are those of the platform's
// example.
const gatewayConfig = `{"version":1,"routes":[
{"name":"once","host":"h.example","pathPrefix":"/once/","type":"non_idempotent","timeoutMs":30000,"sloMs":100,"service":"desk","maxAttempts":1}],
"services":[{"name":"desk","healthPath":"/healthz","maxConns":50}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"team","apiKeys":["key"]}]}`

// plainUpstreams is the number of upstreams of the plain service.
const plainUpstreams = 2

// newGatewayFleet starts the stand-ins of the platform for gateways.
func newGatewayFleet() *standin.Fleet {
	fleet := standin.NewFleet()
	DeferCleanup(fleet.Close)
	fleet.PutConfig([]byte(gatewayConfig))
	for i := range plainUpstreams {
		fleet.Add(fmt.Sprintf("p%d", i), "desk", "")
	}
	return fleet
}

// startGateway starts a tamarackcleat-gateway and waits until it serves.
func startGateway(fleet *standin.Fleet, name string, bounds limits) *target {
	GinkgoHelper()
	address, ready, peer := freeAddress("127.0.0.1"), freeAddress("127.0.0.1"), freeAddress("127.0.0.1")
	metrics := freeAddress("127.0.0.1")
	_, peerPort, _ := net.SplitHostPort(peer)
	_, metricsPort, _ := net.SplitHostPort(metrics)
	settings := writeFile(GinkgoT().TempDir(), name+".toml", fmt.Sprintf(`
node = "%s"
zone = "z"
ip = "127.0.0.1"
internalPorts = [%s, %s]
bootstrap = true
[listen]
front = "%s"
readyAddr = "%s"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = %d
maxFds = %d
[bounds]
contactMs = 3000
drainMs = 2000
graceS = 6
configApplyMs = 2000
revokeMs = 5000
strictRevoke = false
stallMs = 2000
retryBudgetRatio = 0.2
budgetWindowS = 10
retrySlack = 130
ceilingWindowS = 5
[platform]
address = "%s"
`, name, peerPort, peerPort, address, ready, bounds.memoryMB, bounds.descriptors, fleet.Store.Address()))
	t := &target{
		Process: process.New(GinkgoT().TempDir(), name, binaries.gateway, "--metrics-port", metricsPort, "--log-level", "warn").
			WithEnv("TAMARACKCLEAT_NODE_FILE=" + settings),
		limits:       bounds,
		address:      address,
		listeners:    map[string]string{"readiness": ready, "metrics": metrics, "peers": peer},
		requestStart: "POST /once/a HTTP/1.1\r\nHost: h.example\r\nX-Tamarackcleat-Attempt-Id: " + crowdID + "\r\nAuthorization: Token key\r\n",
		ordinaryBody: "x",
		readyURL:     "http://" + ready + "/tamarackcleat/readyz",
		metricsURL:   "http://" + metrics + "/metrics",
		readyStatus:  http.StatusOK,
	}
	return t.begin()
}
