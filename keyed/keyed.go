// Package keyed keeps local copies of the log's keyed streams, in which the newest
// record of a key replaces the earlier ones.
//
// Guarantees: each record is applied once, in order and without gaps. If the log
// no longer keeps the records after the local copy, the copy is replaced by the
// newest record of each key. A copy counts as complete as of the time at which a read was
// sent only if that read reached the end of the stream.
//
// A log that is restored from a backup has lost its latest records, gives their offsets out
// again and begins an era. Offsets of two eras are never compared: the first copy of a later
// era is a snapshot, whatever its offset, and nothing of an earlier era is applied after it.
package keyed

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrTruncated is returned for a read from an offset that the log no longer keeps.
var ErrTruncated = errors.New("the log no longer keeps the offset")

// Record is one record of a stream. A record without a value deletes its key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Position is a place in a stream.
type Position struct {
	// Era is the log's era, which rises each time the log is restored from a backup; 0 if
	// the log shows none.
	Era    int64
	Offset int64
}

// Log is the part of the log that a Follower uses.
type Log interface {
	// Newest returns the newest record of each key of a stream and the offset
	// from which to read on. It covers all records before that offset and
	// perhaps some after it.
	Newest(ctx context.Context, stream string) (Page, error)
	// Read returns the records from an offset, perhaps only the first of them.
	// While there are none, the log holds its response for at most wait. Read
	// returns ErrTruncated if the log no longer keeps the offset.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (Page, error)
}

// Page is what one read of a stream returns.
type Page struct {
	// Era is the era of the log when it answered.
	Era     int64
	Records []Record
	// Next is the offset after the last record.
	Next int64
	// More says that the stream did not end at Next when the log answered, because a
	// response holds only so many records.
	More bool
}

// Batch is the result of one read of a stream.
type Batch struct {
	// Era is the log's era in which the records have their offsets.
	Era     int64
	Records []Record
	// Snapshot says that Records holds all keys of the stream, so that keys
	// missing from it are deleted.
	Snapshot bool
	// Restored says that the batch is the first one of a later era than that of the batches
	// before, so that records may be older than those applied already. Stream sets it.
	Restored bool
	// From is the offset of the first record and Next the one after the last
	// record. From is not used if Snapshot is set.
	From, Next int64
	// SentAt is the time of the boot clock at which the read was sent. Unless More
	// is set, the records show the stream as it was then or later.
	SentAt time.Duration
	// More says that the stream did not end at Next, so the batch does not prove
	// that the copy is complete.
	More bool
}
