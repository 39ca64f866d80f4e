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
	// readSlack is added to the log's wait before a read counts as lost.
	readSlack = 700 * time.Millisecond
	// retryFirst and retryMost bound the pause after a failed read; bounds on
	// what must be known are seconds, so the pause stays well below one.
	retryFirst = 100 * time.Millisecond
	retryMost  = 500 * time.Millisecond
)

// Follower reads one stream without gaps.
type Follower struct {
	Log    Log
	Stream string
	// Wait returns how long the log may hold a read.
	Wait func() time.Duration
	// Pause returns the time between a read that brought records and the
	// next, so that a busy stream is read in batches; nil for none.
	Pause func() time.Duration
	// Apply takes each batch in order.
	Apply func(Batch)
	// Failed is told of a failed read.
	Failed func(error)
	Logger *slog.Logger
}

// Run follows the stream until the context ends.
func (f *Follower) Run(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = retryFirst, retryMost
	next, based := int64(0), false
	for ctx.Err() == nil {
		var err error
		var n int
		if based {
			n, next, err = f.read(ctx, next)
		} else {
			next, err = f.rebase(ctx)
			n = 1
		}
		switch {
		case errors.Is(err, ErrTruncated):
			f.Logger.Warn(decisions.StreamTruncated, "stream", f.Stream, "from", next)
			based = false
		case err != nil && ctx.Err() == nil:
			f.Failed(err)
			sleep(ctx, pause.NextBackOff())
		case err == nil:
			pause.Reset()
			based = true
			if n > 0 && f.Pause != nil {
				sleep(ctx, f.Pause())
			}
		}
	}
}

// rebase reads the whole stream.
func (f *Follower) rebase(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*readSlack)
	defer cancel()
	at := bootclock.Now()
	records, next, err := f.Log.Newest(ctx, f.Stream)
	if err != nil {
		return 0, err
	}
	f.Apply(Batch{Records: records, Whole: true, Next: next, SentAt: at})
	return next, nil
}

// read reads on from an offset. It returns the number of records and the next
// offset, which stays the same after a failure.
func (f *Follower) read(ctx context.Context, from int64) (int, int64, error) {
	wait := f.Wait()
	ctx, cancel := context.WithTimeout(ctx, wait+readSlack)
	defer cancel()
	at := bootclock.Now()
	records, next, err := f.Log.Read(ctx, f.Stream, from, wait)
	if err != nil {
		return 0, from, err
	}
	f.Apply(Batch{Records: records, Next: next, SentAt: at})
	return len(records), next, nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
