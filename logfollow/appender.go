package logfollow

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
)

const (
	// minRetry and maxRetry bound the delay before an append is repeated.
	minRetry = 50 * time.Millisecond
	maxRetry = 2 * time.Second
	// maxEntryBytes bounds the records of one entry together; a single larger
	// record goes alone.
	maxEntryBytes = 1 << 20
)

// pending is a record that was not read back yet.
type pending struct {
	Append
	bytes int
	sent  bool
	// answered says that the log confirmed an append with the record; it is
	// not sent again, but waits for the read-back.
	answered bool
}

// appender sends the pending records of one stream, one entry at a time.
type appender struct {
	stream   string
	queue    []*pending
	inFlight []*pending
	// retry is the delay after the latest failure; 0 after a success.
	retry time.Duration
	// notBefore is the earliest time of the next append.
	notBefore time.Time
	timerSet  bool
}

// add queues a record unless it is queued already. An error means that the
// record can't be encoded.
func (a *appender) add(req Append) error {
	for _, p := range a.queue {
		if p.Record.ID == req.Record.ID {
			return nil
		}
	}
	data, err := record.Encode(record.Group{Records: []record.Record{req.Record}})
	if err != nil {
		return err
	}
	a.queue = append(a.queue, &pending{Append: req, bytes: len(data)})
	return nil
}

// ready reports whether an entry may be sent now.
func (a *appender) ready(now time.Time) bool {
	return a.inFlight == nil && !now.Before(a.notBefore) && a.waiting(now)
}

// next encodes the waiting records as one entry and marks them in flight.
func (a *appender) next(now time.Time) []byte {
	group := record.Group{}
	size := 0
	for _, p := range a.queue {
		if p.answered || now.After(p.GiveUp) {
			continue
		}
		size += p.bytes
		full := len(group.Records) == record.MaxGroup || size > maxEntryBytes
		if full && len(group.Records) > 0 {
			break
		}
		group.Records = append(group.Records, p.Record)
		a.inFlight = append(a.inFlight, p)
	}
	data, err := record.Encode(group)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encoding records of %s", a.stream))
	}
	for _, p := range a.inFlight {
		p.sent = true
	}
	return data
}

// waiting reports whether a record waits to be sent.
func (a *appender) waiting(now time.Time) bool {
	for _, p := range a.queue {
		if !p.answered && !now.After(p.GiveUp) {
			return true
		}
	}
	return false
}

// done handles the answer to the entry in flight.
func (a *appender) done(now time.Time, err error) {
	for _, p := range a.inFlight {
		if err == nil {
			p.answered = true
		}
		if errors.Is(err, port.ErrNotAppended) || errors.Is(err, port.ErrRateLimited) {
			p.sent = p.answered
		}
	}
	a.inFlight = nil
	if err == nil {
		a.retry = 0
		return
	}
	a.retry = min(maxRetry, max(minRetry, 2*a.retry))
	a.notBefore = now.Add(a.retry)
}

// readBack drops a record that the follower has applied.
func (a *appender) readBack(id string) {
	for i, p := range a.queue {
		if p.Record.ID == id {
			a.queue = append(a.queue[:i:i], a.queue[i+1:]...)
			return
		}
	}
}

// expire drops records past their GiveUp and returns what their senders get.
// A record in flight stays until its answer.
func (a *appender) expire(now time.Time) []kernel.Effect {
	var out []kernel.Effect
	var keep []*pending
	for _, p := range a.queue {
		if !now.After(p.GiveUp) || a.flying(p) {
			keep = append(keep, p)
			continue
		}
		if p.From != "" {
			out = append(out, kernel.Send{To: p.From, Msg: Abandoned{Stream: a.stream, Record: p.Record, NeverSent: !p.sent}})
		}
	}
	a.queue = keep
	return out
}

func (a *appender) flying(p *pending) bool {
	for _, f := range a.inFlight {
		if f == p {
			return true
		}
	}
	return false
}
