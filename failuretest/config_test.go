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

// operators publish configurations through the nodes of a world and check that
// what was accepted never reverts.
type operators struct {
	*world
	accepted map[int64]string
	highest  map[record.NodeID]int64
	problems []string
}

func newOperators(w *world) *operators {
	return &operators{world: w, accepted: map[int64]string{}, highest: map[record.NodeID]int64{}}
}

// publish sends a change made from the version that the node has in force.
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
			o.problems = append(o.problems, fmt.Sprintf("version %d accepted twice", p.State.Version))
		}
		o.accepted[p.State.Version] = p.State.Document
	})
}

// check compares every node with what was accepted and with its own past.
func (o *operators) check() {
	for _, n := range o.nodes {
		in := n.config.InForce()
		if in.Version < o.highest[n.id] {
			o.problems = append(o.problems, fmt.Sprintf("node went from version %d to %d", o.highest[n.id], in.Version))
		}
		o.highest[n.id] = in.Version
		if want, ok := o.accepted[in.Version]; ok && !strings.HasPrefix(want, "deployment: "+in.Document.Deployment+"\n") {
			o.problems = append(o.problems, fmt.Sprintf("version %d differs on a node", in.Version))
		}
	}
}

// storm publishes from all nodes while the log loses answers, truncates and
// goes out, and nodes pause and crash.
func (o *operators) storm(rounds int) {
	for round := range rounds {
		n := o.nodes[o.rng.IntN(len(o.nodes))]
		o.publish(n, fmt.Sprintf("change-%d", round))
		o.fault()
		o.run(time.Duration(o.rng.IntN(3000)) * time.Millisecond)
		o.check()
	}
	o.log.outage = false
	for _, n := range o.nodes {
		n.resume()
	}
	o.run(time.Minute)
	o.check()
}

func (o *operators) fault() {
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
		o.truncateBehindCheckpoint()
	}
}

// truncateBehindCheckpoint drops entries as the platform does by age: those
// that a checkpoint, which nodes append well before, has made superfluous.
func (o *operators) truncateBehindCheckpoint() {
	var through int64
	for _, e := range o.log.entries[record.StreamConfig] {
		g, err := record.Decode(e.Data)
		if err != nil || g.Records[0].Checkpoint == nil {
			continue
		}
		through = max(through, g.Records[0].Checkpoint.NextOffset)
	}
	o.log.truncate(record.StreamConfig, int(through-o.log.first[record.StreamConfig]))
}

var _ = Describe("configuration", func() {
	DescribeTable("is accepted once, reaches every node and never reverts",
		func(seed uint64) {
			w := newWorld(seed, 4)
			w.loseAnswers = 30
			w.log.retention = 16 * time.Second
			o := newOperators(w)
			o.run(time.Second)
			o.storm(120)
			Expect(o.problems).To(BeEmpty())
			Expect(len(o.accepted)).To(BeNumerically(">", 10))
			Expect(w.log.first[record.StreamConfig]).To(BeNumerically(">", 0), "the log must have been truncated")
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

	It("tells a resend that it was accepted, also after later changes", func() {
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

	It("is not read as empty from a truncated log without a checkpoint", func() {
		w := newWorld(1, 1)
		o := newOperators(w)
		o.run(time.Second)
		o.publish(w.nodes[0], "first")
		o.run(time.Second)
		w.log.truncate(record.StreamConfig, 1)
		fresh := w.start()
		o.run(time.Second)
		Expect(fresh.log.HasBase(record.StreamConfig)).To(BeFalse())
		Expect(fresh.log.CaughtUp(record.StreamConfig)).To(BeFalse())
	})

	It("comes from a peer's snapshot while the log is out, and an older one is refused", func() {
		w := newWorld(1, 2)
		o := newOperators(w)
		o.run(time.Second)
		old := w.nodes[0].log.Snapshots()
		o.publish(w.nodes[0], "first")
		o.run(time.Second)
		current := w.nodes[0].log.Snapshots()
		o.publish(w.nodes[0], "second")
		o.run(time.Second)
		w.log.outage = true
		fresh := w.start()
		seed := func(snapshots []logfollow.Snapshot) {
			for _, s := range snapshots {
				w.push(event{at: w.now, node: fresh, to: logfollow.Name, msg: logfollow.OfferSnapshot(s)})
			}
			o.run(time.Second)
		}
		seed(w.nodes[0].log.Snapshots())
		Expect(fresh.config.InForce().Version).To(Equal(int64(2)))
		seed(current)
		seed(old)
		Expect(fresh.config.InForce().Version).To(Equal(int64(2)))
	})
})
