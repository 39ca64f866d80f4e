package prooftest

import (
	"encoding/json"
	"math"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/tamarackcleat/tamarackcleat/api"
	"github.com/tamarackcleat/tamarackcleat/calls"
	"github.com/tamarackcleat/tamarackcleat/config/dynamic/sample"
	"github.com/tamarackcleat/tamarackcleat/configuration"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/record"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// never is the return time of an operation without an answer.
const never = math.MaxInt64

// recorded is a history of operations with a logical clock.
type recorded struct {
	clock int64
	ops   []porcupine.Operation
}

// call notes an operation that is about to start and returns its index.
func (h *recorded) call(input, unanswered any) int {
	h.clock++
	h.ops = append(h.ops, porcupine.Operation{Input: input, Call: h.clock, Output: unanswered, Return: never})
	return len(h.ops) - 1
}

func (h *recorded) done(i int, output any) {
	if h.ops[i].Return != never {
		return
	}
	h.clock++
	h.ops[i].Output, h.ops[i].Return = output, h.clock
}

// callInput is a submission of a key; callOutput is what its caller was told.
type callInput struct{ key, content, attempt string }

type callOutput struct {
	verdict verdict.Verdict
	body    string
}

// callState is a key: who ran it with which content, empty before.
type callState struct{ content, body string }

// callModel is a call that runs at most once. An answer "ran" carries the body
// of the one run; "not run" is true of the key at that moment; "may have run"
// leaves open whether the attempt ran.
var callModel = (&porcupine.NondeterministicModel{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range ops {
			key := op.Input.(callInput).key
			byKey[key] = append(byKey[key], op)
		}
		var out [][]porcupine.Operation
		for _, part := range byKey {
			out = append(out, part)
		}
		return out
	},
	Init: func() []any { return []any{callState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(callState), input.(callInput), output.(callOutput)
		ran := callState{content: in.content, body: in.attempt}
		switch {
		case out.verdict == verdict.Ran && s == callState{} && out.body == in.attempt:
			return []any{ran}
		case out.verdict == verdict.Ran && s.body == out.body && s.content == in.content:
			return []any{s}
		case out.verdict == verdict.NotRun && (s == callState{} || s.content != in.content):
			return []any{s}
		case out.verdict == verdict.MayHaveRun && s == callState{}:
			return []any{s, ran}
		case out.verdict == verdict.MayHaveRun:
			return []any{s}
		default:
			return nil
		}
	},
	Equal: func(x, y any) bool { return x == y },
}).ToModel()

// flight is a request on its way to the plain service.
type flight struct {
	from    *process
	op      int
	input   callInput
	settled bool
}

// desk sends calls and plays the plain service.
type desk struct {
	*world
	recorded
	flights []*flight
	runs    map[string]int
	keys    map[string]time.Time
	// careless gives a claim back after a dispatch that may have run.
	careless bool
}

func (d *desk) submit() {
	p := rapid.SampledFrom(d.processes).Draw(d.t, "through")
	key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(d.t, "key")
	content := rapid.SampledFrom([]string{"x", "x", "x", "x", "y"}).Draw(d.t, "content")
	if _, ok := d.keys[key]; !ok {
		d.keys[key] = d.now
	}
	in := callInput{key: key, content: content, attempt: d.newID()}
	op := d.call(in, callOutput{verdict: verdict.MayHaveRun})
	d.ask(p, calls.Name, func(id kernel.AskID) kernel.Message {
		return calls.Submit{
			Ask: id, Key: key, KeyMillis: d.keys[key].UnixMilli(), Digest: content,
			Attempt: in.attempt, Deadline: d.now.Add(10 * time.Second),
		}
	}, func(m kernel.Message) {
		switch m := m.(type) {
		case calls.Dispatch:
			d.flights = append(d.flights, &flight{from: p, op: op, input: in})
		case calls.RecordedAnswer:
			var body string
			if err := json.Unmarshal(m.Body, &body); err != nil {
				d.t.Fatal(err)
			}
			d.done(op, callOutput{verdict: verdict.Ran, body: body})
		case *verdict.Error:
			d.done(op, callOutput{verdict: m.Verdict})
		}
	})
}

// upstream lets the plain service run, refuse or lose a request, and the
// answer reach the process or not. A lost request may still run later.
func (d *desk) upstream() {
	if len(d.flights) == 0 {
		return
	}
	i := rapid.IntRange(0, len(d.flights)-1).Draw(d.t, "flight")
	f := d.flights[i]
	key, attempt := f.input.key, f.input.attempt
	tell := func(m kernel.Message) {
		if !f.settled && !f.from.dead {
			f.settled = true
			f.from.inbox = append(f.from.inbox, envelope{to: calls.Name, msg: m})
		}
	}
	switch rapid.IntRange(0, 3).Draw(d.t, "upstream") {
	case 0:
		d.lose(f, tell)
		return
	case 1:
		tell(calls.ReleaseClaim{Key: key, Attempt: attempt})
		d.done(f.op, callOutput{verdict: verdict.NotRun})
	default:
		d.runs[key]++
		if f.settled || f.from.dead {
			break
		}
		f.settled = true
		d.ask(f.from, calls.Name, func(id kernel.AskID) kernel.Message {
			return calls.RecordOutcome{Ask: id, Key: key, Attempt: attempt, Body: json.RawMessage(`"` + attempt + `"`)}
		}, func(kernel.Message) { d.done(f.op, callOutput{verdict: verdict.Ran, body: attempt}) })
	}
	d.flights = append(d.flights[:i], d.flights[i+1:]...)
}

// lose breaks the connection of a request that may still run.
func (d *desk) lose(f *flight, tell func(kernel.Message)) {
	if f.settled {
		return
	}
	if d.careless {
		tell(calls.ReleaseClaim{Key: f.input.key, Attempt: f.input.attempt})
	} else {
		tell(calls.EndInDoubt{Key: f.input.key, Attempt: f.input.attempt})
	}
	d.done(f.op, callOutput{verdict: verdict.MayHaveRun})
}

func callsProperty(careless bool, seen map[string]int) func(*rapid.T) {
	return func(t *rapid.T) {
		d := &desk{world: newWorld(t, 3), runs: map[string]int{}, keys: map[string]time.Time{}, careless: careless}
		d.flow(4)
		d.steps(150, func() {
			if rapid.Bool().Draw(t, "new") {
				d.submit()
			} else {
				d.upstream()
			}
		})
		d.outage = false
		d.flow(20)
		for key, n := range d.runs {
			if n > 1 {
				t.Fatalf("key %s ran %d times", key, n)
			}
		}
		if !porcupine.CheckOperations(callModel, d.ops) {
			t.Fatalf("callers were told what no history explains: %+v", d.ops)
		}
		for _, op := range d.ops {
			seen[string(op.Output.(callOutput).verdict)]++
		}
		seen["runs"] += len(d.runs)
	}
}

// changeInput is a publication; changeOutput is what its operator was told.
type changeInput struct {
	id   string
	base int64
}

type changeOutput string

const (
	changeAccepted changeOutput = "accepted"
	changeRejected changeOutput = "rejected"
	changeUnknown  changeOutput = "unknown"
)

// changeModel is a version that changes only from the base of a publication.
var changeModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(0)} },
	Step: func(state, input, output any) []any {
		version, in := state.(int64), input.(changeInput)
		applies := in.base == version
		switch {
		case output == changeAccepted && applies:
			return []any{version + 1}
		case output == changeUnknown && applies:
			return []any{version, version + 1}
		case output == changeUnknown, output == changeRejected && !applies:
			return []any{version}
		default:
			return nil
		}
	},
	Equal: func(x, y any) bool { return x == y },
}).ToModel()

