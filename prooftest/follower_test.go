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

// subscriber is the service name under which the tests subscribe to a stream.
const subscriber = "probe"

// reader is one simulated entry process that follows the log.
type reader struct {
	log *logfollow.Service
	// version is the reader's configuration version at the last check.
	version int64
	// lastNotified is the position of the record last reported to the subscriber.
	lastNotified record.Position
}

// stream simulates one stream of the log and its readers.
type stream struct {
	subject
	name string
	// state returns the stream's ledger.
	state func(*logfollow.Ledgers) ledger.Ledger
	// written holds the records that were drawn so far. The copies in the stream
	// are copies of these.
	written []record.Record
	// entries holds all entries ever appended; those below firstOffset count as
	// dropped.
	entries     []port.Entry
	firstOffset int64
	// h holds all records ever appended, without checkpoints.
	h       history
	readers []*reader
	// checkpointsAtOwnOffset breaks checkpoints: each claims to cover all entries
	// below its own offset, although its snapshot may be older.
	checkpointsAtOwnOffset bool
	// overstatedSnapshots breaks the snapshots of peers: each claims to cover one
	// entry more than its peer has read.
	overstatedSnapshots bool
}

func (s *stream) start() *reader {
	rng := rand.New(rand.NewPCG(1, 1))
	log := logfollow.New(logfollow.NewLedgers(validate), rng, func() string { return "unused" })
	log.Subscribe(s.name, subscriber)
	return &reader{log: log}
}

// append adds an entry to the stream, and its records without checkpoints to the
// history.
func (s *stream) append(g record.Group) error {
	data, err := record.Encode(g)
	if err != nil {
		return err
	}
	offset := int64(len(s.entries))
	s.entries = append(s.entries, port.Entry{Offset: offset, Data: data})
	for i, r := range g.Records {
		if r.Checkpoint == nil {
			s.h = append(s.h, positionedRecord{pos: record.At(offset, i), rec: r})
		}
	}
	return nil
}

// property makes three readers follow a stream that is truncated and holds copies
// of records, late checkpoints and malformed entries, while readers restart and
// take snapshots from each other. After each action it compares every reader with
// the reference model of all records below the offset that the reader has reached.
func (s stream) property(t *rapid.T) {
	for range 3 {
		s.readers = append(s.readers, s.start())
	}
	t.Repeat(map[string]func(*rapid.T){
		"write":      s.writeGroup,
		"malformed":  s.writeMalformed,
		"checkpoint": s.checkpoint(),
		"truncate":   s.truncate,
		"read":       s.read,
		"read again": s.read,
		"misread":    s.deliverWrongRead,
		"restart":    s.restart,
		"seed":       s.seed,
		"":           s.check,
	})
}

