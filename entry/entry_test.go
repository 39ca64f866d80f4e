package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/standin/engine"
	"github.com/tamarackcleat/tamarackcleat/standin/logservice"
	"github.com/tamarackcleat/tamarackcleat/standin/vmlist"
)

// newServingCluster starts a cluster of two fabric domains with four engine VMs
// each, a plain service and the given number of nodes. It returns when every node
// routes to four replicas of two VMs.
func newServingCluster(nodes int) *cluster {
	c := newCluster()
	c.addEngines("d1", 4)
	c.addEngines("d2", 4)
	c.addPlain("bookings")
	for range nodes {
		c.addNode()
	}
	c.publish(0)
	c.awaitReplicas(4)
	return c
}

// awaitReplicas waits until every node routes to the given number of replicas.
func (c *cluster) awaitReplicas(count int) {
	for _, n := range c.nodes {
		Eventually(n.servingReplicas, longTimeout, "50ms").Should(Equal(count), n.describe)
	}
}

// describe returns a node's status as JSON, for failure messages.
func (r *runningNode) describe() string {
	text, _ := json.Marshal(r.status())
	return string(text)
}

// expectedAnswer returns the complete answer to a prompt.
func expectedAnswer(prompt string, tokens int) string {
	return engine.AnswerTo(prompt, 7, tokens).Text(tokens)
}

// count returns the number of streams in flight.
func (r *streamRegistry) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, streams := range r.byUpstream {
		n += len(streams)
	}
	return n
}

// sendPrompts sends many prompts at once through all nodes, calls during meanwhile
// and returns the answers that were wrong.
func (c *cluster) sendPrompts(count, tokens int, during func()) []string {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var wrong []string
	for i := range count {
		wg.Add(1)
		go func() {
			defer wg.Done()
			prompt := engine.Topic(fmt.Sprintf("question %d", i), tokens)
			code, text := c.nodes[i%len(c.nodes)].chat(prompt, tokens)
			if code != http.StatusOK || text != expectedAnswer(prompt, tokens) {
				mu.Lock()
				defer mu.Unlock()
				wrong = append(wrong, fmt.Sprintf("%s: %d %.300s", prompt, code, text))
			}
		}()
	}
	during()
	wg.Wait()
	return wrong
}

// rankZeroVMs returns the VM with rank 0 of each replica in the control ledger.
func (c *cluster) rankZeroVMs() []port.VMID {
	var out []port.VMID
	c.nodes[0].readState(GinkgoT().Context(), func(time.Time) {
		for _, r := range c.nodes[0].log.Ledgers().Control.Replicas() {
			out = append(out, r.VMs[0])
		}
	})
	return out
}

