package prooftest

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/ledger"
	"github.com/tamarackcleat/tamarackcleat/logfollow"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
)

// probe is the name under which the tests subscribe.
const probe = "probe"

// reader is one entry process that follows the log.
type reader struct {
	log     *logfollow.Service
	version int64
	told    record.Position
}

// stream is one stream of the log with readers, seen by rapid.
type stream struct {
	subject
	name    string
	state   func(*logfollow.Ledgers) ledger.Ledger
	written []record.Record
	entries []port.Entry
	first   int64
	h       history
	readers []*reader
	// misplaced lets checkpoints claim to hold all below their own offset.
	misplaced bool
	// inflated lets peers claim to have read one entry more than they have.
	inflated bool
}

func (s *stream) start() *reader {
	rng := rand.New(rand.NewPCG(1, 1))
	log := logfollow.New(logfollow.NewLedgers(validate), rng, func() string { return "unused" })
	log.Subscribe(s.name, probe)
	return &reader{log: log}
}

func (s *stream) append(g record.Group) error {
	data, err := record.Encode(g)
	if err != nil {
		return err
	}
	offset := int64(len(s.entries))
	s.entries = append(s.entries, port.Entry{Offset: offset, Data: data})
	for i, r := range g.Records {
		if r.Checkpoint == nil {
			s.h = append(s.h, placed{pos: record.At(offset, i), rec: r})
		}
	}
	return nil
}

// property lets readers follow a stream that is truncated and holds copies,
// late checkpoints and malformed entries, while readers restart and take
// snapshots of each other. It compares every reader with the naive version of
// everything below the offset that it has read.
func (s stream) property(t *rapid.T) {
	for range 3 {
		s.readers = append(s.readers, s.start())
	}
	t.Repeat(map[string]func(*rapid.T){
		"write":      s.write1,
		"malformed":  s.malformed,
		"checkpoint": s.checkpoint(),
		"truncate":   s.truncate,
		"read":       s.read,
		"read again": s.read,
		"misread":    s.misread,
		"restart":    s.restart,
		"seed":       s.seed,
		"":           s.check,
	})
}

// write1 appends a group of new records and copies of old ones.
func (s *stream) write1(t *rapid.T) {
	var g record.Group
	for range rapid.IntRange(1, 3).Draw(t, "records") {
		if len(s.written) > 0 && rapid.IntRange(0, 3).Draw(t, "copy") == 0 {
			g.Records = append(g.Records, rapid.SampledFrom(s.written).Draw(t, "copied"))
			continue
		}
		r := s.subject.write(t, s.h)
		r.ID = fmt.Sprintf("record-%d", len(s.written))
		s.written = append(s.written, r)
		g.Records = append(g.Records, r)
	}
	if err := s.append(g); err != nil {
		t.Fatal(err)
	}
}

func (s *stream) malformed(*rapid.T) {
	s.entries = append(s.entries, port.Entry{Offset: int64(len(s.entries)), Data: []byte(`{"records":[]}`)})
}

// checkpoint takes a reader's snapshot, or appends one that was taken before.
func (s *stream) checkpoint() func(*rapid.T) {
	var taken []record.Checkpoint
	return func(t *rapid.T) {
		if snap, ok := s.snapshot(s.pick(t)); ok {
			taken = append(taken, record.Checkpoint{NextOffset: snap.NextOffset, State: snap.State})
		}
		if len(taken) == 0 || rapid.Bool().Draw(t, "paused") {
			return
		}
		c := rapid.SampledFrom(taken).Draw(t, "checkpoint")
		if s.misplaced {
			c.NextOffset = int64(len(s.entries))
		}
		r := record.Record{ID: fmt.Sprintf("checkpoint-%d", len(s.entries)), Checkpoint: &c}
		if err := s.append(record.Group{Records: []record.Record{r}}); err != nil {
			t.Fatal(err)
		}
	}
}

func (s *stream) snapshot(r *reader) (logfollow.Snapshot, bool) {
	for _, snap := range r.log.Snapshots() {
		if snap.Stream == s.name {
			return snap, true
		}
	}
	return logfollow.Snapshot{}, false
}

func (s *stream) pick(t *rapid.T) *reader {
	return s.readers[rapid.IntRange(0, len(s.readers)-1).Draw(t, "reader")]
}

func (s *stream) truncate(t *rapid.T) {
	kept := int64(len(s.entries)) - s.first
	s.first += rapid.Int64Range(0, min(kept, 3)).Draw(t, "dropped")
}

// answer is what the log says to a read.
func (s *stream) answer(from int64, most int) port.ReadResult {
	res := port.ReadResult{FirstOffset: s.first, NextOffset: int64(len(s.entries)), RetentionMillis: time.Hour.Milliseconds()}
	if from >= s.first && from <= res.NextOffset {
		rest := s.entries[from:]
		res.Entries = rest[:min(most, len(rest))]
	}
	return res
}

