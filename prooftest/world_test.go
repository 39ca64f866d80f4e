package prooftest

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/tamarackcleat/tamarackcleat/calls"
	"github.com/tamarackcleat/tamarackcleat/configuration"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/ledger"
	"github.com/tamarackcleat/tamarackcleat/logfollow"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
)

// retention is how long the simulated log keeps an entry: the shortest time that the
// ledgers of calls work with.
const retention = ledger.KeyWindow + 2*ledger.MaxKeySkew

// storedStream is one stream of the simulated log. Its entries stay in memory; those
// below firstOffset count as dropped.
type storedStream struct {
	entries     []port.Entry
	times       []time.Time
	firstOffset int64
}

// envelope is a message to a service of a process. If the message is a timer, at is
// the time at which the timer is due.
type envelope struct {
	at  time.Time
	to  string
	msg kernel.Message
}

// pendingAppend is an append that has not taken effect yet, has not been answered
// yet, or both. It may take effect after it was answered with an error, and it may
// never take effect or never be answered.
type pendingAppend struct {
	from      *process
	effect    logfollow.AppendEntry
	committed bool
	answered  bool
}

// process simulates one entry process. Its messages wait in inbox until rapid draws
// a step that handles them, so that the process may pause between any two.
type process struct {
	services map[string]kernel.Service
	log      *logfollow.Service
	config   *configuration.Service
	inbox    []envelope
	timers   []envelope
	reads    []logfollow.Read
	dead     bool
}

// world simulates processes that share one log. rapid draws each next step.
type world struct {
	t             *rapid.T
	now           time.Time
	streams       map[string]*storedStream
	processes     []*process
	appends       []*pendingAppend
	replyHandlers map[kernel.AskID]func(kernel.Message)
	lastAskID     kernel.AskID
	lastID        int
	outage        bool
	onCommitted   func(record.Record)
}

func newWorld(t *rapid.T, processes int) *world {
	w := &world{
		t:             t,
		now:           time.UnixMilli(startMillis),
		streams:       map[string]*storedStream{},
		replyHandlers: map[kernel.AskID]func(kernel.Message){},
		onCommitted:   func(record.Record) {},
	}
	for _, name := range record.Streams() {
		w.streams[name] = &storedStream{}
	}
	for range processes {
		w.processes = append(w.processes, w.startProcess())
	}
	return w
}

func (w *world) newID() string {
	w.lastID++
	return fmt.Sprintf("id-%d", w.lastID)
}

func (w *world) startProcess() *process {
	p := &process{services: map[string]kernel.Service{}}
	p.log = logfollow.New(logfollow.NewLedgers(configuration.Validate), rand.New(rand.NewPCG(1, 1)), w.newID)
	p.config = configuration.New(p.log)
	allRunning := func(time.Time, record.NodeID) bool { return true }
	callService := calls.New(record.NodeID(w.newID()), p.log, allRunning, w.newID)
	for _, s := range []kernel.Service{p.log, p.config, callService} {
		p.services[s.Name()] = s
	}
	p.log.Subscribe(record.StreamConfig, configuration.Name)
	for _, stream := range calls.Streams() {
		p.log.Subscribe(stream, calls.Name)
	}
	w.perform(p, p.log.Start(w.now))
	return p
}

// crash replaces process i by a new one that has read nothing of the log. Pending
// appends of the crashed process may still take effect.
func (w *world) crash(i int) {
	w.processes[i].dead = true
	w.processes[i] = w.startProcess()
}

// ask sends a request, which build makes with a new id, to a service of p. answer
// is called with the reply.
func (w *world) ask(p *process, to string, build func(kernel.AskID) kernel.Message, answer func(kernel.Message)) {
	w.lastAskID++
	w.replyHandlers[w.lastAskID] = answer
	p.inbox = append(p.inbox, envelope{to: to, msg: build(w.lastAskID)})
}

// perform carries out the effects that a service of p returned.
func (w *world) perform(p *process, effects []kernel.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case kernel.Send:
			p.inbox = append(p.inbox, envelope{to: e.To, msg: e.Msg})
		case kernel.SetTimer:
			p.timers = append(p.timers, envelope{at: w.now.Add(e.After), to: e.To, msg: e.Msg})
		case kernel.Reply:
			if answer, ok := w.replyHandlers[e.ID]; ok {
				delete(w.replyHandlers, e.ID)
				answer(e.Msg)
			}
		case logfollow.Read:
			p.reads = append(p.reads, e)
		case logfollow.AppendEntry:
			w.appends = append(w.appends, &pendingAppend{from: p, effect: e})
		default:
			w.t.Fatalf("unexpected effect %T", effect)
		}
	}
}

// handle makes a process handle its next messages, as many as most.
func (w *world) handle(p *process, most int) {
	for range most {
		if len(p.inbox) == 0 {
			return
		}
		next := p.inbox[0]
		p.inbox = p.inbox[1:]
		if s, ok := p.services[next.to]; ok {
			w.perform(p, s.Handle(w.now, next.msg))
		}
	}
}