var _ = Describe("entry nodes", func() {
	It("deliver every answer complete although chunks are lost, duplicated, reordered or of other requests", func() {
		c := newServingCluster(2)
		for _, e := range c.engines {
			Expect(e.Faults.SetJSON(`{"drop_every":23,"duplicate_every":7,"swap_every":11,"foreign_every":5}`)).To(Succeed())
		}
		Expect(c.sendPrompts(12, 60, func() {})).To(BeEmpty())
	})

	It("deliver every answer complete when a replica loses a VM in mid-stream", func() {
		c := newServingCluster(3)
		wrong := c.sendPrompts(12, 200, func() {
			c.servers[c.rankZeroVMs()[0]].kill()
		})
		Expect(wrong).To(BeEmpty())
		By("waiting until three replicas serve")
		c.awaitReplicas(3)
	})

	It("stop requests on a replica whose VM with rank 1 is paused, and finish them on other replicas", func() {
		c := newServingCluster(2)
		var member port.VMID
		c.nodes[0].readState(GinkgoT().Context(), func(time.Time) {
			member = c.nodes[0].log.Ledgers().Control.Replicas()[0].VMs[1]
		})
		wrong := c.sendPrompts(8, 400, func() {
			Expect(c.engines[member].Faults.SetJSON(`{"pause":true}`)).To(Succeed())
		})
		Expect(wrong).To(BeEmpty())
		c.awaitReplicas(3)
	})

	It("send no new requests to a replica whose VM is leaving, and let those in flight finish", func() {
		c := newServingCluster(2)
		lead := c.rankZeroVMs()[0]
		wrong := c.sendPrompts(8, 200, func() {
			c.change(vmlist.Leave, port.VM{ID: lead})
		})
		Expect(wrong).To(BeEmpty())
		Eventually(func() bool {
			eligible := false
			c.nodes[0].readState(GinkgoT().Context(), func(time.Time) {
				for _, u := range c.nodes[0].health.Eligible() {
					eligible = eligible || u.Report.VM == lead
				}
			})
			return eligible
		}, longTimeout, "50ms").Should(BeFalse())
	})

	It("finish every request in flight when a node is stopped", func() {
		c := newServingCluster(2)
		wrong := c.sendPrompts(8, 400, func() {
			Eventually(func() int { return c.nodes[0].streams.count() }, longTimeout, "5ms").Should(BeNumerically(">=", 4))
			c.nodes[0].stop()
		})
		Expect(wrong).To(BeEmpty())
		Eventually(c.nodes[0].done, longTimeout).Should(Receive(BeNil()))
	})

	It("run a call with an idempotency key once, whichever nodes it is sent through", func() {
		c := newServingCluster(3)
		key := newKey()
		var wg sync.WaitGroup
		for range 4 {
			for _, n := range c.nodes {
				wg.Add(1)
				go func() {
					defer wg.Done()
					n.confirm(key, `{"wall":1}`)
				}()
			}
		}
		wg.Wait()
		code, text := c.nodes[1].confirm(key, `{"wall":1}`)
		Expect(code).To(Equal(http.StatusOK), text)
		code, text = c.nodes[2].confirm(key, `{"wall":2}`)
		Expect(code).To(Equal(http.StatusUnprocessableEntity), text)
		Expect(text).To(ContainSubstring("idempotency_key_reused"))
		Expect(c.plainService.Effects().ByKey).To(HaveLen(1))
		for _, times := range c.plainService.Effects().ByKey {
			Expect(times).To(Equal(1))
		}
	})

	It("keep generating while the log is unreachable, and refuse only calls that may not be repeated", func() {
		c := newServingCluster(2)
		c.log.Faults.Update(func(f *logservice.Faults) { f.Outage = logservice.OutageRefuse })
		Expect(c.sendPrompts(6, 20, func() {})).To(BeEmpty())
		code, text := c.nodes[0].confirm(newKey(), `{"wall":1}`)
		Expect(code).To(Equal(http.StatusServiceUnavailable))
		Expect(text).To(ContainSubstring("may_have_run"))
		Expect(c.plainService.Effects().ByKey).To(BeEmpty())
		c.log.Faults.Update(func(f *logservice.Faults) { f.Outage = "" })
		Eventually(func() int {
			code, _ := c.nodes[0].confirm(newKey(), `{"wall":1}`)
			return code
		}, longTimeout, "100ms").Should(Equal(http.StatusOK))
	})

	It("start during an outage of the log with the state that their peers hold", func() {
		c := newServingCluster(2)
		c.log.Faults.Update(func(f *logservice.Faults) { f.Outage = logservice.OutageRefuse })
		fresh := c.addNode()
		Eventually(fresh.servingReplicas, longTimeout, "50ms").Should(Equal(4))
		prompt := engine.Topic("hello", 20)
		code, text := fresh.chat(prompt, 20)
		Expect(code).To(Equal(http.StatusOK), text)
		Expect(text).To(Equal(expectedAnswer(prompt, 20)))
	})

	It("lose at most two replicas to a request that crashes every upstream it runs on", func() {
		c := newServingCluster(2)
		for _, e := range c.engines {
			Expect(e.Faults.SetJSON(`{"crash_on":"poison"}`)).To(Succeed())
		}
		boots := c.bootIDs()
		refused := 0
		for i := range 12 {
			if code, text := c.nodes[i%2].chat("poison", 20); strings.Contains(text, "request_quarantined") {
				Expect(code).To(Equal(http.StatusUnprocessableEntity))
				refused++
			}
		}
		Expect(refused).To(BeNumerically(">", 0))
		Expect(c.crashedVMs(boots)).To(BeNumerically("<=", 2))
	})
})

// bootIDs returns the boot id of every engine VM's process.
func (c *cluster) bootIDs() map[port.VMID]string {
	out := map[port.VMID]string{}
	for id, e := range c.engines {
		out[id] = e.Report().Boot
	}
	return out
}

// crashedVMs returns the number of engine VMs whose boot id is no longer the one
// in before.
func (c *cluster) crashedVMs(before map[port.VMID]string) int {
	n := 0
	for id, boot := range c.bootIDs() {
		if boot != before[id] {
			n++
		}
	}
	return n
}
