package logfollow

import (
	"encoding/json"
	"time"

	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/record"
)

const (
	// checkpointShare is the part of the retention after which a checkpoint
	// is due; the others are left for failures and outages.
	checkpointShare = 8
	// minCheckpointEvery bounds how often a node considers a checkpoint.
	minCheckpointEvery = time.Second
	// unknownRetention is assumed until the log has told its retention.
	unknownRetention = time.Minute
)

// checkpointTimer sets the next look at a stream. The random part lets one
// node go first; the others then see its checkpoint and stay silent.
func (s *Service) checkpointTimer(stream string) kernel.Effect {
	every := unknownRetention / checkpointShare
	if r := s.followers[stream].retentionMillis; r > 0 {
		every = time.Duration(r) * time.Millisecond / checkpointShare
	}
	every = max(every, minCheckpointEvery)
	jitter := time.Duration(s.rng.Int64N(int64(every)))
	return kernel.SetTimer{To: Name, After: every + jitter, Msg: checkpointDue{stream}}
}

// checkpoint appends a checkpoint unless a node wrote one since the last look.
func (s *Service) checkpoint(now time.Time, stream string) []kernel.Effect {
	out := []kernel.Effect{s.checkpointTimer(stream)}
	f := s.followers[stream]
	fresh := f.checkpointSeen
	f.checkpointSeen = false
	if f.windowed || !f.based || !f.atHead || fresh || f.next == 0 {
		return out
	}
	state, err := f.ledger.Snapshot()
	if err != nil {
		return out
	}
	return append(out, s.append(now, Append{
		Stream: stream,
		GiveUp: now.Add(maxRetry),
		Record: record.Record{
			ID:         s.newID(),
			AtMillis:   now.UnixMilli(),
			Checkpoint: &record.Checkpoint{Through: f.next, State: state},
		},
	})...)
}

// Snapshot is a stream's state for a peer.
type Snapshot struct {
	Stream  string          `json:"stream"`
	Through int64           `json:"through"`
	State   json.RawMessage `json:"state"`
}

// Snapshots returns the state of every stream that has a base and is not
// windowed.
func (s *Service) Snapshots() []Snapshot {
	var out []Snapshot
	for _, stream := range s.order {
		f := s.followers[stream]
		if f.windowed || !f.based || f.next == 0 {
			continue
		}
		if state, err := f.ledger.Snapshot(); err == nil {
			out = append(out, Snapshot{Stream: stream, Through: f.next, State: state})
		}
	}
	return out
}
