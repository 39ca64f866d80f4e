package callertest_test

import (
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/platform/standin"
)

// kind is one of the two programs under test.
type kind struct {
	name string
	// start starts a number of processes in front of one set of stand-ins. loseStore makes
	// the store, or the log, unreachable.
	start func(count int, bounds limits) (targets []*target, loseStore func())
}

var kinds = []kind{
	{"tamarackcleat-gateway", func(count int, bounds limits) ([]*target, func()) {
		fleet := newGatewayFleet()
		var out []*target
		for i := range count {
			out = append(out, startGateway(fleet, fmt.Sprintf("node-%d", i+1), bounds))
		}
		return out, func() { fleet.Store.SetFaults(standin.StoreFaults{Down: true}) }
	}},
	{"tamarackcleatd", func(count int, bounds limits) ([]*target, func()) {
		platform := newDaemonPlatform()
		var out []*target
		for i := range count {
			out = append(out, startDaemon(platform, fmt.Sprintf("node-%d", i+1), bounds))
		}
		return out, func() {
			platform.log.Kill()
			for _, t := range out {
				// tamarackcleatd is not ready without the log, but it serves.
				t.readyStatus = http.StatusServiceUnavailable
			}
		}
	}},
}

// Guards against a process that runs out of memory or of descriptors, or that serves nobody
// any more, because of callers that exceed the limits.
var _ = Describe("Callers that exceed the limits", Serial, func() {
	for _, k := range kinds {
		for _, b := range everything() {
			It(fmt.Sprintf("leave %s in its bounds with %s", k.name, b.text), func() {
				targets, _ := k.start(1, lowered)
				endure(targets, b.what, false)
			})
		}
		It(fmt.Sprintf("leave %s in its bounds with all of this from many addresses", k.name), func() {
			targets, _ := k.start(1, lowered)
			endure(targets, mixed(everything()), true)
		})
		It(fmt.Sprintf("leave %s in its bounds with all of this spread over several nodes", k.name), func() {
			targets, _ := k.start(2, lowered)
			endure(targets, mixed(everything()), true)
		})
		It(fmt.Sprintf("leave %s in its bounds while it loses the store", k.name), func() {
			targets, loseStore := k.start(1, lowered)
			loseStore()
			endure(targets, mixed(everything()), false)
		})
	}

	for _, listener := range []string{"readiness", "metrics", "peers"} {
		It(fmt.Sprintf("leave tamarackcleat-gateway in its bounds at its listener for %s", listener), func() {
			targets, _ := kinds[0].start(1, lowered)
			other := &target{address: targets[0].listeners[listener], requestStart: targets[0].requestStart}
			c := gather([]*target{other}, mixed(everything()), false)
			defer c.disperse()
			time.Sleep(attackTime)
			targets[0].expectSurvived()
		})
	}

	It("leave tamarackcleat-gateway in its bounds while it reloads its settings", func() {
		targets, _ := kinds[0].start(1, lowered)
		c := gather(targets, mixed(everything()), false)
		defer c.disperse()
		for end := time.Now().Add(attackTime); time.Now().Before(end); time.Sleep(reloadPause) {
			Expect(targets[0].Signal(syscall.SIGHUP)).To(Succeed())
		}
		targets[0].expectSurvived()
	})

	for _, k := range kinds {
		// An ordinary request is answered by the other node, as behind the balancer.
		It(fmt.Sprintf("leave %s in its bounds while it stops, and don't keep it from ending", k.name), func() {
			targets, _ := k.start(2, lowered)
			c := gather(targets[:1], mixed(everything()), false)
			defer c.disperse()
			time.Sleep(attackTime / 2)
			targets[0].terminate()
			time.Sleep(attackTime / 4)
			targets[0].expectInBounds()
			Eventually(targets[0].Exited()).Should(BeClosed())
			Expect(targets[0].ExitCode()).To(BeZero())
			targets[1].expectSurvived()
		})
	}
})

// reloadPause is the pause between two reloads of the settings.
const reloadPause = 200 * time.Millisecond

// endure lets a crowd misbehave and checks that all targets survive it, once attackTime is
// over and the crowd's connections are still open.
func endure(targets []*target, what behavior, manySources bool) {
	GinkgoHelper()
	c := gather(targets, what, manySources)
	defer c.disperse()
	time.Sleep(attackTime)
	for _, t := range targets {
		t.expectSurvived()
	}
}

// The crowd must not be met by ordinary callers' connections either.
var _ = Describe("A caller inside the limits", Serial, func() {
	for _, k := range kinds {
		It(fmt.Sprintf("is served by %s in calm with the largest head and body", k.name), func() {
			targets, _ := k.start(1, lowered)
			t := targets[0]
			t.requestStart += "X-Large: " + string(filler[:15<<10]) + "\r\n"
			t.awaitServing()
			t.ordinaryBody = `{"key":"` + string(filler[:largestOrdinaryBody-len(`{"key":""}`)]) + `"}`
			Eventually(t.ordinary).Should(Equal(http.StatusOK))
			t.expectInBounds()
		})
	}
})

// Guards against limits that callers inside the limits meet.
var _ = Describe("Callers that keep their connections", Serial, func() {
	for _, k := range kinds {
		It(fmt.Sprintf("lose none at %s with the limits of the smallest VM", k.name), func() {
			targets, _ := k.start(1, smallest)
			t := targets[0]
			before := t.residentMemory()
			var conns []net.Conn
			for range keptConnections {
				conn, err := net.DialTimeout("tcp", t.address, dialTimeout)
				Expect(err).NotTo(HaveOccurred())
				DeferCleanup(conn.Close)
				conns = append(conns, conn)
				Expect(t.askOn(conn)).To(Equal(http.StatusOK))
			}
			perConnection := (t.residentMemory() - before) / keptConnections
			AddReportEntry(fmt.Sprintf("%s: %d bytes of resident memory for an idle connection", t.Name, perConnection))
			for _, conn := range conns {
				Expect(t.askOn(conn)).To(Equal(http.StatusOK))
			}
			t.expectInBounds()
		})
	}
})

// keptConnections is the number of connections that callers keep to one node.
const keptConnections = 1000

// largestOrdinaryBody is the largest body that the configurations of both programs allow.
const largestOrdinaryBody = 1 << 20
