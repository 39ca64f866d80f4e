package failuretest

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/quarantine"
	"github.com/tamarackcleat/tamarackcleat/record"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// runner sends requests through the nodes; a poisonous one crashes each
// replica that runs it.
type runner struct {
	*world
	replicas int
	crashed  int
	refused  map[string]int
	ran      map[string]int
	// unguarded runs requests without asking quarantine.
	unguarded bool
}

func newRunner(w *world) *runner {
	return &runner{world: w, refused: map[string]int{}, ran: map[string]int{}}
}

// send runs a request through a node, as quarantine allows.
func (r *runner) send(n *node, fingerprint string, poison bool, bystanders ...string) {
	attempt := r.newID()
	if r.unguarded {
		r.execute(n, fingerprint, "", poison, bystanders)
		return
	}
	n.ask(quarantine.Name, func(id kernel.AskID) kernel.Message {
		return quarantine.Check{Ask: id, Fingerprint: fingerprint, Attempt: attempt}
	}, func(m kernel.Message) {
		switch m := m.(type) {
		case quarantine.NotSuspect:
			r.execute(n, fingerprint, "", poison, bystanders)
		case quarantine.RunAsTrial:
			r.execute(n, fingerprint, attempt, poison, nil)
		case *verdict.Error:
			if m.Reason == verdict.ReasonQuarantined {
				r.refused[fingerprint]++
			}
		}
	})
}

// execute runs the request on a replica of its own.
func (r *runner) execute(n *node, fingerprint, trial string, poison bool, bystanders []string) {
	r.replicas++
	generation := record.Position(r.replicas)
	if !poison {
		r.ran[fingerprint]++
		if trial != "" {
			r.push(event{at: r.now, node: n, to: quarantine.Name, msg: quarantine.TrialEnded{Fingerprint: fingerprint, Attempt: trial, Outcome: record.TrialSurvived}})
		}
		return
	}
	r.crashed++
	report := func(f, attempt string) {
		r.push(event{at: r.now, node: n, to: quarantine.Name, msg: quarantine.Crashed{
			Fingerprint: f,
			Replica:     fmt.Sprintf("r%d", generation),
			Generation:  generation,
			Attempt:     attempt,
		}})
	}
	report(fingerprint, trial)
	for _, b := range bystanders {
		report(b, "")
	}
}

var _ = Describe("a request that crashes its upstreams", func() {
	storm := func(seed uint64, unguarded bool) *runner {
		w := newWorld(seed, 7)
		w.loseAnswers = 20
		r := newRunner(w)
		r.unguarded = unguarded
		r.run(time.Second)
		for round := range 60 {
			n := w.nodes[w.rng.IntN(len(w.nodes))]
			r.send(n, "poison", true, fmt.Sprintf("bystander-%d", round))
			r.run(time.Duration(200+w.rng.IntN(800)) * time.Millisecond)
		}
		return r
	}

	DescribeTable("costs at most two replicas, however often and wherever it is sent",
		func(seed uint64) {
			r := storm(seed, false)
			Expect(r.crashed).To(Equal(2))
			Expect(r.refused["poison"]).To(BeNumerically(">", 0))
		},
		Entry("seed 1", uint64(1)), Entry("seed 2", uint64(2)), Entry("seed 3", uint64(3)),
	)

	It("costs a replica each time without quarantine", func() {
		Expect(storm(1, true).crashed).To(Equal(60))
	})

	It("does not get its bystanders refused", func() {
		w := newWorld(4, 3)
		r := newRunner(w)
		r.run(time.Second)
		r.send(w.nodes[0], "poison", true, "innocent-1", "innocent-2")
		r.run(time.Second)
		for _, n := range w.nodes {
			r.send(n, "innocent-1", false)
			r.run(time.Second)
			r.send(n, "innocent-2", false)
			r.run(time.Second)
		}
		Expect(r.ran["innocent-1"]).To(Equal(3))
		Expect(r.ran["innocent-2"]).To(Equal(3))
		Expect(r.refused).To(BeEmpty())
	})

	It("is remembered through peers while the log is out", func() {
		w := newWorld(5, 2)
		r := newRunner(w)
		r.run(time.Second)
		w.log.outage = true
		r.run(time.Second)
		r.send(w.nodes[0], "poison", true)
		r.run(time.Second)
		r.send(w.nodes[0], "poison", true)
		r.run(time.Second)
		known := w.nodes[0].services[quarantine.Name].(*quarantine.Service).LocalSuspects()
		w.push(event{at: w.now, node: w.nodes[1], to: quarantine.Name, msg: quarantine.PeerSuspects{Suspects: known}})
		r.run(time.Second)
		r.send(w.nodes[1], "poison", true)
		r.run(time.Second)
		Expect(r.crashed).To(Equal(2))
		Expect(r.refused["poison"]).To(Equal(1))
	})
})
