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
	// windowed ledgers need no checkpoint: what the log has truncated is
	// older than anything they judge.
	windowed bool
	// next is the offset to read next.
	next int64
	// based says that the ledger holds the state of all entries below next.
	based bool
	// atHead says that the latest read reached the end of the stream.
	atHead bool
	// reachedHead says that a read has reached the end of the stream since
	// the process started.
	reachedHead bool
	// rebuildFrom is the first offset in buffer while there is no base.
	rebuildFrom int64
	buffer      []port.Entry
	// checkpointSeen says that a checkpoint was read since the last look.
	checkpointSeen bool
	// retentionMillis is what the log said last.
	retentionMillis int64
	// malformed counts entries that could not be decoded, regressed reads
	// that ended before what was read earlier, gaps truncations not yet read.
	malformed, regressed, gaps int64
}

// step is what came of one batch.
type step struct {
	applied []Applied
	rebuilt bool
}

// take handles a read from offset next.
func (f *follower) take(res port.ReadResult) step {
	f.retentionMillis = res.RetentionMillis
	f.atHead = false
	if res.Next < f.next {
		f.regressed++
		return step{}
	}
	var out step
	if res.First > f.next {
		out.rebuilt = f.restart(res.First)
	} else if f.next == 0 && !f.based {
		f.based = true
	}
	for _, e := range res.Entries {
		if e.Offset != f.next {
			break
		}
		f.entry(e, &out)
		f.next++
	}
	f.atHead = f.next >= res.Next
	f.reachedHead = f.reachedHead || (f.atHead && f.based)
	return out
}

// restart begins a rebuild at the oldest offset that the log still keeps. It
// reports whether the ledger was reset.
func (f *follower) restart(first int64) bool {
	f.gaps++
	f.next = first
	f.rebuildFrom = first
	f.buffer = nil
	f.based = false
	if f.windowed {
		f.ledger.Reset()
		f.based = true
		return true
	}
	return false
}

// entry applies one entry, or buffers it while there is no base.
func (f *follower) entry(e port.Entry, out *step) {
	g, err := record.Decode(e.Data)
	if err != nil {
		f.malformed++
		return
	}
	for i, r := range g.Records {
		if r.Checkpoint != nil {
			f.checkpoint(e.Offset, *r.Checkpoint, out)
			continue
		}
		if f.based {
			out.applied = append(out.applied, f.apply(record.At(e.Offset, i), r))
		}
	}
	if !f.based {
		f.buffer = append(f.buffer, e)
	}
}

func (f *follower) apply(pos record.Position, r record.Record) Applied {
	return Applied{Stream: f.stream, Position: pos, Record: r, Result: f.ledger.Apply(pos, r)}
}

// checkpoint takes note of a checkpoint and uses it as the base if there is
// none and all entries from Through on are at hand.
func (f *follower) checkpoint(offset int64, c record.Checkpoint, out *step) {
	if c.Through > offset {
		f.malformed++
		return
	}
	f.checkpointSeen = true
	if f.based || c.Through < f.rebuildFrom {
		return
	}
	if err := f.ledger.Restore(c.State); err != nil {
		f.malformed++
		return
	}
	f.replay(c.Through)
	out.rebuilt = true
}

// replay applies the buffered entries from an offset on; they become the base.
func (f *follower) replay(through int64) {
	buffered := f.buffer
	f.buffer = nil
	f.based = true
	for _, e := range buffered {
		if e.Offset < through {
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

// seed takes a peer's snapshot if it is ahead of what this reader has. It
// reports whether it did.
func (f *follower) seed(s Seed) bool {
	ahead := s.Through > f.next || (!f.based && s.Through >= f.rebuildFrom)
	if f.windowed || s.Through <= 0 || !ahead {
		return false
	}
	if err := f.ledger.Restore(s.State); err != nil {
		f.malformed++
		return false
	}
	if s.Through >= f.next {
		f.buffer = nil
		f.next = s.Through
		f.based = true
		f.atHead = false
		return true
	}
	f.replay(s.Through)
	return true
}
