package failuretest

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/tamarackcleat/tamarackcleat/calls"
	"github.com/tamarackcleat/tamarackcleat/configuration"
	"github.com/tamarackcleat/tamarackcleat/eventqueue"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/logfollow"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/quarantine"
	"github.com/tamarackcleat/tamarackcleat/record"
)

// errLost is an append's answer that says nothing about its effect.
var errLost = errors.New("answer lost")

// fakeLog is the platform's log in memory.
type fakeLog struct {
	entries   map[string][]port.Entry
	first     map[string]int64
	outage    bool
	retention time.Duration
}

func newFakeLog() *fakeLog {
	return &fakeLog{
		entries:   map[string][]port.Entry{},
		first:     map[string]int64{},
		retention: 24 * time.Hour,
	}
}

func (l *fakeLog) append(stream string, data []byte) int64 {
	offset := l.first[stream] + int64(len(l.entries[stream]))
	l.entries[stream] = append(l.entries[stream], port.Entry{Offset: offset, Data: data})
	return offset
}

func (l *fakeLog) read(stream string, from int64) port.ReadResult {
	first := l.first[stream]
	all := l.entries[stream]
	res := port.ReadResult{FirstOffset: first, NextOffset: first + int64(len(all)), RetentionMillis: l.retention.Milliseconds()}
	if from >= first && from <= res.NextOffset {
		res.Entries = all[from-first:]
	}
	return res
}

func (l *fakeLog) truncate(stream string, entries int) {
	entries = min(entries, len(l.entries[stream]))
	l.entries[stream] = l.entries[stream][entries:]
	l.first[stream] += int64(entries)
}

// event is a message due at a time.
type event struct {
	at   time.Time
	node *node
	to   string
	msg  kernel.Message
	// run, if set, is called instead.
	run func()
}

// node is one entry process with the services that use the log.
type node struct {
	world    *world
	id       record.NodeID
	services map[string]kernel.Service
	log      *logfollow.Service
	config   *configuration.Service
	paused   bool
	dead     bool
	held     []event
}

// world runs nodes over one fake log, deterministically from a seed.
type world struct {
	rng    *rand.Rand
	now    time.Time
	log    *fakeLog
	nodes  []*node
	events eventqueue.Queue[event]
	ids    int
	asks   kernel.AskID
	onAsk  map[kernel.AskID]func(kernel.Message)
	// loseAnswers is the chance in percent that an append's answer is lost,
	// half of the time before and half after the effect.
	loseAnswers int
}

func newWorld(seed uint64, nodes int) *world {
	w := &world{
		rng:   rand.New(rand.NewPCG(seed, seed)),
		now:   time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		log:   newFakeLog(),
		onAsk: map[kernel.AskID]func(kernel.Message){},
	}
	for range nodes {
		w.nodes = append(w.nodes, w.start())
	}
	return w
}

func (w *world) newID() string {
	w.ids++
	return fmt.Sprintf("id-%d", w.ids)
}

// start adds a process with empty memory.
func (w *world) start() *node {
	n := &node{world: w, id: record.NodeID(w.newID()), services: map[string]kernel.Service{}}
	n.log = logfollow.New(logfollow.NewLedgers(configuration.Validate), w.rng, w.newID)
	n.config = configuration.New(n.log)
	callService := calls.New(n.id, n.log, w.live, w.newID)
	suspects := quarantine.New(n.id, n.log, w.live, w.newID)
	for _, s := range []kernel.Service{n.log, n.config, callService, suspects} {
		n.services[s.Name()] = s
	}
	n.log.Subscribe(record.StreamConfig, configuration.Name)
	n.log.Subscribe(record.StreamSuspects, quarantine.Name)
	for _, stream := range calls.Streams() {
		n.log.Subscribe(stream, calls.Name)
	}
	n.perform(n.log.Start(w.now))
	return n
}

// live reports whether a node runs.
func (w *world) live(_ time.Time, id record.NodeID) bool {
	for _, n := range w.nodes {
		if n.id == id {
			return true
		}
	}
	return false
}

