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

// retention is the shortest that the ledgers of calls work with.
const retention = ledger.KeyWindow + 2*ledger.MaxKeySkew

// kept is one stream of the fake log.
type kept struct {
	entries []port.Entry
	times   []time.Time
	first   int64
}

// envelope is a message for a service of a process.
type envelope struct {
	at  time.Time
	to  string
	msg kernel.Message
}

// appending is an append on its way: it may take effect and be answered in
// either order, or never.
type appending struct {
	from     *process
	effect   logfollow.AppendEntry
	landed   bool
	answered bool
}

// process is one entry process. Its messages wait until rapid lets it go on,
// so that it may pause between any two steps.
type process struct {
	services map[string]kernel.Service
	log      *logfollow.Service
	config   *configuration.Service
	inbox    []envelope
	timers   []envelope
	reads    []logfollow.Read
	dead     bool
}

// world is a few processes over one log, whose next step is drawn by rapid.
type world struct {
	t         *rapid.T
	now       time.Time
	streams   map[string]*kept
	processes []*process
	appends   []*appending
	answers   map[kernel.AskID]func(kernel.Message)
	asks      kernel.AskID
	ids       int
	outage    bool
	onLanded  func(record.Record)
}

func newWorld(t *rapid.T, processes int) *world {
	w := &world{
		t:        t,
		now:      time.UnixMilli(start),
		streams:  map[string]*kept{},
		answers:  map[kernel.AskID]func(kernel.Message){},
		onLanded: func(record.Record) {},
	}
	for _, name := range record.Streams() {
		w.streams[name] = &kept{}
	}
	for range processes {
		w.processes = append(w.processes, w.start())
	}
	return w
}

func (w *world) newID() string {
	w.ids++
	return fmt.Sprintf("id-%d", w.ids)
}

func (w *world) start() *process {
	p := &process{services: map[string]kernel.Service{}}
	p.log = logfollow.New(logfollow.NewLedgers(configuration.Validate), rand.New(rand.NewPCG(1, 1)), w.newID)
	p.config = configuration.New(p.log)
	everybodyLives := func(time.Time, record.NodeID) bool { return true }
	claims := calls.New(record.NodeID(w.newID()), p.log, everybodyLives, w.newID)
	for _, s := range []kernel.Service{p.log, p.config, claims} {
		p.services[s.Name()] = s
	}
	p.log.Subscribe(record.StreamConfig, configuration.Name)
	for _, stream := range calls.Streams() {
		p.log.Subscribe(stream, calls.Name)
	}
	w.perform(p, p.log.Start(w.now))
	return p
}

// crash replaces a process by a new one with empty memory. Its appends may
// still take effect.
func (w *world) crash(i int) {
	w.processes[i].dead = true
	w.processes[i] = w.start()
}

func (w *world) ask(p *process, to string, build func(kernel.AskID) kernel.Message, answer func(kernel.Message)) {
	w.asks++
	w.answers[w.asks] = answer
	p.inbox = append(p.inbox, envelope{to: to, msg: build(w.asks)})
}

func (w *world) perform(p *process, effects []kernel.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case kernel.Send:
			p.inbox = append(p.inbox, envelope{to: e.To, msg: e.Msg})
		case kernel.SetTimer:
			p.timers = append(p.timers, envelope{at: w.now.Add(e.After), to: e.To, msg: e.Msg})
		case kernel.Reply:
			if answer, ok := w.answers[e.ID]; ok {
				delete(w.answers, e.ID)
				answer(e.Msg)
			}
		case logfollow.Read:
			p.reads = append(p.reads, e)
		case logfollow.AppendEntry:
			w.appends = append(w.appends, &appending{from: p, effect: e})
		default:
			w.t.Fatalf("unexpected effect %T", effect)
		}
	}
}

// handle lets a process handle its next messages.
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

// advance lets time pass. Timers go off; the log drops what is too old.
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
		for int(s.first) < len(s.entries) && w.now.Sub(s.times[s.first]) > retention {
			s.first++
		}
	}
}

