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

// desk sends calls with keys through the nodes of a world and checks what the
// callers are told against what the plain service really did.
type desk struct {
	*world
	effects map[string]int
	keyTime map[string]time.Time
	bodies  map[string]string
	// runMayHaveRun lets the desk do what no node may: run a call again
	// after an attempt that may have run.
	runMayHaveRun bool
	answered      int
	problems      []string
}

func newDesk(w *world) *desk {
	return &desk{world: w, effects: map[string]int{}, keyTime: map[string]time.Time{}, bodies: map[string]string{}}
}

func (d *desk) problem(format string, args ...any) {
	d.problems = append(d.problems, fmt.Sprintf(format, args...))
}

// submit sends a call through a node.
func (d *desk) submit(n *node, key, content string) {
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
	}, func(m kernel.Message) { d.reply(n, key, attempt, m) })
}

func (d *desk) reply(n *node, key, attempt string, m kernel.Message) {
	switch m := m.(type) {
	case calls.Dispatch:
		d.after(d.latency(), func() { d.dispatch(n, key, attempt) })
	case calls.RecordedAnswer:
		d.answered++
		if string(m.Body) != d.bodies[key] {
			d.problem("%s: recorded answer %s is not that of the service %s", key, m.Body, d.bodies[key])
		}
	case *verdict.Error:
		if m.Verdict == verdict.NotRun && m.Reason != verdict.ReasonKeyReused && d.effects[key] > 0 {
			d.problem("%s: told not run (%s) after it ran", key, m.Reason)
		}
	}
}

// dispatch is the node's request to the plain service: it may fail to connect,
// run, or run and lose the answer. A paused node sends it when it goes on.
func (d *desk) dispatch(n *node, key, attempt string) {
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
			d.problem("%s: told not run after it ran", key)
		}
		d.push(event{at: d.now, node: n, to: calls.Name, msg: calls.ReleaseClaim{Key: key, Attempt: attempt}})
	case 1:
		d.effects[key]++
		d.bodies[key] = fmt.Sprintf(`"%s"`, attempt)
		done := kernel.Message(calls.EndInDoubt{Key: key, Attempt: attempt})
		if d.runMayHaveRun {
			done = calls.ReleaseClaim{Key: key, Attempt: attempt}
		}
		d.push(event{at: d.now, node: n, to: calls.Name, msg: done})
	default:
		d.effects[key]++
		d.bodies[key] = fmt.Sprintf(`"%s"`, attempt)
		d.finish(n, key, attempt)
	}
}

func (d *desk) finish(n *node, key, attempt string) {
	n.ask(calls.Name, func(id kernel.AskID) kernel.Message {
		return calls.RecordOutcome{Ask: id, Key: key, Attempt: attempt, Body: json.RawMessage(d.bodies[key])}
	}, func(kernel.Message) { d.answered++ })
}

// storm sends and resends calls while faults come and go.
func (d *desk) storm(rounds int) {
	for round := range rounds {
		key := fmt.Sprintf("team/key-%d", d.rng.IntN(1+round/2))
		d.submit(d.nodes[d.rng.IntN(len(d.nodes))], key, "content of "+key)
		d.fault()
		d.run(time.Duration(d.rng.IntN(400)) * time.Millisecond)
	}
	d.log.outage = false
	for _, n := range d.nodes {
		n.resume()
	}
	d.run(30 * time.Second)
}

func (d *desk) fault() {
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

func (d *desk) doubled() []string {
	var out []string
	for key, n := range d.effects {
		if n > 1 {
			out = append(out, key)
		}
	}
	return out
}

var _ = Describe("calls that may not be repeated", func() {
	DescribeTable("take effect at most once and are never told not run after they ran",
		func(seed uint64) {
			w := newWorld(seed, 4)
			w.loseAnswers = 30
			d := newDesk(w)
			d.run(time.Second)
			d.storm(150)
			Expect(d.problems).To(BeEmpty())
			Expect(d.doubled()).To(BeEmpty())
			Expect(len(d.effects)).To(BeNumerically(">", 10), "the storm must run calls")
			Expect(d.answered).To(BeNumerically(">", 10), "callers must get answers")
		},
		Entry("seed 1", uint64(1)), Entry("seed 2", uint64(2)), Entry("seed 3", uint64(3)),
		Entry("seed 4", uint64(4)), Entry("seed 5", uint64(5)), Entry("seed 6", uint64(6)),
		Entry("seed 7", uint64(7)), Entry("seed 8", uint64(8)),
	)

	It("are doubled when a claim is released after a dispatch that may have run", func() {
		doubled := 0
		for seed := range uint64(8) {
			w := newWorld(seed, 4)
			w.loseAnswers = 30
			d := newDesk(w)
			d.runMayHaveRun = true
			d.run(time.Second)
			d.storm(150)
			doubled += len(d.doubled())
		}
		Expect(doubled).To(BeNumerically(">", 0), "the check must be able to fail")
	})
})
