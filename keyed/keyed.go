// Package keyed follows the streams of the log that hold the newest record of
// each key: what others publish there is handed on in order, without gaps.
package keyed

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrTruncated marks a read from an offset that the log no longer keeps.
var ErrTruncated = errors.New("the log no longer keeps the offset")

// Record is one record of a stream. A record without a value drops its key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Log is the log as far as followers need it.
type Log interface {
	// Newest returns the newest record of each key of a stream and an offset
	// from which to read on: all records before it are covered, some after it
	// may be.
	Newest(ctx context.Context, stream string) ([]Record, int64, error)
	// Read returns the records from an offset and the offset after them. If
	// there is none yet, the log holds its answer for as long as wait. It
	// returns ErrTruncated if the log no longer keeps the offset.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) ([]Record, int64, error)
}

// Batch is what a read brought.
type Batch struct {
	Records []Record
	// Whole says that Records holds all keys of the stream; others are gone.
	Whole bool
	// From is the offset of the first record, and Next the one after the
	// last; From says nothing of a whole batch.
	From, Next int64
	// SentAt is when the read was sent, by the boot clock. The stream was
	// read as it stood then or later.
	SentAt time.Duration
}
