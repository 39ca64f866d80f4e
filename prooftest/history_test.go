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

// noReturn is the return time of an operation that was not answered.
const noReturn = math.MaxInt64

// operationLog records a history of operations, with times of a logical clock, for
// porcupine's check of linearizability.
type operationLog struct {
	clock int64
	ops   []porcupine.Operation
}

// begin records the start of an operation and returns its index. unanswered is the
// output that the operation has if it never ends.
func (h *operationLog) begin(input, unanswered any) int {
	h.clock++
	h.ops = append(h.ops, porcupine.Operation{Input: input, Call: h.clock, Output: unanswered, Return: noReturn})
	return len(h.ops) - 1
}

// end records the end and the output of operation i. Only the first call for an
// operation counts.
func (h *operationLog) end(i int, output any) {
	if h.ops[i].Return != noReturn {
		return
	}
	h.clock++
	h.ops[i].Output, h.ops[i].Return = output, h.clock
}

// callInput is one submission of a key.
type callInput struct{ key, content, attempt string }

// callOutput is the answer to a submission. The body names the attempt that ran.
type callOutput struct {
	verdict verdict.Verdict
	body    string
}

// callState is the state of a key in callModel: the content of the call that ran and
// the body of its answer, which is the attempt that ran. It is empty before the run.
type callState struct{ content, body string }

// callModel is the model of a call that runs at most once. The answer "ran" has the
// body of the one run. The answer "not run" means that the key had not run at that
// moment, or had run with another content. The answer "may have run" leaves open
// whether the attempt ran.
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

// pendingRequest is a request to the plain service that may still run.
type pendingRequest struct {
	from  *process
	op    int
	input callInput
	// settled is set once the process was told of a result or a broken connection.
	settled bool
}

// callDriver sends calls through the processes of a world and simulates the plain
// service.
type callDriver struct {
	*world
	operationLog
	requests []*pendingRequest
	// runs counts by key how often the plain service ran the call.
	runs map[string]int
	// keys holds the timestamp in each key.
	keys map[string]time.Time
	// releaseMayHaveRun makes the driver release a claim after a dispatch that
	// may have run. The property must then fail.
	releaseMayHaveRun bool
}

// submit sends a call with a drawn key and content through a drawn process. The
// timestamp in a key is the time of its first submission.
func (d *callDriver) submit() {
	p := rapid.SampledFrom(d.processes).Draw(d.t, "through")
	key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(d.t, "key")
	content := rapid.SampledFrom([]string{"x", "x", "x", "x", "y"}).Draw(d.t, "content")
	if _, ok := d.keys[key]; !ok {
		d.keys[key] = d.now
	}
	in := callInput{key: key, content: content, attempt: d.newID()}
	op := d.begin(in, callOutput{verdict: verdict.MayHaveRun})
	d.ask(p, calls.Name, func(id kernel.AskID) kernel.Message {
		return calls.Submit{
			Ask: id, Key: key, KeyMillis: d.keys[key].UnixMilli(), Digest: content,
			Attempt: in.attempt, Deadline: d.now.Add(10 * time.Second),
		}
	}, func(m kernel.Message) {
		switch m := m.(type) {
		case calls.Dispatch:
			d.requests = append(d.requests, &pendingRequest{from: p, op: op, input: in})
		case calls.RecordedAnswer:
			var body string
			if err := json.Unmarshal(m.Body, &body); err != nil {
				d.t.Fatal(err)
			}
			d.end(op, callOutput{verdict: verdict.Ran, body: body})
		case *verdict.Error:
			d.end(op, callOutput{verdict: m.Verdict})
		}
	})
}

// stepRequest draws what happens to a pending request: the plain service runs it or
// refuses it, or the connection breaks. After a broken connection the request stays
// pending and may run later, but its process gets no further answer.
func (d *callDriver) stepRequest() {
	if len(d.requests) == 0 {
		return
	}
	i := rapid.IntRange(0, len(d.requests)-1).Draw(d.t, "flight")
	f := d.requests[i]
	key, attempt := f.input.key, f.input.attempt
	tell := func(m kernel.Message) {
		if !f.settled && !f.from.dead {
			f.settled = true
			f.from.inbox = append(f.from.inbox, envelope{to: calls.Name, msg: m})
		}
	}
	switch rapid.IntRange(0, 3).Draw(d.t, "upstream") {
	case 0:
		d.loseConnection(f, tell)
		return
	case 1:
		tell(calls.ReleaseClaim{Key: key, Attempt: attempt})
		d.end(f.op, callOutput{verdict: verdict.NotRun})
	default:
		d.runs[key]++
		if f.settled || f.from.dead {
			break
		}
		f.settled = true
		d.ask(f.from, calls.Name, func(id kernel.AskID) kernel.Message {
			return calls.RecordOutcome{Ask: id, Key: key, Attempt: attempt, Body: json.RawMessage(`"` + attempt + `"`)}
		}, func(kernel.Message) { d.end(f.op, callOutput{verdict: verdict.Ran, body: attempt}) })
	}
	d.requests = append(d.requests[:i], d.requests[i+1:]...)
}

// loseConnection breaks the connection of a request that may still run.
func (d *callDriver) loseConnection(f *pendingRequest, tell func(kernel.Message)) {
	if f.settled {
		return
	}
	if d.releaseMayHaveRun {
		tell(calls.ReleaseClaim{Key: f.input.key, Attempt: f.input.attempt})
	} else {
		tell(calls.EndInDoubt{Key: f.input.key, Attempt: f.input.attempt})
	}
	d.end(f.op, callOutput{verdict: verdict.MayHaveRun})
}

