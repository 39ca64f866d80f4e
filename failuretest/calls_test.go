package failuretest

import (
	"encoding/json"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/calls"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// callDriver sends calls with idempotency keys through the nodes of a world and
// simulates the plain service that runs them. It checks the answers to the
// callers against the runs of the plain service.
type callDriver struct {
	*world
	// effects counts by key how often the plain service ran the call.
	effects map[string]int
	keyTime map[string]time.Time
	// bodies holds by key the answer of the plain service's latest run.
	bodies map[string]string
	// releaseMayHaveRun makes the driver release the claim of an attempt that
	// may have run, which no node may do: the call can then run again.
	releaseMayHaveRun bool
	// answered counts the answers with a result.
	answered int
	// problems describes the answers that contradict the plain service.
	problems []string
}

func newCallDriver(w *world) *callDriver {
	return &callDriver{world: w, effects: map[string]int{}, keyTime: map[string]time.Time{}, bodies: map[string]string{}}
}

func (d *callDriver) addProblem(format string, args ...any) {
	d.problems = append(d.problems, fmt.Sprintf(format, args...))
}

// submit sends a call through a node. The timestamp in the key is the time
// of its first submission.
func (d *callDriver) submit(n *node, key, content string) {
	attempt := d.newID()
	if d.keyTime[key].IsZero() {
		d.keyTime[key] = d.now
	}
	keyTime := d.keyTime[key]
	n.ask(calls.Name, func(id kernel.AskID) kernel.Message {
		return calls.Submit{
			Ask:       id,
			Key:       key,
			KeyMillis: keyTime.UnixMilli(),
			Digest:    content,
			Attempt:   attempt,
			Deadline:  d.now.Add(10 * time.Second),
		}
	}, func(m kernel.Message) { d.handleReply(n, key, attempt, m) })
}

func (d *callDriver) handleReply(n *node, key, attempt string, m kernel.Message) {
	switch m := m.(type) {
	case calls.Dispatch:
		d.after(d.latency(), func() { d.dispatch(n, key, attempt) })
	case calls.RecordedAnswer:
		d.answered++
		if string(m.Body) != d.bodies[key] {
			d.addProblem("%s: the recorded answer is %s, but the service answered %s", key, m.Body, d.bodies[key])
		}
	case *verdict.Error:
		if m.Verdict == verdict.NotRun && m.Reason != verdict.ReasonKeyReused && d.effects[key] > 0 {
			d.addProblem("%s: reported as not run (%s) after it ran", key, m.Reason)
		}
	}
}

// dispatch simulates the node's request to the plain service. The connection may
// fail, the call may run, or it may run and its answer get lost. A paused node
// sends the request after it has been resumed, and a crashed node never.
func (d *callDriver) dispatch(n *node, key, attempt string) {
	if n.paused {
		d.after(50*time.Millisecond, func() { d.dispatch(n, key, attempt) })
		return
	}
	if n.dead {
		return
	}
	switch d.rng.IntN(4) {
	case 0:
		if d.effects[key] > 0 {
			d.addProblem("%s: reported as not run after it ran", key)
		}
		d.schedule(event{at: d.now, node: n, to: calls.Name, msg: calls.ReleaseClaim{Key: key, Attempt: attempt}})
	case 1:
		d.effects[key]++
		d.bodies[key] = fmt.Sprintf(`"%s"`, attempt)
		done := kernel.Message(calls.EndInDoubt{Key: key, Attempt: attempt})
		if d.releaseMayHaveRun {
			done = calls.ReleaseClaim{Key: key, Attempt: attempt}
		}
		d.schedule(event{at: d.now, node: n, to: calls.Name, msg: done})
	default:
		d.effects[key]++
		d.bodies[key] = fmt.Sprintf(`"%s"`, attempt)
		d.finish(n, key, attempt)
	}
}

func (d *callDriver) finish(n *node, key, attempt string) {
	n.ask(calls.Name, func(id kernel.AskID) kernel.Message {
		return calls.RecordOutcome{Ask: id, Key: key, Attempt: attempt, Body: json.RawMessage(d.bodies[key])}
	}, func(kernel.Message) { d.answered++ })
}

// runWithFaults sends one call a round, often with a key that was sent before,
// and injects faults between the rounds. It then ends the outage of the log,
// resumes all nodes and lets 30 seconds pass.
func (d *callDriver) runWithFaults(rounds int) {
	for round := range rounds {
		key := fmt.Sprintf("team/key-%d", d.rng.IntN(1+round/2))
		d.submit(d.nodes[d.rng.IntN(len(d.nodes))], key, "content of "+key)
		d.injectFault()
		d.run(time.Duration(d.rng.IntN(400)) * time.Millisecond)
	}
	d.log.outage = false
	for _, n := range d.nodes {
		n.resume()
	}
	d.run(30 * time.Second)
}

// injectFault starts or ends an outage of the log, pauses, resumes or crashes a
// random node, or does nothing.
func (d *callDriver) injectFault() {
	i := d.rng.IntN(len(d.nodes))
	switch d.rng.IntN(10) {
	case 0:
		d.log.outage = !d.log.outage
	case 1:
		d.nodes[i].pause()
	case 2, 3:
		d.nodes[i].resume()
	case 4:
		d.crash(i)
	}
}

// repeatedKeys returns the keys of the calls that ran more than once.
func (d *callDriver) repeatedKeys() []string {
	var out []string
	for key, n := range d.effects {
		if n > 1 {
			out = append(out, key)
		}
	}
	return out
}

var _ = Describe("calls that must not run twice", func() {
	DescribeTable("take effect at most once and are never reported as not run after they ran",
		func(seed uint64) {
			w := newWorld(seed, 4)
			w.lostAnswerPercent = 30
			d := newCallDriver(w)
			d.run(time.Second)
			d.runWithFaults(150)
			Expect(d.problems).To(BeEmpty())
			Expect(d.repeatedKeys()).To(BeEmpty())
			Expect(len(d.effects)).To(BeNumerically(">", 10), "the plain service must have run calls")
			Expect(d.answered).To(BeNumerically(">", 10), "callers must have got answers")
		},
		Entry("seed 1", uint64(1)), Entry("seed 2", uint64(2)), Entry("seed 3", uint64(3)),
		Entry("seed 4", uint64(4)), Entry("seed 5", uint64(5)), Entry("seed 6", uint64(6)),
		Entry("seed 7", uint64(7)), Entry("seed 8", uint64(8)),
	)

	It("run twice if a claim is released after a dispatch that may have run", func() {
		repeated := 0
		for seed := range uint64(8) {
			w := newWorld(seed, 4)
			w.lostAnswerPercent = 30
			d := newCallDriver(w)
			d.releaseMayHaveRun = true
			d.run(time.Second)
			d.runWithFaults(150)
			repeated += len(d.repeatedKeys())
		}
		Expect(repeated).To(BeNumerically(">", 0), "the check must detect calls that ran twice")
	})
})