// advance moves the time on. Timers that are due go into the inboxes, and the log
// drops the entries older than retention.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, p := range w.processes {
		due := slices.Clone(p.timers)
		p.timers = slices.DeleteFunc(p.timers, func(e envelope) bool { return !e.at.After(w.now) })
		due = slices.DeleteFunc(due, func(e envelope) bool { return e.at.After(w.now) })
		slices.SortStableFunc(due, func(x, y envelope) int { return x.at.Compare(y.at) })
		p.inbox = append(p.inbox, due...)
	}
	for _, s := range w.streams {
		for int(s.firstOffset) < len(s.entries) && w.now.Sub(s.times[s.firstOffset]) > retention {
			s.firstOffset++
		}
	}
}

// commit makes an append take effect, unless it already has or the log is unavailable.
func (w *world) commit(a *pendingAppend) {
	if a.committed || w.outage {
		return
	}
	a.committed = true
	s := w.streams[a.effect.Stream]
	s.entries = append(s.entries, port.Entry{Offset: int64(len(s.entries)), Data: a.effect.Data})
	s.times = append(s.times, w.now)
	g, err := record.Decode(a.effect.Data)
	if err != nil {
		w.t.Fatalf("a process appended %s, which cannot be decoded: %v", a.effect.Data, err)
	}
	for _, r := range g.Records {
		w.onCommitted(r)
	}
}

// answer tells the process that its append took effect. If lost is set, answer tells
// it that the append failed, whether the append took effect or not. It does nothing
// if the append was answered before, or if it has not taken effect and lost is not
// set.
func (w *world) answer(a *pendingAppend, lost bool) {
	if a.answered || (!lost && !a.committed) {
		return
	}
	a.answered = true
	done := logfollow.AppendDone{Stream: a.effect.Stream}
	if lost {
		done.Err = errInjected
	}
	a.from.inbox = append(a.from.inbox, envelope{to: logfollow.Name, msg: done})
}

// dropFinishedAppends removes the appends that took effect and were answered.
func (w *world) dropFinishedAppends() {
	w.appends = slices.DeleteFunc(w.appends, func(a *pendingAppend) bool { return a.committed && a.answered })
}

// serveReads answers the pending reads of a process. A long poll at the end of its
// stream stays pending.
func (w *world) serveReads(p *process) {
	reads := p.reads
	p.reads = nil
	for _, r := range reads {
		s := w.streams[r.Stream]
		done := logfollow.ReadDone{Stream: r.Stream, From: r.From}
		done.Result = port.ReadResult{FirstOffset: s.firstOffset, NextOffset: int64(len(s.entries)), RetentionMillis: retention.Milliseconds()}
		switch {
		case w.outage:
			done.Err = errInjected
		case r.Wait > 0 && r.From == done.Result.NextOffset:
			p.reads = append(p.reads, r)
			continue
		case r.From >= s.firstOffset && r.From <= done.Result.NextOffset:
			done.Result.Entries = s.entries[r.From:]
		}
		p.inbox = append(p.inbox, envelope{to: logfollow.Name, msg: done})
	}
}

// runWithoutFaults runs a number of rounds of 25 milliseconds in which all appends,
// reads and messages proceed. It does not end an outage of the log, during which
// appends stay pending and reads fail.
func (w *world) runWithoutFaults(rounds int) {
	for range rounds {
		for _, a := range w.appends {
			w.commit(a)
			w.answer(a, false)
		}
		w.dropFinishedAppends()
		for _, p := range w.processes {
			w.serveReads(p)
			w.handle(p, 200)
		}
		w.advance(25 * time.Millisecond)
	}
}

// runSteps draws and performs n steps. propertyStep is called for the steps that
// are particular to the property.
func (w *world) runSteps(n int, propertyStep func()) {
	for range n {
		p := w.processes[rapid.IntRange(0, len(w.processes)-1).Draw(w.t, "process")]
		switch rapid.IntRange(0, 19).Draw(w.t, "step") {
		case 0, 1, 2:
			w.runWithoutFaults(rapid.IntRange(1, 4).Draw(w.t, "rounds"))
		case 3, 4:
			w.handle(p, rapid.IntRange(1, 5).Draw(w.t, "messages"))
		case 5, 6:
			w.serveReads(p)
		case 7, 8, 9, 10:
			w.stepAppend()
		case 11:
			w.advance(rapid.SampledFrom(timeSteps).Draw(w.t, "time"))
		case 12:
			w.changeFault()
		default:
			propertyStep()
		}
	}
}

// timeSteps holds the spans of time that one step may let pass.
var timeSteps = []time.Duration{10 * time.Millisecond, 500 * time.Millisecond, 4 * time.Second, 40 * time.Second, 20 * time.Minute}

// stepAppend makes a drawn append take effect or be answered.
func (w *world) stepAppend() {
	if len(w.appends) == 0 {
		return
	}
	a := rapid.SampledFrom(w.appends).Draw(w.t, "append")
	switch rapid.IntRange(0, 3).Draw(w.t, "append's step") {
	case 0:
		w.answer(a, true)
	case 1:
		w.answer(a, false)
	default:
		w.commit(a)
	}
	w.dropFinishedAppends()
}

// changeFault crashes a drawn process, or starts or ends an outage of the log.
func (w *world) changeFault() {
	switch rapid.IntRange(0, 3).Draw(w.t, "fault") {
	case 0:
		w.crash(rapid.IntRange(0, len(w.processes)-1).Draw(w.t, "crashed"))
	case 1:
		w.outage = true
	default:
		w.outage = false
	}
}
