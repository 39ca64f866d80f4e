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

// requestRunner sends requests through the nodes of a world and simulates the
// replicas that run them. A request sent as poison crashes the replica that runs it.
type requestRunner struct {
	*world
	// replicasUsed counts the replicas that were started, one for each run.
	replicasUsed int
	// crashed counts the replicas that crashed.
	crashed int
	// refused counts by fingerprint the requests that quarantine refused.
	refused map[string]int
	// ran counts by fingerprint the requests that ran to their end.
	ran map[string]int
	// withoutQuarantine makes send run requests without asking quarantine.
	withoutQuarantine bool
}

func newRequestRunner(w *world) *requestRunner {
	return &requestRunner{world: w, refused: map[string]int{}, ran: map[string]int{}}
}

// send runs a request through a node if quarantine allows it or withoutQuarantine
// is set. If the request is poison, the requests with the fingerprints in bystanders
// run on the same replica and are reported with its crash. If quarantine orders a
// trial run, which tests whether a request that was in flight during a crash caused
// the crash, the request runs without bystanders.
func (r *requestRunner) send(n *node, fingerprint string, poison bool, bystanders ...string) {
	attempt := r.newID()
	if r.withoutQuarantine {
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

// reportSuspects passes the suspects that a node knows to another one, as a heartbeat
// does.
func (r *requestRunner) reportSuspects(from, to *node) {
	known := from.services[quarantine.Name].(*quarantine.Service).LocalSuspects()
	r.schedule(event{at: r.now, node: to, to: quarantine.Name, msg: quarantine.PeerSuspects{Suspects: known}})
}

// execute runs a request on a new replica and reports to quarantine that the
// replica crashed or, for a trial run, that it survived. trial is the attempt of a
// trial run and empty otherwise.
func (r *requestRunner) execute(n *node, fingerprint, trial string, poison bool, bystanders []string) {
	r.replicasUsed++
	generation := record.Position(r.replicasUsed)
	if !poison {
		r.ran[fingerprint]++
		if trial != "" {
			r.schedule(event{at: r.now, node: n, to: quarantine.Name, msg: quarantine.TrialEnded{Fingerprint: fingerprint, Attempt: trial, Outcome: record.TrialSurvived}})
		}
		return
	}
	r.crashed++
	report := func(f, attempt string) {
		r.schedule(event{at: r.now, node: n, to: quarantine.Name, msg: quarantine.Crashed{
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
	sendPoison := func(seed uint64, withoutQuarantine bool) *requestRunner {
		w := newWorld(seed, 7)
		w.lostAnswerPercent = 20
		r := newRequestRunner(w)
		r.withoutQuarantine = withoutQuarantine
		r.run(time.Second)
		for round := range 60 {
			n := w.nodes[w.rng.IntN(len(w.nodes))]
			r.send(n, "poison", true, fmt.Sprintf("bystander-%d", round))
			r.run(time.Duration(200+w.rng.IntN(800)) * time.Millisecond)
		}
		return r
	}

	DescribeTable("crashes at most two replicas, however often and through whichever node it is sent",
		func(seed uint64) {
			r := sendPoison(seed, false)
			Expect(r.crashed).To(Equal(2))
			Expect(r.refused["poison"]).To(BeNumerically(">", 0))
		},
		Entry("seed 1", uint64(1)), Entry("seed 2", uint64(2)), Entry("seed 3", uint64(3)),
	)

	It("crashes a replica each time without quarantine", func() {
		Expect(sendPoison(1, true).crashed).To(Equal(60))
	})

	It("does not get the other requests of its replica refused", func() {
		w := newWorld(4, 3)
		r := newRequestRunner(w)
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

	It("is refused during an outage of the log on a node that learned of it from a peer", func() {
		w := newWorld(5, 2)
		r := newRequestRunner(w)
		r.run(time.Second)
		w.log.outage = true
		r.run(time.Second)
		r.send(w.nodes[0], "poison", true)
		r.run(time.Second)
		r.send(w.nodes[0], "poison", true)
		r.run(time.Second)
		r.reportSuspects(w.nodes[0], w.nodes[1])
		r.run(time.Second)
		r.send(w.nodes[1], "poison", true)
		r.run(time.Second)
		Expect(r.crashed).To(Equal(2))
		Expect(r.refused["poison"]).To(Equal(1))
	})

	// crashBeforeOutageEnds makes a node report a crash to its peer but pauses it
	// before the crash is on the log, and ends the outage of the log.
	crashBeforeOutageEnds := func(bystanders ...string) *requestRunner {
		w := newWorld(6, 2)
		r := newRequestRunner(w)
		r.run(time.Second)
		w.log.outage = true
		r.run(time.Second)
		r.send(w.nodes[0], "poison", true, bystanders...)
		r.run(100 * time.Millisecond)
		r.reportSuspects(w.nodes[0], w.nodes[1])
		w.nodes[0].pause()
		r.run(100 * time.Millisecond)
		w.log.outage = false
		r.run(5 * time.Second)
		return r
	}

	// Guards against a node that clears a suspect which a peer reported, because the
	// log does not hold the crash yet.
	It("crashes at most two replicas although its first crash reaches the log late", func() {
		r := crashBeforeOutageEnds()
		for range 4 {
			r.send(r.nodes[1], "poison", true)
			r.run(time.Second)
		}
		r.nodes[0].resume()
		r.run(5 * time.Second)
		for _, n := range r.nodes {
			r.send(n, "poison", true)
			r.run(time.Second)
		}
		Expect(r.crashed).To(Equal(2))
		Expect(r.refused["poison"]).To(BeNumerically(">=", 2))
	})

	It("does not get the other requests of its replica refused although its crash reaches the log late", func() {
		r := crashBeforeOutageEnds("innocent")
		r.send(r.nodes[1], "innocent", false)
		r.run(time.Second)
		r.send(r.nodes[1], "innocent", false)
		r.run(time.Second)
		r.nodes[0].resume()
		r.run(5 * time.Second)
		for _, n := range r.nodes {
			r.send(n, "innocent", false)
			r.run(time.Second)
		}
		Expect(r.ran["innocent"]).To(Equal(4))
		Expect(r.refused).To(BeEmpty())
	})
})
