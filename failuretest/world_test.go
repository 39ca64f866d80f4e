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

// errAnswerLost is the error of a read or append without an answer. The append may
// have taken effect.
var errAnswerLost = errors.New("answer lost")

// fakeLog is the platform's log in memory.
type fakeLog struct {
	// entries holds the entries that are kept, by stream.
	entries map[string][]port.Entry
	// firstOffset holds the offset of the first entry kept, by stream.
	firstOffset map[string]int64
	// outage makes reads and appends fail without effect.
	outage bool
	// retention is the retention period that the log reports in answers to
	// reads. fakeLog drops no entry by age.
	retention time.Duration
}

func newFakeLog() *fakeLog {
	return &fakeLog{
		entries:     map[string][]port.Entry{},
		firstOffset: map[string]int64{},
		retention:   24 * time.Hour,
	}
}

func (l *fakeLog) append(stream string, data []byte) int64 {
	offset := l.firstOffset[stream] + int64(len(l.entries[stream]))
	l.entries[stream] = append(l.entries[stream], port.Entry{Offset: offset, Data: data})
	return offset
}

func (l *fakeLog) read(stream string, from int64) port.ReadResult {
	first := l.firstOffset[stream]
	all := l.entries[stream]
	res := port.ReadResult{FirstOffset: first, NextOffset: first + int64(len(all)), RetentionMillis: l.retention.Milliseconds()}
	if from >= first && from <= res.NextOffset {
		res.Entries = all[from-first:]
	}
	return res
}

// truncate drops the oldest entries of a stream.
func (l *fakeLog) truncate(stream string, entries int) {
	entries = min(entries, len(l.entries[stream]))
	l.entries[stream] = l.entries[stream][entries:]
	l.firstOffset[stream] += int64(entries)
}

// event is a message to a service of a node, due at a time.
type event struct {
	at   time.Time
	node *node
	to   string
	msg  kernel.Message
	// run, if set, is called instead of delivering msg.
	run func()
}

// node simulates one entry process with the services that use the log.
type node struct {
	world    *world
	id       record.NodeID
	services map[string]kernel.Service
	log      *logfollow.Service
	config   *configuration.Service
	paused   bool
	dead     bool
	// deferred holds the events that became due while the node was paused.
	deferred []event
}

// world simulates nodes that share one fakeLog. The seed determines every delay
// and fault, so that a run can be repeated.
type world struct {
	rng *rand.Rand
	// now is the simulated time.
	now   time.Time
	log   *fakeLog
	nodes []*node
	// events holds the events that are not yet due.
	events        eventqueue.Queue[event]
	lastID        int
	lastAskID     kernel.AskID
	replyHandlers map[kernel.AskID]func(kernel.Message)
	// lostAnswerPercent is the chance in percent that the answer to an append is
	// lost. In half of these cases the append takes effect.
	lostAnswerPercent int
}

func newWorld(seed uint64, nodes int) *world {
	w := &world{
		rng:           rand.New(rand.NewPCG(seed, seed)),
		now:           time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		log:           newFakeLog(),
		replyHandlers: map[kernel.AskID]func(kernel.Message){},
	}
	for range nodes {
		w.nodes = append(w.nodes, w.startNode())
	}
	return w
}

func (w *world) newID() string {
	w.lastID++
	return fmt.Sprintf("id-%d", w.lastID)
}