// land lets an append take effect.
func (w *world) land(a *appending) {
	if a.landed || w.outage {
		return
	}
	a.landed = true
	s := w.streams[a.effect.Stream]
	s.entries = append(s.entries, port.Entry{Offset: int64(len(s.entries)), Data: a.effect.Data})
	s.times = append(s.times, w.now)
	g, err := record.Decode(a.effect.Data)
	if err != nil {
		w.t.Fatalf("a node appended %s: %v", a.effect.Data, err)
	}
	for _, r := range g.Records {
		w.onLanded(r)
	}
}

// answer tells the writer that its append took effect, or that the answer was
// lost.
func (w *world) answer(a *appending, lost bool) {
	if a.answered || (!lost && !a.landed) {
		return
	}
	a.answered = true
	done := logfollow.AppendDone{Stream: a.effect.Stream}
	if lost {
		done.Err = errBad
	}
	a.from.inbox = append(a.from.inbox, envelope{to: logfollow.Name, msg: done})
}

// forgetAppends drops appends that nothing more can come of.
func (w *world) forgetAppends() {
	w.appends = slices.DeleteFunc(w.appends, func(a *appending) bool { return a.landed && a.answered })
}

// serve answers the reads of a process.
func (w *world) serve(p *process) {
	reads := p.reads
	p.reads = nil
	for _, r := range reads {
		s := w.streams[r.Stream]
		done := logfollow.ReadDone{Stream: r.Stream, From: r.From}
		done.Result = port.ReadResult{FirstOffset: s.first, NextOffset: int64(len(s.entries)), RetentionMillis: retention.Milliseconds()}
		switch {
		case w.outage:
			done.Err = errBad
		case r.Wait > 0 && r.From == done.Result.NextOffset:
			p.reads = append(p.reads, r)
			continue
		case r.From >= s.first && r.From <= done.Result.NextOffset:
			done.Result.Entries = s.entries[r.From:]
		}
		p.inbox = append(p.inbox, envelope{to: logfollow.Name, msg: done})
	}
}

// flow lets everything go on without faults for a while.
func (w *world) flow(rounds int) {
	for range rounds {
		for _, a := range w.appends {
			w.land(a)
			w.answer(a, false)
		}
		w.forgetAppends()
		for _, p := range w.processes {
			w.serve(p)
			w.handle(p, 200)
		}
		w.advance(25 * time.Millisecond)
	}
}

// steps draws what happens next, a number of times. more is called for steps
// that belong to the property.
func (w *world) steps(n int, more func()) {
	for range n {
		p := w.processes[rapid.IntRange(0, len(w.processes)-1).Draw(w.t, "process")]
		switch rapid.IntRange(0, 19).Draw(w.t, "step") {
		case 0, 1, 2:
			w.flow(rapid.IntRange(1, 4).Draw(w.t, "rounds"))
		case 3, 4:
			w.handle(p, rapid.IntRange(1, 5).Draw(w.t, "messages"))
		case 5, 6:
			w.serve(p)
		case 7, 8, 9, 10:
			w.oneAppend()
		case 11:
			w.advance(rapid.SampledFrom(passing).Draw(w.t, "time"))
		case 12:
			w.hardship()
		default:
			more()
		}
	}
}

// passing holds spans of time that may pass at once.
var passing = []time.Duration{10 * time.Millisecond, 500 * time.Millisecond, 4 * time.Second, 40 * time.Second, 20 * time.Minute}

func (w *world) oneAppend() {
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
		w.land(a)
	}
	w.forgetAppends()
}

func (w *world) hardship() {
	switch rapid.IntRange(0, 3).Draw(w.t, "fault") {
	case 0:
		w.crash(rapid.IntRange(0, len(w.processes)-1).Draw(w.t, "crashed"))
	case 1:
		w.outage = true
	default:
		w.outage = false
	}
}
