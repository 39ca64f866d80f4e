package logfollow

import (
	"github.com/tamarackcleat/tamarackcleat/ledger"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
)

// follower applies the entries of one stream to its ledger.
type follower struct {
	stream string
	ledger ledger.Ledger
	// windowed says that the ledger needs no checkpoints: the entries that the
	// log has truncated are too old to affect any later record.
	windowed bool
	// next is the offset of the next entry to read.
	next int64
	// hasBase says that the ledger holds the state that results from all
	// entries below next.
	hasBase bool
	// atHead says that the latest read reached the end of the stream.
	atHead bool
	// reachedHead says that at least one read since the process started has
	// reached the end of the stream while the ledger had a base.
	reachedHead bool
	// buffer holds the entries from offset bufferStart on that were read while
	// the ledger has no base.
	bufferStart int64
	buffer      []port.Entry
	// checkpointSeen says that a checkpoint was read since the last
	// checkpointDue message.
	checkpointSeen bool
	// retentionMillis is the retention of the log according to the latest read.
	retentionMillis int64
	// malformed counts entries, checkpoints and snapshots that could not be
	// used, regressed counts reads in which the end of the stream lay before
	// next, and gaps counts truncations of entries that were not read yet.
	malformed, regressed, gaps int64
}

// readOutcome is what a read has changed in the ledger. rebuilt says that the
// ledger was restored or reset.
type readOutcome struct {
	applied []RecordApplied
	rebuilt bool
}

// handleRead handles the result of a read from offset next.
func (f *follower) handleRead(res port.ReadResult) readOutcome {
	f.retentionMillis = res.RetentionMillis
	f.atHead = false
	if res.NextOffset < f.next {
		f.regressed++
		return readOutcome{}
	}
	var out readOutcome
	if res.FirstOffset > f.next {
		out.rebuilt = f.startRebuild(res.FirstOffset)
	} else if f.next == 0 && !f.hasBase {
		f.hasBase = true
	}
	for _, e := range res.Entries {
		if e.Offset != f.next {
			break
		}
		f.handleEntry(e, &out)
		f.next++
	}
	f.atHead = f.next >= res.NextOffset
	f.reachedHead = f.reachedHead || (f.atHead && f.hasBase)
	return out
}

// startRebuild starts again from the oldest offset that the log still keeps,
// because entries between next and this offset were truncated. It reports
// whether the ledger was reset; otherwise the ledger has no base until a
// checkpoint or a snapshot is used.
func (f *follower) startRebuild(first int64) bool {
	f.gaps++
	f.next = first
	f.bufferStart = first
	f.buffer = nil
	f.hasBase = false
	if f.windowed {
		f.ledger.Reset()
		f.hasBase = true
		return true
	}
	return false
}

// handleEntry applies the records of an entry, or buffers the entry while the
// ledger has no base. A malformed entry is counted and skipped.
func (f *follower) handleEntry(e port.Entry, out *readOutcome) {
	g, err := record.Decode(e.Data)
	if err != nil {
		f.malformed++
		return
	}
	for i, r := range g.Records {
		if r.Checkpoint != nil {
			f.handleCheckpoint(e.Offset, *r.Checkpoint, out)
			continue
		}
		if f.hasBase {
			out.applied = append(out.applied, f.applyRecord(record.At(e.Offset, i), r))
		}
	}
	if !f.hasBase {
		f.buffer = append(f.buffer, e)
	}
}

func (f *follower) applyRecord(pos record.Position, r record.Record) RecordApplied {
	return RecordApplied{Stream: f.stream, Position: pos, Record: r, Result: f.ledger.Apply(pos, r)}
}

// handleCheckpoint restores the ledger from a checkpoint at an offset if the
// ledger has no base and all entries from Checkpoint.NextOffset on were read. A
// checkpoint that claims to include its own offset is counted as malformed.
func (f *follower) handleCheckpoint(offset int64, c record.Checkpoint, out *readOutcome) {
	if c.NextOffset > offset {
		f.malformed++
		return
	}
	f.checkpointSeen = true
	if f.hasBase || c.NextOffset < f.bufferStart {
		return
	}
	if err := f.ledger.Restore(c.State); err != nil {
		f.malformed++
		return
	}
	f.replay(c.NextOffset)
	out.rebuilt = true
}

// replay applies the buffered entries from nextOffset on to a ledger that
// was just restored. The ledger has a base afterwards.
func (f *follower) replay(nextOffset int64) {
	buffered := f.buffer
	f.buffer = nil
	f.hasBase = true
	for _, e := range buffered {
		if e.Offset < nextOffset {
			continue
		}
		g, err := record.Decode(e.Data)
		if err != nil {
			continue
		}
		for i, r := range g.Records {
			if r.Checkpoint == nil {
				f.ledger.Apply(record.At(e.Offset, i), r)
			}
		}
	}
}

// adoptSnapshot restores the ledger from a peer's snapshot if the snapshot
// includes entries that were not read yet, or if the ledger has no base and all
// entries that the snapshot does not include were read. It reports whether the
// ledger was restored.
func (f *follower) adoptSnapshot(s OfferSnapshot) bool {
	ahead := s.NextOffset > f.next || (!f.hasBase && s.NextOffset >= f.bufferStart)
	if f.windowed || s.NextOffset <= 0 || !ahead {
		return false
	}
	if err := f.ledger.Restore(s.State); err != nil {
		f.malformed++
		return false
	}
	if s.NextOffset >= f.next {
		f.buffer = nil
		f.next = s.NextOffset
		f.hasBase = true
		f.atHead = false
		return true
	}
	f.replay(s.NextOffset)
	return true
}