// callsProperty returns the property that no key runs twice and that the answers to
// the callers are linearizable by callModel. seen counts the answers by verdict.
func callsProperty(releaseMayHaveRun bool, seen map[string]int) func(*rapid.T) {
	return func(t *rapid.T) {
		d := &callDriver{world: newWorld(t, 3), runs: map[string]int{}, keys: map[string]time.Time{}, releaseMayHaveRun: releaseMayHaveRun}
		d.runWithoutFaults(4)
		d.runSteps(150, func() {
			if rapid.Bool().Draw(t, "new") {
				d.submit()
			} else {
				d.stepRequest()
			}
		})
		d.outage = false
		d.runWithoutFaults(20)
		for key, n := range d.runs {
			if n > 1 {
				t.Fatalf("key %s ran %d times", key, n)
			}
		}
		if !porcupine.CheckOperations(callModel, d.ops) {
			t.Fatalf("no history of calls that run at most once explains the answers: %+v", d.ops)
		}
		for _, op := range d.ops {
			seen[string(op.Output.(callOutput).verdict)]++
		}
		seen["runs"] += len(d.runs)
	}
}

// changeInput is the publication of a change.
type changeInput struct {
	id   string
	base int64
}

// changeOutput is the answer to a publication.
type changeOutput string

const (
	changeAccepted changeOutput = "accepted"
	changeRejected changeOutput = "rejected"
	changeUnknown  changeOutput = "unknown"
)

// changeModel is the model of a version that increases by 1 with each accepted
// publication. A publication is accepted if its base is the version, and rejected
// otherwise.
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

// operators publishes changes through the processes of a world.
type operators struct {
	*world
	operationLog
	// version holds the version in force on each process at the last check.
	version map[*process]int64
	// pending holds the index of each publication's operation by the
	// publication's id.
	pending map[string]int
	// trustAppends makes operators take a change for accepted as soon as its
	// record is in the log. The property must then fail.
	trustAppends bool
}

// publish sends a change through a drawn process. The base of the change, the version
// that it is made from, is the version in force on the process.
func (o *operators) publish() {
	p := rapid.SampledFrom(o.processes).Draw(o.t, "through")
	in := changeInput{id: o.newID(), base: p.config.InForce().Version}
	op := o.begin(in, changeUnknown)
	o.pending[in.id] = op
	o.ask(p, configuration.Name, func(id kernel.AskID) kernel.Message {
		return configuration.Publish{Ask: id, Request: api.PublishRequest{ID: in.id, BaseVersion: in.base, Document: sample.Document(in.id)}}
	}, func(m kernel.Message) {
		e, refused := m.(*verdict.Error)
		switch {
		case !refused:
			o.end(op, changeAccepted)
		case e.Verdict == verdict.NotRun:
			o.end(op, changeRejected)
		}
	})
}

// committed records a publication as accepted when its record is in the log, if
// trustAppends is set.
func (o *operators) committed(r record.Record) {
	if op, ok := o.pending[r.ID]; ok && o.trustAppends {
		o.end(op, changeAccepted)
	}
}

// check fails if the version in force on a process is lower than at the last check.
func (o *operators) check() {
	for _, p := range o.processes {
		version := p.config.InForce().Version
		if version < o.version[p] {
			o.t.Fatalf("a process went back from version %d to %d", o.version[p], version)
		}
		o.version[p] = version
	}
}

// changesProperty returns the property that versions never go back and that the
// answers to operators are linearizable by changeModel. seen counts the answers.
func changesProperty(trustAppends bool, seen map[string]int) func(*rapid.T) {
	return func(t *rapid.T) {
		o := &operators{world: newWorld(t, 3), version: map[*process]int64{}, pending: map[string]int{}, trustAppends: trustAppends}
		o.onCommitted = o.committed
		o.runWithoutFaults(4)
		o.runSteps(100, func() {
			o.check()
			if rapid.IntRange(0, 2).Draw(t, "publish") == 0 {
				o.publish()
			}
		})
		o.outage = false
		o.runWithoutFaults(20)
		o.check()
		if !porcupine.CheckOperations(changeModel, o.ops) {
			t.Fatalf("no history of versions explains the answers to operators: %+v", o.ops)
		}
		for _, op := range o.ops {
			seen[string(op.Output.(changeOutput))]++
		}
	}
}

var _ = Describe("histories", func() {
	It("of calls are linearizable as calls that run at most once", func() {
		seen := map[string]int{}
		rapid.Check(GinkgoT(), callsProperty(false, seen))
		GinkgoWriter.Println("answers:", seen)
		for _, what := range []verdict.Verdict{verdict.Ran, verdict.NotRun, verdict.MayHaveRun} {
			Expect(seen[string(what)]).To(BeNumerically(">", 0), "no caller got the answer %s", what)
		}
	})

	It("of calls reveal claims that are released after the call may have run", func() {
		Expect(fails(callsProperty(true, map[string]int{}))).To(BeTrue())
	})

	It("of publications are linearizable as a version that changes only from its base", func() {
		seen := map[string]int{}
		rapid.Check(GinkgoT(), changesProperty(false, seen))
		GinkgoWriter.Println("answers:", seen)
		for _, what := range []changeOutput{changeAccepted, changeRejected, changeUnknown} {
			Expect(seen[string(what)]).To(BeNumerically(">", 0), "no operator got the answer %s", what)
		}
	})

	It("of publications reveal operators that take a committed append for an acceptance", func() {
		Expect(fails(changesProperty(true, map[string]int{}))).To(BeTrue())
	})
})