// operators publish changes through the processes of a world.
type operators struct {
	*world
	recorded
	version map[*process]int64
	pending map[string]int
	// hasty operators believe that a change that reached the log is accepted.
	hasty bool
}

func (o *operators) publish() {
	p := rapid.SampledFrom(o.processes).Draw(o.t, "through")
	in := changeInput{id: o.newID(), base: p.config.InForce().Version}
	op := o.call(in, changeUnknown)
	o.pending[in.id] = op
	o.ask(p, configuration.Name, func(id kernel.AskID) kernel.Message {
		return configuration.Publish{Ask: id, Request: api.PublishRequest{ID: in.id, BaseVersion: in.base, Document: sample.Document(in.id)}}
	}, func(m kernel.Message) {
		e, refused := m.(*verdict.Error)
		switch {
		case !refused:
			o.done(op, changeAccepted)
		case e.Verdict == verdict.NotRun:
			o.done(op, changeRejected)
		}
	})
}

// landed tells a hasty operator at once.
func (o *operators) landed(r record.Record) {
	if op, ok := o.pending[r.ID]; ok && o.hasty {
		o.done(op, changeAccepted)
	}
}

// check compares the versions in force with those of the past.
func (o *operators) check() {
	for _, p := range o.processes {
		version := p.config.InForce().Version
		if version < o.version[p] {
			o.t.Fatalf("a process went from version %d to %d", o.version[p], version)
		}
		o.version[p] = version
	}
}

func changesProperty(hasty bool, seen map[string]int) func(*rapid.T) {
	return func(t *rapid.T) {
		o := &operators{world: newWorld(t, 3), version: map[*process]int64{}, pending: map[string]int{}, hasty: hasty}
		o.onLanded = o.landed
		o.flow(4)
		o.steps(100, func() {
			o.check()
			if rapid.IntRange(0, 2).Draw(t, "publish") == 0 {
				o.publish()
			}
		})
		o.outage = false
		o.flow(20)
		o.check()
		if !porcupine.CheckOperations(changeModel, o.ops) {
			t.Fatalf("operators were told what no history explains: %+v", o.ops)
		}
		for _, op := range o.ops {
			seen[string(op.Output.(changeOutput))]++
		}
	}
}

var _ = Describe("histories", func() {
	It("of calls are those of calls that run at most once", func() {
		seen := map[string]int{}
		rapid.Check(GinkgoT(), callsProperty(false, seen))
		GinkgoWriter.Println("answers:", seen)
		for _, what := range []verdict.Verdict{verdict.Ran, verdict.NotRun, verdict.MayHaveRun} {
			Expect(seen[string(what)]).To(BeNumerically(">", 0), "no caller was told %s", what)
		}
	})

	It("of calls show claims that are given back after they may have run", func() {
		Expect(fails(callsProperty(true, map[string]int{}))).To(BeTrue())
	})

	It("of publications are those of a version that changes from its base", func() {
		seen := map[string]int{}
		rapid.Check(GinkgoT(), changesProperty(false, seen))
		GinkgoWriter.Println("answers:", seen)
		for _, what := range []changeOutput{changeAccepted, changeRejected, changeUnknown} {
			Expect(seen[string(what)]).To(BeNumerically(">", 0), "no operator was told %s", what)
		}
	})

	It("of publications show operators that believe an append's answer", func() {
		Expect(fails(changesProperty(true, map[string]int{}))).To(BeTrue())
	})
})