// crash replaces a node by a new process.
func (w *world) crash(i int) {
	w.nodes[i].dead = true
	w.nodes[i] = w.start()
}

// pause stops a node; its messages wait.
func (n *node) pause() { n.paused = true }

// resume lets a paused node go on.
func (n *node) resume() {
	n.paused = false
	for _, e := range n.held {
		e.at = n.world.now
		n.world.push(e)
	}
	n.held = nil
}

func (w *world) push(e event) {
	w.events.Push(e.at, e)
}

// after runs fn after a delay.
func (w *world) after(d time.Duration, fn func()) {
	w.push(event{at: w.now.Add(d), run: fn})
}

// latency returns a random delay of a message.
func (w *world) latency() time.Duration {
	return time.Duration(1+w.rng.IntN(20)) * time.Millisecond
}

// ask puts a question to a service of a node.
func (n *node) ask(to string, build func(kernel.AskID) kernel.Message, answer func(kernel.Message)) {
	n.world.asks++
	id := n.world.asks
	n.world.onAsk[id] = answer
	n.world.push(event{at: n.world.now, node: n, to: to, msg: build(id)})
}

// step handles the next event and reports whether there was one before the
// limit.
func (w *world) step(limit time.Time) bool {
	if _, any := w.events.Next(); !any {
		return false
	}
	at, e, due := w.events.PopDue(limit)
	if !due {
		w.now = limit
		return false
	}
	w.now = at
	w.deliver(e)
	return true
}

// run goes on for a time.
func (w *world) run(d time.Duration) {
	limit := w.now.Add(d)
	for w.step(limit) {
	}
}

func (w *world) deliver(e event) {
	switch {
	case e.run != nil:
		e.run()
	case e.node.dead:
	case e.node.paused:
		e.node.held = append(e.node.held, e)
	default:
		e.node.perform(e.node.services[e.to].Handle(w.now, e.msg))
	}
}

// perform carries out the effects of a service.
func (n *node) perform(effects []kernel.Effect) {
	w := n.world
	for _, effect := range effects {
		switch e := effect.(type) {
		case kernel.Send:
			w.push(event{at: w.now, node: n, to: e.To, msg: e.Msg})
		case kernel.SetTimer:
			w.push(event{at: w.now.Add(e.After), node: n, to: e.To, msg: e.Msg})
		case kernel.Reply:
			if answer, ok := w.onAsk[e.ID]; ok {
				delete(w.onAsk, e.ID)
				answer(e.Msg)
			}
		case logfollow.Read:
			n.read(e)
		case logfollow.AppendEntry:
			n.append(e)
		default:
			panic(fmt.Sprintf("unexpected effect %T", effect))
		}
	}
}

// read answers when there is something to read, or after the long poll.
func (n *node) read(e logfollow.Read) {
	const poll = 10 * time.Millisecond
	w := n.world
	started := w.now
	var try func()
	try = func() {
		done := logfollow.ReadDone{Stream: e.Stream, From: e.From}
		if w.log.outage {
			done.Err = errLost
		} else {
			done.Result = w.log.read(e.Stream, e.From)
			waiting := done.Result.NextOffset == e.From && done.Result.FirstOffset <= e.From
			if waiting && w.now.Sub(started) < min(e.Wait, time.Second) {
				w.after(poll, try)
				return
			}
		}
		w.push(event{at: w.now.Add(w.latency()), node: n, to: logfollow.Name, msg: done})
	}
	w.after(w.latency(), try)
}

func (n *node) append(e logfollow.AppendEntry) {
	w := n.world
	w.after(w.latency(), func() {
		done := logfollow.AppendDone{Stream: e.Stream}
		lost := w.rng.IntN(100) < w.loseAnswers
		switch {
		case w.log.outage, lost && w.rng.IntN(2) == 0:
			done.Err = errLost
		default:
			done.Result.Offset = w.log.append(e.Stream, e.Data)
			if lost {
				done.Err = errLost
			}
		}
		w.push(event{at: w.now.Add(w.latency()), node: n, to: logfollow.Name, msg: done})
	})
}
