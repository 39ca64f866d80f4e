// Package logfollow is the kernel service that reads the platform's log,
// applies its records to the ledgers and appends new records.
//
// The guarantees:
//   - Every record is applied once per stream, in the order of the log, from a
//     base that is the empty state before offset 0, a checkpoint of the log or
//     a peer's snapshot. A gap is never skipped: the follower rebuilds.
//   - An empty or truncated log is never read as an empty configuration.
//   - A record is appended again with the same identifier until it is read
//     back or given up; nothing is decided by an append's answer.
package logfollow

import (
	"encoding/json"
	"time"

	"github.com/tamarackcleat/tamarackcleat/ledger"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
)

// Name is the service's registered name.
const Name = "log"

// Read is the effect that reads a stream from an offset and answers ReadDone.
type Read struct {
	Stream string
	From   int64
	// Wait is how long the log may hold its answer if there is nothing to
	// read; 0 until the stream was read to its end once.
	Wait time.Duration
}

// ReadDone is the result of a Read.
type ReadDone struct {
	Stream string
	From   int64
	Result port.ReadResult
	Err    error
}

// AppendEntry is the effect that appends one entry and answers AppendDone.
type AppendEntry struct {
	Stream string
	Data   []byte
}

// AppendDone is the result of an AppendEntry.
type AppendDone struct {
	Stream string
	Result port.AppendResult
	Err    error
}

// Append asks for a record to be appended. If it was not read back before
// GiveUp, the sender gets Abandoned; the record may still appear later.
type Append struct {
	// Stream is the stream to append to.
	Stream string
	// Record is the record with its identifier.
	Record record.Record
	// From is the service that gets Abandoned; empty for none.
	From string
	// GiveUp is the time after which the record is not sent again.
	GiveUp time.Time
}

// Abandoned says that a record was not read back in time. It may have been
// appended.
type Abandoned struct {
	Stream string
	Record record.Record
	// NeverSent says that no append with the record was ever tried.
	NeverSent bool
}

// Applied tells subscribers of a stream what became of a record.
type Applied struct {
	Stream   string
	Position record.Position
	Record   record.Record
	Result   ledger.Result
}

// Rebuilt tells subscribers that a stream's ledger was restored from a
// checkpoint or a peer's snapshot, or started over behind a gap. Records that
// were applied on the way are not told.
type Rebuilt struct {
	Stream string
}

// Seed offers a peer's snapshot of a stream.
type Seed struct {
	Stream  string
	Through int64
	State   json.RawMessage
}

// retryRead is the timer that reads again after an error.
type retryRead struct{ stream string }

// pump is the timer that tries to append again.
type pump struct{ stream string }

// checkpointDue is the timer that considers a checkpoint.
type checkpointDue struct{ stream string }