func (s *stream) read(t *rapid.T) {
	r := s.pick(t)
	from := r.log.NextOffset(s.name)
	done := logfollow.ReadDone{Stream: s.name, From: from, Result: s.answer(from, rapid.IntRange(0, 5).Draw(t, "most"))}
	if rapid.IntRange(0, 9).Draw(t, "outage") == 0 {
		done = logfollow.ReadDone{Stream: s.name, From: from, Err: errBad}
	}
	s.handle(t, r, done)
}

// misread delivers an answer to an earlier read, or an answer of a log that
// has lost its end.
func (s *stream) misread(t *rapid.T) {
	r := s.pick(t)
	next := r.log.NextOffset(s.name)
	if rapid.Bool().Draw(t, "late") {
		from := rapid.Int64Range(0, next).Draw(t, "from")
		s.handle(t, r, logfollow.ReadDone{Stream: s.name, From: from, Result: s.answer(from, 5)})
		return
	}
	res := s.answer(next, 0)
	res.NextOffset = rapid.Int64Range(0, next).Draw(t, "end")
	res.FirstOffset = min(res.FirstOffset, res.NextOffset)
	if res.NextOffset < next {
		s.handle(t, r, logfollow.ReadDone{Stream: s.name, From: next, Result: res})
	}
}

func (s *stream) restart(t *rapid.T) {
	s.readers[rapid.IntRange(0, len(s.readers)-1).Draw(t, "reader")] = s.start()
}

func (s *stream) seed(t *rapid.T) {
	snap, ok := s.snapshot(s.pick(t))
	if !ok {
		return
	}
	if s.inflated {
		snap.NextOffset++
	}
	s.handle(t, s.pick(t), logfollow.OfferSnapshot{Stream: s.name, NextOffset: snap.NextOffset, State: snap.State})
}

// handle gives a message to a reader and checks what it tells its subscribers.
func (s *stream) handle(t *rapid.T, r *reader, msg kernel.Message) {
	for _, e := range r.log.Handle(time.UnixMilli(start), msg) {
		send, ok := e.(kernel.Send)
		if !ok || send.To != probe {
			continue
		}
		if a, ok := send.Msg.(logfollow.RecordApplied); ok {
			s.checkApplied(t, r, a)
		}
	}
}

func (s *stream) checkApplied(t *rapid.T, r *reader, a logfollow.RecordApplied) {
	if a.Position <= r.told {
		t.Fatalf("record at %d told after %d", a.Position, r.told)
	}
	r.told = a.Position
	accepted := s.h.verdicts(s.judge)
	for i, p := range s.h {
		if p.pos == a.Position {
			if a.Record.ID != p.rec.ID || a.Result.Accepted != accepted[i] {
				t.Fatalf("told %s accepted %v (%s), naive %s %v of\n%s", a.Record.ID, a.Result.Accepted, a.Result.Cause, p.rec.ID, accepted[i], s.h)
			}
			return
		}
	}
	t.Fatalf("told a record at %d that the log does not hold", a.Position)
}

// check compares every reader that has its base with the naive version.
func (s *stream) check(t *rapid.T) {
	for i, r := range s.readers {
		version := r.log.Ledgers().Config.State().Version
		if version < r.version {
			t.Fatalf("reader %d stepped back from version %d to %d", i, r.version, version)
		}
		r.version = version
		if !r.log.HasBase(s.name) {
			continue
		}
		below := s.h.below(r.log.NextOffset(s.name))
		if d := s.differs(s.state(r.log.Ledgers()), below, below.verdicts(s.judge)); d != "" {
			t.Fatalf("reader %d at offset %d: %s after\n%s", i, r.log.NextOffset(s.name), d, below)
		}
	}
}

func configStream() stream {
	return stream{
		subject: configSubject(),
		name:    record.StreamConfig,
		state:   func(l *logfollow.Ledgers) ledger.Ledger { return l.Config },
	}
}

func controlStream() stream {
	return stream{
		subject: controlSubject(),
		name:    record.StreamControl,
		state:   func(l *logfollow.Ledgers) ledger.Ledger { return l.Control },
	}
}

func (s stream) withMisplacedCheckpoints() stream {
	s.misplaced = true
	return s
}

func (s stream) withInflatedSnapshots() stream {
	s.inflated = true
	return s
}

var _ = Describe("followers of the log", func() {
	DescribeTable("agree with the naive version and never step back",
		func(s stream) { rapid.Check(GinkgoT(), s.property) },
		Entry("configuration", configStream()),
		Entry("control", controlStream()),
	)

	DescribeTable("differ from the naive version when broken",
		func(s stream) { Expect(fails(s.property)).To(BeTrue()) },
		Entry("checkpoints as of their own position", configStream().withMisplacedCheckpoints()),
		Entry("control checkpoints as of their own position", controlStream().withMisplacedCheckpoints()),
		Entry("snapshots that claim more than was read", configStream().withInflatedSnapshots()),
	)
})