// startNode returns a new node that has read nothing of the log. It is not added
// to w.nodes.
func (w *world) startNode() *node {
	n := &node{world: w, id: record.NodeID(w.newID()), services: map[string]kernel.Service{}}
	n.log = logfollow.New(logfollow.NewLedgers(configuration.Validate), w.rng, w.newID)
	n.config = configuration.New(n.log)
	callService := calls.New(n.id, n.log, w.isRunning, w.newID)
	quarantineService := quarantine.New(n.id, n.log, w.isRunning, w.newID)
	for _, s := range []kernel.Service{n.log, n.config, callService, quarantineService} {
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

// isRunning reports whether a node is in w.nodes, from which only a crash removes it.
// A paused node counts as running.
func (w *world) isRunning(_ time.Time, id record.NodeID) bool {
	for _, n := range w.nodes {
		if n.id == id {
			return true
		}
	}
	return false
}

// crash ends node i and replaces it by a new node with another id.
func (w *world) crash(i int) {
	w.nodes[i].dead = true
	w.nodes[i] = w.startNode()
}

// pause stops a node. Its events are deferred until resume.
func (n *node) pause() { n.paused = true }

// resume makes a paused node handle its deferred events and go on.
func (n *node) resume() {
	n.paused = false
	for _, e := range n.deferred {
		e.at = n.world.now
		n.world.schedule(e)
	}
	n.deferred = nil
}

func (w *world) schedule(e event) {
	w.events.Push(e.at, e)
}

// after schedules fn after a delay.
func (w *world) after(d time.Duration, fn func()) {
	w.schedule(event{at: w.now.Add(d), run: fn})
}

// latency returns a random delay of a message, 1 to 20 milliseconds.
func (w *world) latency() time.Duration {
	return time.Duration(1+w.rng.IntN(20)) * time.Millisecond
}

// ask sends a request, which build makes with a new id, to a service of a node.
// answer is called with the reply.
func (n *node) ask(to string, build func(kernel.AskID) kernel.Message, answer func(kernel.Message)) {
	n.world.lastAskID++
	id := n.world.lastAskID
	n.world.replyHandlers[id] = answer
	n.world.schedule(event{at: n.world.now, node: n, to: to, msg: build(id)})
}

// step handles the next event if it is due by the limit, and reports whether it
// was. If it was not, the time moves to the limit.
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

// run handles the events of a span of simulated time.
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
		e.node.deferred = append(e.node.deferred, e)
	default:
		e.node.perform(e.node.services[e.to].Handle(w.now, e.msg))
	}
}

// perform carries out the effects that a service returned.
func (n *node) perform(effects []kernel.Effect) {
	w := n.world
	for _, effect := range effects {
		switch e := effect.(type) {
		case kernel.Send:
			w.schedule(event{at: w.now, node: n, to: e.To, msg: e.Msg})
		case kernel.SetTimer:
			w.schedule(event{at: w.now.Add(e.After), node: n, to: e.To, msg: e.Msg})
		case kernel.Reply:
			if answer, ok := w.replyHandlers[e.ID]; ok {
				delete(w.replyHandlers, e.ID)
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

// read simulates a long poll. It answers at once during an outage, if there are
// entries at or after offset e.From, or if the entry at e.From was truncated.
// Otherwise it answers when an entry arrives or after e.Wait, at most a second.
func (n *node) read(e logfollow.Read) {
	const poll = 10 * time.Millisecond
	w := n.world
	started := w.now
	var try func()
	try = func() {
		done := logfollow.ReadDone{Stream: e.Stream, From: e.From}
		if w.log.outage {
			done.Err = errAnswerLost
		} else {
			done.Result = w.log.read(e.Stream, e.From)
			waiting := done.Result.NextOffset == e.From && done.Result.FirstOffset <= e.From
			if waiting && w.now.Sub(started) < min(e.Wait, time.Second) {
				w.after(poll, try)
				return
			}
		}
		w.schedule(event{at: w.now.Add(w.latency()), node: n, to: logfollow.Name, msg: done})
	}
	w.after(w.latency(), try)
}

// append simulates an append with its latency, outages and lost answers.
func (n *node) append(e logfollow.AppendEntry) {
	w := n.world
	w.after(w.latency(), func() {
		done := logfollow.AppendDone{Stream: e.Stream}
		lost := w.rng.IntN(100) < w.lostAnswerPercent
		switch {
		case w.log.outage, lost && w.rng.IntN(2) == 0:
			done.Err = errAnswerLost
		default:
			done.Result.Offset = w.log.append(e.Stream, e.Data)
			if lost {
				done.Err = errAnswerLost
			}
		}
		w.schedule(event{at: w.now.Add(w.latency()), node: n, to: logfollow.Name, msg: done})
	})
}
