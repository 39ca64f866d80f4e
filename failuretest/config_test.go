package failuretest

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/api"
	"github.com/tamarackcleat/tamarackcleat/config/dynamic/sample"
	"github.com/tamarackcleat/tamarackcleat/configuration"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/logfollow"
	"github.com/tamarackcleat/tamarackcleat/record"
)

// operators publishes configurations through the nodes of a world and checks that
// no node goes back to an older version and that an accepted version keeps its
// document.
type operators struct {
	*world
	// accepted holds the accepted documents by version.
	accepted map[int64]string
	// highest holds the latest version that was in force on each node.
	highest map[record.NodeID]int64
	// problems describes the violations of the guarantees.
	problems []string
}

func newOperators(w *world) *operators {
	return &operators{world: w, accepted: map[int64]string{}, highest: map[record.NodeID]int64{}}
}

// publish sends a change through a node. The base of the change, the version that it
// is made from, is the version in force on the node.
func (o *operators) publish(n *node, name string) {
	base := n.config.InForce().Version
	text := sample.Document(name)
	n.ask(configuration.Name, func(id kernel.AskID) kernel.Message {
		return configuration.Publish{Ask: id, Request: api.PublishRequest{ID: name, BaseVersion: base, Document: text}}
	}, func(m kernel.Message) {
		p, ok := m.(configuration.Published)
		if !ok {
			return
		}
		if before, known := o.accepted[p.State.Version]; known && before != p.State.Document {
			o.problems = append(o.problems, fmt.Sprintf("version %d was accepted with two documents", p.State.Version))
		}
		o.accepted[p.State.Version] = p.State.Document
	})
}

// checkVersions checks that the version in force on each node is not lower than at
// the previous check, and that its document is the accepted one.
func (o *operators) checkVersions() {
	for _, n := range o.nodes {
		in := n.config.InForce()
		if in.Version < o.highest[n.id] {
			o.problems = append(o.problems, fmt.Sprintf("a node went back from version %d to %d", o.highest[n.id], in.Version))
		}
		o.highest[n.id] = in.Version
		if want, ok := o.accepted[in.Version]; ok && !strings.HasPrefix(want, "deployment: "+in.Document.Deployment+"\n") {
			o.problems = append(o.problems, fmt.Sprintf("a node has another document as version %d", in.Version))
		}
	}
}

// runWithFaults publishes one change a round through a random node, injects faults
// between the rounds and checks the versions after each round. It then ends the
// outage of the log, resumes all nodes and lets a minute pass.
func (o *operators) runWithFaults(rounds int) {
	for round := range rounds {
		n := o.nodes[o.rng.IntN(len(o.nodes))]
		o.publish(n, fmt.Sprintf("change-%d", round))
		o.injectFault()
		o.run(time.Duration(o.rng.IntN(3000)) * time.Millisecond)
		o.checkVersions()
	}
	o.log.outage = false
	for _, n := range o.nodes {
		n.resume()
	}
	o.run(time.Minute)
	o.checkVersions()
}

// injectFault starts or ends an outage of the log, pauses, resumes or crashes a
// random node, truncates the log, or does nothing.
func (o *operators) injectFault() {
	i := o.rng.IntN(len(o.nodes))
	switch o.rng.IntN(12) {
	case 0:
		o.log.outage = !o.log.outage
	case 1:
		o.nodes[i].pause()
	case 2, 3:
		o.nodes[i].resume()
	case 4:
		o.crash(i)
	case 5:
		o.truncateBelowCheckpoint()
	}
}

// truncateBelowCheckpoint drops the entries that a checkpoint in the log covers.
// It stands for the platform, which drops entries by age: nodes append a
// checkpoint long before the entries that it covers reach that age.
func (o *operators) truncateBelowCheckpoint() {
	var through int64
	for _, e := range o.log.entries[record.StreamConfig] {
		g, err := record.Decode(e.Data)
		if err != nil || g.Records[0].Checkpoint == nil {
			continue
		}
		through = max(through, g.Records[0].Checkpoint.NextOffset)
	}
	o.log.truncate(record.StreamConfig, int(through-o.log.firstOffset[record.StreamConfig]))
}

var _ = Describe("configuration", func() {
	DescribeTable("is accepted once for each version, reaches every node and never goes back",
		func(seed uint64) {
			w := newWorld(seed, 4)
			w.lostAnswerPercent = 30
			w.log.retention = 16 * time.Second
			o := newOperators(w)
			o.run(time.Second)
			o.runWithFaults(120)
			Expect(o.problems).To(BeEmpty())
			Expect(len(o.accepted)).To(BeNumerically(">", 10))
			Expect(w.log.firstOffset[record.StreamConfig]).To(BeNumerically(">", 0), "the log must have been truncated")
			var newest int64
			for version := range o.accepted {
				newest = max(newest, version)
			}
			for _, n := range w.nodes {
				Expect(n.config.InForce().Version).To(BeNumerically(">=", newest))
			}
		},
		Entry("seed 1", uint64(1)), Entry("seed 2", uint64(2)), Entry("seed 3", uint64(3)),
		Entry("seed 4", uint64(4)), Entry("seed 5", uint64(5)), Entry("seed 6", uint64(6)),
	)

	It("is reported as accepted again when its publication is resent after later changes", func() {
		w := newWorld(1, 2)
		o := newOperators(w)
		o.run(time.Second)
		first := api.PublishRequest{ID: "first", Document: sample.Document("first")}
		send := func(n *node) (answer kernel.Message) {
			n.ask(configuration.Name, func(id kernel.AskID) kernel.Message {
				return configuration.Publish{Ask: id, Request: first}
			}, func(m kernel.Message) { answer = m })
			o.run(time.Second)
			return answer
		}
		send(w.nodes[0])
		o.publish(w.nodes[1], "second")
		o.run(time.Second)
		Expect(send(w.nodes[1])).To(BeAssignableToTypeOf(configuration.Published{}))
	})

	It("is not taken for empty by a node that reads a truncated log without a checkpoint", func() {
		w := newWorld(1, 1)
		o := newOperators(w)
		o.run(time.Second)
		o.publish(w.nodes[0], "first")
		o.run(time.Second)
		w.log.truncate(record.StreamConfig, 1)
		newNode := w.startNode()
		o.run(time.Second)
		Expect(newNode.log.HasBase(record.StreamConfig)).To(BeFalse())
		Expect(newNode.log.CaughtUp(record.StreamConfig)).To(BeFalse())
	})

	It("is restored from a peer's snapshot during an outage of the log, and an older snapshot is ignored", func() {
		w := newWorld(1, 2)
		o := newOperators(w)
		o.run(time.Second)
		beforeFirst := w.nodes[0].log.Snapshots()
		o.publish(w.nodes[0], "first")
		o.run(time.Second)
		afterFirst := w.nodes[0].log.Snapshots()
		o.publish(w.nodes[0], "second")
		o.run(time.Second)
		w.log.outage = true
		newNode := w.startNode()
		offer := func(snapshots []logfollow.Snapshot) {
			for _, s := range snapshots {
				w.schedule(event{at: w.now, node: newNode, to: logfollow.Name, msg: logfollow.OfferSnapshot(s)})
			}
			o.run(time.Second)
		}
		offer(w.nodes[0].log.Snapshots())
		Expect(newNode.config.InForce().Version).To(Equal(int64(2)))
		offer(afterFirst)
		offer(beforeFirst)
		Expect(newNode.config.InForce().Version).To(Equal(int64(2)))
	})
})
