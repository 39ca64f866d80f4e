package keyed

import (
	"context"
	"log/slog"
	"math/rand/v2"
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
	// maxRestoredDelay bounds the random delay before the first read of a restored log, of
	// which all nodes hear at about the same time.
	maxRestoredDelay = 200 * time.Millisecond
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
	// MaxRetryDelay returns the longest delay after a failed read while the stream has a
	// copy to go on from; nil means the constant MaxRetryDelay.
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
			hasRecords, err = f.readSnapshot(ctx, next)
		}
		switch {
		case errors.Is(err, ErrTruncated):
			f.Logger.Warn(decisions.StreamTruncated, "stream", f.Stream.Name, "from", next.Offset, "era", next.Era)
			truncated = true
		case errors.Is(err, errRestored):
			truncated = false
			Sleep(ctx, rand.N(maxRestoredDelay))
		case err != nil && ctx.Err() == nil:
			f.OnError(err)
			f.waitToRetry(ctx, retryDelays.NextBackOff())
		case err == nil:
			f.resetBackoff(retryDelays)
			truncated = false
			if hasRecords && !more && f.BatchDelay != nil {
				Sleep(ctx, f.BatchDelay())
			}
		}
	}
}

// waitToRetry waits for a delay after a failed read. The wait ends after the constant
// MaxRetryDelay at the latest while a snapshot must come first, because no peer relays one.
func (f *Follower) waitToRetry(ctx context.Context, delay time.Duration) {
	Sleep(ctx, min(delay, MaxRetryDelay))
	for rest := delay - MaxRetryDelay; rest > 0 && ctx.Err() == nil; rest -= relayCheckInterval {
		if _, current := f.Stream.Next(); !current {
			return
		}
		Sleep(ctx, min(rest, relayCheckInterval))
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

// errRestored is returned if the log answered in a later era than that of the local copy.
var errRestored = errors.New("the log was restored from a backup")

// readSnapshot replaces the local copy, which ends at a position, by the newest record of
// each key and reports whether there is one.
func (f *Follower) readSnapshot(ctx context.Context, before Position) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*readTimeoutMargin)
	defer cancel()
	sentAt := bootclock.Now()
	page, err := f.Log.Newest(ctx, f.Stream.Name)
	if err != nil {
		return false, err
	}
	if !f.Stream.Apply(Batch{Era: page.Era, Records: page.Records, Snapshot: true, Next: page.Next, SentAt: sentAt}) {
		return false, errors.Wrapf(errStale, "log ends at offset %d of era %d", page.Next, page.Era)
	}
	if before.Era != page.Era && before != (Position{}) {
		f.Logger.Warn(decisions.StreamRestored, "stream", f.Stream.Name, "era", page.Era, "next", page.Next, "before_era", before.Era, "before_next", before.Offset)
	}
	return len(page.Records) > 0, nil
}

// errNoProgress is returned if the log returned none of the records that it says are there.
var errNoProgress = errors.New("the log returned no records although the stream does not end there")

// readFrom reads and applies the records from a position. It reports whether there were
// records, and whether the stream has more of them.
func (f *Follower) readFrom(ctx context.Context, from Position) (hasRecords, more bool, err error) {
	wait := f.ReadWait()
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
	defer cancel()
	sentAt := bootclock.Now()
	page, err := f.Log.Read(ctx, f.Stream.Name, from.Offset, wait)
	if err != nil {
		return false, false, err
	}
	if page.Era > from.Era {
		// The records from this offset may follow others that this node has not read.
		f.Stream.RecordEra(page.Era)
		return false, false, errRestored
	}
	hasRecords = len(page.Records) > 0
	if page.More {
		if !hasRecords {
			return false, false, errors.Wrapf(errNoProgress, "from offset %d", from.Offset)
		}
		f.Logger.Info(decisions.StreamReadPartly, "stream", f.Stream.Name, "from", from.Offset, "next", page.Next)
	}
	if !f.Stream.Apply(Batch{Era: page.Era, Records: page.Records, From: from.Offset, Next: page.Next, SentAt: sentAt, More: page.More}) {
		return false, false, errors.Wrapf(errStale, "log answered in era %d", page.Era)
	}
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
