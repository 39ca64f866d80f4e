package keyed

import (
	"context"
	"log/slog"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/bootclock"
	"github.com/tamarackcleat/tamarackcleat/decisions"
)

const (
	// readTimeoutMargin is added to the time for which the log may hold a read,
	// to get the timeout of the read.
	readTimeoutMargin = 700 * time.Millisecond
	// MaxRetryDelay is the default of the longest delay after a failed read. It
	// is well below a second, because changes must be known within seconds.
	MaxRetryDelay = 500 * time.Millisecond
	// initialDelayFraction is the first delay after a failed read as a fraction
	// of the longest one.
	initialDelayFraction = 0.2
	// relayCheckInterval is the time between two checks whether a stream still
	// comes from a peer.
	relayCheckInterval = 100 * time.Millisecond
)

// Follower keeps a Stream up to date by reading it from the log.
type Follower struct {
	Log    Log
	Stream *Stream
	// ReadWait returns how long the log may hold a read while there are no
	// records.
	ReadWait func() time.Duration
	// BatchDelay returns the delay between a read that returned records and the
	// next read, so that a busy stream is read in batches; nil means no delay.
	BatchDelay func() time.Duration
	// Relayed reports whether a peer keeps the stream up to date, so that the
	// log need not be read; nil means never.
	Relayed func() bool
	// MaxRetryDelay returns the longest delay after a failed read; nil means
	// the constant MaxRetryDelay.
	MaxRetryDelay func() time.Duration
	// OnError is called with the error of each failed read.
	OnError func(error)
	Logger  *slog.Logger
}

// Run keeps the stream up to date until the context ends. It retries failed reads
// with exponential backoff.
func (f *Follower) Run(ctx context.Context) {
	retryDelays := backoff.NewExponentialBackOff()
	f.resetBackoff(retryDelays)
	truncated := false
	for ctx.Err() == nil {
		next, initialized := f.Stream.Next()
		if initialized && f.Relayed != nil && f.Relayed() {
			truncated = false
			Sleep(ctx, relayCheckInterval)
			continue
		}
		var hasRecords, more bool
		var err error
		if initialized && !truncated {
			hasRecords, more, err = f.readFrom(ctx, next)
		} else {
			hasRecords, err = f.readSnapshot(ctx)
		}
		switch {
		case errors.Is(err, ErrTruncated):
			f.Logger.Warn(decisions.StreamTruncated, "stream", f.Stream.Name, "from", next)
			truncated = true
		case err != nil && ctx.Err() == nil:
			f.OnError(err)
			Sleep(ctx, retryDelays.NextBackOff())
		case err == nil:
			f.resetBackoff(retryDelays)
			truncated = false
			if hasRecords && !more && f.BatchDelay != nil {
				Sleep(ctx, f.BatchDelay())
			}
		}
	}
}

// resetBackoff restarts the backoff at the initial delay and applies the current
// longest delay.
func (f *Follower) resetBackoff(retryDelays *backoff.ExponentialBackOff) {
	retryDelays.MaxInterval = MaxRetryDelay
	if f.MaxRetryDelay != nil {
		retryDelays.MaxInterval = f.MaxRetryDelay()
	}
	retryDelays.InitialInterval = time.Duration(initialDelayFraction * float64(retryDelays.MaxInterval))
	retryDelays.Reset()
}

// errStale is returned if the newest records that the log returned end before the
// local copy, which a peer may have advanced meanwhile.
var errStale = errors.New("the log returned older records than the local copy has")

// readSnapshot replaces the local copy by the newest record of each key and reports
// whether there is one.
func (f *Follower) readSnapshot(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*readTimeoutMargin)
	defer cancel()
	sentAt := bootclock.Now()
	records, next, err := f.Log.Newest(ctx, f.Stream.Name)
	if err != nil {
		return false, err
	}
	if !f.Stream.Apply(Batch{Records: records, Snapshot: true, Next: next, SentAt: sentAt}) {
		return false, errors.Wrapf(errStale, "log ends at offset %d", next)
	}
	return len(records) > 0, nil
}

// errNoProgress is returned if the log returned none of the records that it says are there.
var errNoProgress = errors.New("the log returned no records although the stream does not end there")

// readFrom reads and applies the records from an offset. It reports whether there were
// records, and whether the stream has more of them.
func (f *Follower) readFrom(ctx context.Context, from int64) (hasRecords, more bool, err error) {
	wait := f.ReadWait()
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
	defer cancel()
	sentAt := bootclock.Now()
	page, err := f.Log.Read(ctx, f.Stream.Name, from, wait)
	if err != nil {
		return false, false, err
	}
	hasRecords = len(page.Records) > 0
	if page.More {
		if !hasRecords {
			return false, false, errors.Wrapf(errNoProgress, "from offset %d", from)
		}
		f.Logger.Info(decisions.StreamReadPartly, "stream", f.Stream.Name, "from", from, "next", page.Next)
	}
	f.Stream.Apply(Batch{Records: page.Records, From: from, Next: page.Next, SentAt: sentAt, More: page.More})
	return hasRecords, page.More, nil
}

// Sleep waits for a duration or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
