package logfollow

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
)

const (
	// minAppendRetryDelay and maxAppendRetryDelay bound the exponential delay
	// after a failed append.
	minAppendRetryDelay = 50 * time.Millisecond
	maxAppendRetryDelay = 2 * time.Second
	// maxEntryBytes bounds the encoded size of the records in one entry. A
	// record that is larger gets an entry of its own.
	maxEntryBytes = 1 << 20
)

// pendingRecord is a record that has not been read back from the log yet.
type pendingRecord struct {
	AppendRecord
	// bytes is the size of the encoded record.
	bytes int
	// mayBeAppended says that an entry with the record was sent whose append was
	// not refused without effect.
	mayBeAppended bool
	// inDoubt says that the result of an earlier append of the record is unknown,
	// so that a later refusal does not prove that the record is not on the log.
	inDoubt bool
	// confirmed says that the log confirmed an append of the record. It is not
	// sent again, but stays in the queue until it is read back.
	confirmed bool
}

// appender appends the records of one stream to the log, one entry at a time.
type appender struct {
	stream string
	// queue holds all pending records, the oldest first.
	queue []*pendingRecord
	// inFlight holds the records of the entry that was sent last, until the
	// result of its append is known.
	inFlight []*pendingRecord
	// retryDelay is the delay after the latest failed append; 0 after a
	// successful one.
	retryDelay time.Duration
	// notBefore is the earliest time of the next append.
	notBefore time.Time
	// timerSet says that the timer for the next appendDue message is running.
	timerSet bool
}

// enqueue adds a record to the queue unless the queue holds a record with its
// identifier. It returns an error if the record cannot be encoded.
func (a *appender) enqueue(req AppendRecord) error {
	for _, p := range a.queue {
		if p.Record.ID == req.Record.ID {
			return nil
		}
	}
	data, err := record.Encode(record.Group{Records: []record.Record{req.Record}})
	if err != nil {
		return err
	}
	a.queue = append(a.queue, &pendingRecord{AppendRecord: req, bytes: len(data)})
	return nil
}

// canSend reports whether there is an entry to send and it may be sent now.
func (a *appender) canSend(now time.Time) bool {
	return a.inFlight == nil && !now.Before(a.notBefore) && a.hasUnconfirmed(now)
}

// nextEntry encodes as many unconfirmed records as fit into one entry, the
// oldest first, and marks them as in flight.
func (a *appender) nextEntry(now time.Time) []byte {
	group := record.Group{}
	size := 0
	for _, p := range a.queue {
		if p.confirmed || now.After(p.Deadline) {
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
		p.mayBeAppended = true
	}
	return data
}

// hasUnconfirmed reports whether there is a record that the log has not
// confirmed and that is not given up.
func (a *appender) hasUnconfirmed(now time.Time) bool {
	for _, p := range a.queue {
		if !p.confirmed && !now.After(p.Deadline) {
			return true
		}
	}
	return false
}

// handleResult handles the result of the append in flight. After an error the
// records are sent again following a delay.
func (a *appender) handleResult(now time.Time, err error) {
	for _, p := range a.inFlight {
		if err == nil {
			p.confirmed = true
		}
		refused := errors.Is(err, port.ErrNotAppended) || errors.Is(err, port.ErrRateLimited)
		if refused {
			p.mayBeAppended = p.confirmed || p.inDoubt
		} else {
			p.inDoubt = true
		}
	}
	a.inFlight = nil
	if err == nil {
		a.retryDelay = 0
		return
	}
	a.retryDelay = min(maxAppendRetryDelay, max(minAppendRetryDelay, 2*a.retryDelay))
	a.notBefore = now.Add(a.retryDelay)
}

// removeRead removes a record from the queue that was read back from the log.
func (a *appender) removeRead(id string) {
	for i, p := range a.queue {
		if p.Record.ID == id {
			a.queue = append(a.queue[:i:i], a.queue[i+1:]...)
			return
		}
	}
}

// expire removes the records whose Deadline has passed and returns
// AppendAbandoned messages for their senders. A record in flight stays until
// the result of its append is known.
func (a *appender) expire(now time.Time) []kernel.Effect {
	var out []kernel.Effect
	var keep []*pendingRecord
	for _, p := range a.queue {
		if !now.After(p.Deadline) || a.isInFlight(p) {
			keep = append(keep, p)
			continue
		}
		if p.From != "" {
			out = append(out, kernel.Send{To: p.From, Msg: AppendAbandoned{Stream: a.stream, Record: p.Record, NotAppended: !p.mayBeAppended}})
		}
	}
	a.queue = keep
	return out
}

func (a *appender) isInFlight(p *pendingRecord) bool {
	for _, f := range a.inFlight {
		if f == p {
			return true
		}
	}
	return false
}
