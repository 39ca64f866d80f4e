// Package logfollow is the kernel service that reads the platform's log,
// applies its records to the ledgers and appends new records.
//
// The guarantees:
//   - A ledger starts from a base, which is the empty state before offset 0, a
//     checkpoint in the log or a peer's snapshot. From there every record of
//     the stream is applied once, in the order of the log. Truncated entries
//     are never skipped silently: the ledger is rebuilt from a new base. For a
//     stream of call claims this is the empty state, because the truncated
//     claims are too old to affect later ones.
//   - A truncated log, or one that has become empty, is never taken for an
//     empty configuration.
//   - A record is appended again with the same identifier until the log
//     confirms an append of it, it is read back, or its time limit has passed.
//     A record takes effect only when it is read back, not by the response to
//     an append.
package logfollow

import (
	"encoding/json"
	"time"

	"github.com/tamarackcleat/tamarackcleat/ledger"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
)

// Name is the name under which the service is registered with the kernel.
const Name = "log"

// Read is the effect that reads a stream from offset From. The driver answers
// with a ReadDone message.
type Read struct {
	Stream string
	From   int64
	// Wait is how long the log may delay its response if there is nothing to
	// read. It is 0 unless the previous read reached the end of the stream.
	Wait time.Duration
}

// ReadDone is the message that reports the result of a Read effect.
type ReadDone struct {
	Stream string
	From   int64
	Result port.ReadResult
	Err    error
}

// AppendEntry is the effect that appends one entry to a stream. The driver
// answers with an AppendDone message.
type AppendEntry struct {
	Stream string
	Data   []byte
}

// AppendDone is the message that reports the result of an AppendEntry effect.
type AppendDone struct {
	Stream string
	Result port.AppendResult
	Err    error
}

// AppendRecord is the message that asks for a record to be appended. If the
// record is not read back before Deadline, the sender gets an AppendAbandoned
// message. The record may still appear in the log later.
type AppendRecord struct {
	// Stream is the stream to append to.
	Stream string
	// Record is the record to append, with its identifier set.
	Record record.Record
	// From is the name of the service that gets the AppendAbandoned message;
	// empty if no service shall get it.
	From string
	// Deadline is the time after which the record is not sent again.
	Deadline time.Time
}

// AppendAbandoned is the message that tells the sender of an AppendRecord
// message that the record was not read back before Deadline. Unless NotAppended
// is set, the record may have been appended.
type AppendAbandoned struct {
	Stream string
	Record record.Record
	// NotAppended says that the record was never sent to the log, or that the
	// latest append of it certainly had no effect.
	NotAppended bool
}

// RecordApplied is the message that tells the subscribers of a stream that a
// record was applied to the ledger, and with which result.
type RecordApplied struct {
	Stream   string
	Position record.Position
	Record   record.Record
	Result   ledger.Result
}

// LedgerRebuilt is the message that tells the subscribers of a stream that its
// ledger was restored from a checkpoint or a peer's snapshot, or was reset
// because entries were truncated before they were read. Subscribers get no
// RecordApplied messages for the records that the rebuild included.
type LedgerRebuilt struct {
	Stream string
}

// OfferSnapshot is the message that offers a peer's Snapshot of a stream. It is
// ignored unless it includes entries that this node has not read, or gives a
// base to a ledger that has none.
type OfferSnapshot struct {
	Stream     string
	NextOffset int64
	State      json.RawMessage
}

// readDue is the timer message that reads a stream again after a read that
// failed, or in which the stream ended before the offset already reached.
type readDue struct{ stream string }

// appendDue is the timer message that sends the next entry of a stream.
type appendDue struct{ stream string }

// checkpointDue is the timer message for the next checkpoint of a stream.
type checkpointDue struct{ stream string }