// writeGroup appends one group of new records and copies of earlier ones.
func (s *stream) writeGroup(t *rapid.T) {
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

// writeMalformed appends an entry that holds no record, which is invalid.
func (s *stream) writeMalformed(*rapid.T) {
	s.entries = append(s.entries, port.Entry{Offset: int64(len(s.entries)), Data: []byte(`{"records":[]}`)})
}

// checkpoint returns the action that takes a checkpoint of a drawn reader and then
// may append one of the checkpoints taken so far. The appended one may be old, as if
// its reader had paused before the append.
func (s *stream) checkpoint() func(*rapid.T) {
	var taken []record.Checkpoint
	return func(t *rapid.T) {
		if snap, ok := s.snapshot(s.drawReader(t)); ok {
			taken = append(taken, record.Checkpoint{NextOffset: snap.NextOffset, State: snap.State})
		}
		if len(taken) == 0 || rapid.Bool().Draw(t, "paused") {
			return
		}
		c := rapid.SampledFrom(taken).Draw(t, "checkpoint")
		if s.checkpointsAtOwnOffset {
			c.NextOffset = int64(len(s.entries))
		}
		r := record.Record{ID: fmt.Sprintf("checkpoint-%d", len(s.entries)), Checkpoint: &c}
		if err := s.append(record.Group{Records: []record.Record{r}}); err != nil {
			t.Fatal(err)
		}
	}
}

// snapshot returns a reader's snapshot of the stream, and false if it has none.
func (s *stream) snapshot(r *reader) (logfollow.Snapshot, bool) {
	for _, snap := range r.log.Snapshots() {
		if snap.Stream == s.name {
			return snap, true
		}
	}
	return logfollow.Snapshot{}, false
}

func (s *stream) drawReader(t *rapid.T) *reader {
	return s.readers[rapid.IntRange(0, len(s.readers)-1).Draw(t, "reader")]
}

// truncate drops up to three of the oldest entries.
func (s *stream) truncate(t *rapid.T) {
	kept := int64(len(s.entries)) - s.firstOffset
	s.firstOffset += rapid.Int64Range(0, min(kept, 3)).Draw(t, "dropped")
}

// answer returns the log's answer to a read from an offset, with up to most entries.
func (s *stream) answer(from int64, most int) port.ReadResult {
	res := port.ReadResult{FirstOffset: s.firstOffset, NextOffset: int64(len(s.entries)), RetentionMillis: time.Hour.Milliseconds()}
	if from >= s.firstOffset && from <= res.NextOffset {
		rest := s.entries[from:]
		res.Entries = rest[:min(most, len(rest))]
	}
	return res
}

// read makes a drawn reader read its next entries. The read fails if an outage of the
// log is drawn.
func (s *stream) read(t *rapid.T) {
	r := s.drawReader(t)
	from := r.log.NextOffset(s.name)
	done := logfollow.ReadDone{Stream: s.name, From: from, Result: s.answer(from, rapid.IntRange(0, 5).Draw(t, "most"))}
	if rapid.IntRange(0, 9).Draw(t, "outage") == 0 {
		done = logfollow.ReadDone{Stream: s.name, From: from, Err: errInjected}
	}
	s.handle(t, r, done)
}

// deliverWrongRead delivers to a reader the answer to an earlier read, or the answer
// of a log that has lost its latest entries.
func (s *stream) deliverWrongRead(t *rapid.T) {
	r := s.drawReader(t)
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

// restart replaces a drawn reader by one that has read nothing.
func (s *stream) restart(t *rapid.T) {
	s.readers[rapid.IntRange(0, len(s.readers)-1).Draw(t, "reader")] = s.start()
}

// seed offers the snapshot of a drawn reader to a second drawn reader, which may be
// the same one.
func (s *stream) seed(t *rapid.T) {
	snap, ok := s.snapshot(s.drawReader(t))
	if !ok {
		return
	}
	if s.overstatedSnapshots {
		snap.NextOffset++
	}
	s.handle(t, s.drawReader(t), logfollow.OfferSnapshot{Stream: s.name, NextOffset: snap.NextOffset, State: snap.State})
}

// handle makes a reader handle a message and checks the records that it reports to
// its subscriber.
func (s *stream) handle(t *rapid.T, r *reader, msg kernel.Message) {
	for _, e := range r.log.Handle(time.UnixMilli(startMillis), msg) {
		send, ok := e.(kernel.Send)
		if !ok || send.To != subscriber {
			continue
		}
		if a, ok := send.Msg.(logfollow.RecordApplied); ok {
			s.checkApplied(t, r, a)
		}
	}
}

// checkApplied checks that a record reported to the subscriber comes after the one
// reported before, is in the log at its position, and was accepted or rejected as the
// reference model says.
func (s *stream) checkApplied(t *rapid.T, r *reader, a logfollow.RecordApplied) {
	if a.Position <= r.lastNotified {
		t.Fatalf("the record at %d was reported after that at %d", a.Position, r.lastNotified)
	}
	r.lastNotified = a.Position
	accepted := s.h.acceptedBy(s.accepts)
	for i, p := range s.h {
		if p.pos == a.Position {
			if a.Record.ID != p.rec.ID || a.Result.Accepted != accepted[i] {
				t.Fatalf("reported %s accepted %v (%s), model %s %v of\n%s", a.Record.ID, a.Result.Accepted, a.Result.Cause, p.rec.ID, accepted[i], s.h)
			}
			return
		}
	}
	t.Fatalf("reported a record at %d that the log does not hold", a.Position)
}

// check checks that no reader went back to a lower configuration version, and
// compares every reader whose ledger covers all entries below the reader's offset
// with the reference model.
func (s *stream) check(t *rapid.T) {
	for i, r := range s.readers {
		version := r.log.Ledgers().Config.State().Version
		if version < r.version {
			t.Fatalf("reader %d went back from version %d to %d", i, r.version, version)
		}
		r.version = version
		if !r.log.HasBase(s.name) {
			continue
		}
		below := s.h.below(r.log.NextOffset(s.name))
		if d := s.diff(s.state(r.log.Ledgers()), below, below.acceptedBy(s.accepts)); d != "" {
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

func (s stream) withCheckpointsAtOwnOffset() stream {
	s.checkpointsAtOwnOffset = true
	return s
}

func (s stream) withOverstatedSnapshots() stream {
	s.overstatedSnapshots = true
	return s
}

var _ = Describe("followers of the log", func() {
	DescribeTable("agree with the reference model and never go back",
		func(s stream) { rapid.Check(GinkgoT(), s.property) },
		Entry("configuration", configStream()),
		Entry("control", controlStream()),
	)

	DescribeTable("differ from the reference model when broken",
		func(s stream) { Expect(fails(s.property)).To(BeTrue()) },
		Entry("configuration checkpoints that claim to cover all entries below their own", configStream().withCheckpointsAtOwnOffset()),
		Entry("control checkpoints that claim to cover all entries below their own", controlStream().withCheckpointsAtOwnOffset()),
		Entry("snapshots that claim to cover more than was read", configStream().withOverstatedSnapshots()),
	)
})
