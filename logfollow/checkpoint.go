package logfollow

import (
	"encoding/json"
	"time"

	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/record"
)

const (
	// checkpointsPerRetention divides the retention of the log into intervals.
	// A checkpoint is due after one of them; the others leave time for failed
	// checkpoints and outages.
	checkpointsPerRetention = 8
	// minCheckpointInterval is the shortest interval between two checkpoints
	// of a node.
	minCheckpointInterval = time.Second
	// assumedRetention is used until a read has returned the log's retention.
	assumedRetention = time.Minute
)

// checkpointTimer returns the timer for the next checkpoint of a stream. Its
// delay has a random part, so that usually one node writes a checkpoint first,
// and the others read it and write none.
func (s *Service) checkpointTimer(stream string) kernel.Effect {
	interval := assumedRetention / checkpointsPerRetention
	if r := s.followers[stream].retentionMillis; r > 0 {
		interval = time.Duration(r) * time.Millisecond / checkpointsPerRetention
	}
	interval = max(interval, minCheckpointInterval)
	jitter := time.Duration(s.rng.Int64N(int64(interval)))
	return kernel.SetTimer{To: Name, After: interval + jitter, Msg: checkpointDue{stream}}
}

// appendCheckpoint appends a checkpoint of a stream and sets the next timer. It
// appends none if a checkpoint of any node was read since the timer last fired,
// or if the ledger is not up to date or needs no checkpoints.
func (s *Service) appendCheckpoint(now time.Time, stream string) []kernel.Effect {
	out := []kernel.Effect{s.checkpointTimer(stream)}
	f := s.followers[stream]
	written := f.checkpointSeen
	f.checkpointSeen = false
	if f.windowed || !f.hasBase || !f.atHead || written || f.next == 0 {
		return out
	}
	state, err := f.ledger.Snapshot()
	if err != nil {
		return out
	}
	return append(out, s.queueAppend(now, AppendRecord{
		Stream:   stream,
		Deadline: now.Add(maxAppendRetryDelay),
		Record: record.Record{
			ID:         s.newID(),
			AtMillis:   now.UnixMilli(),
			Checkpoint: &record.Checkpoint{NextOffset: f.next, State: state},
		},
	})...)
}

// Snapshot is the state of a stream's ledger, as sent to peers. NextOffset is
// the first offset that State does not include.
type Snapshot struct {
	Stream     string          `json:"stream"`
	NextOffset int64           `json:"through"`
	State      json.RawMessage `json:"state"`
}

// Snapshots returns the state of every stream whose ledger needs checkpoints
// and holds the state that results from all entries below the next offset to
// read. Streams of which nothing was read are left out.
func (s *Service) Snapshots() []Snapshot {
	var out []Snapshot
	for _, stream := range s.streams {
		f := s.followers[stream]
		if f.windowed || !f.hasBase || f.next == 0 {
			continue
		}
		if state, err := f.ledger.Snapshot(); err == nil {
			out = append(out, Snapshot{Stream: stream, NextOffset: f.next, State: state})
		}
	}
	return out
}
