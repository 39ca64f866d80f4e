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
	// RetryMost bounds the pause after a failed read where nothing else does;
	// bounds on what must be known are seconds, so it stays well below one.
	RetryMost = 500 * time.Millisecond
	// retryFirst is the part of the longest pause that the first one is.
	retryFirst = 0.2
	// relayedPoll is how often a follower whose stream comes from a peer
	// looks whether it still does.
	relayedPoll = 100 * time.Millisecond
)

// Follower reads a stream from the log.
type Follower struct {
	Log    Log
	Stream *Stream
	// Wait returns how long the log may hold a read.
	Wait func() time.Duration
	// Pause returns the time between a read that brought records and the
	// next, so that a busy stream is read in batches; nil for none.
	Pause func() time.Duration
	// Relayed reports whether a peer hands the stream on, so that the log
	// need not be asked; nil for never.
	Relayed func() bool
	// RetryMost returns the longest pause after a failed read; nil for the
	// constant of that name.
	RetryMost func() time.Duration
	// Failed is told of a failed read.
	Failed func(error)
	Logger *slog.Logger
}

// Run follows the stream until the context ends.
func (f *Follower) Run(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	f.resetPause(pause)
	truncated := false
	for ctx.Err() == nil {
		next, based := f.Stream.Next()
		if based && f.Relayed != nil && f.Relayed() {
			truncated = false
			Sleep(ctx, relayedPoll)
			continue
		}
		var n int
		var err error
		if based && !truncated {
			n, err = f.read(ctx, next)
		} else {
			n, err = f.rebase(ctx)
		}
		switch {
		case errors.Is(err, ErrTruncated):
			f.Logger.Warn(decisions.StreamTruncated, "stream", f.Stream.Name, "from", next)
			truncated = true
		case err != nil && ctx.Err() == nil:
			f.Failed(err)
			Sleep(ctx, pause.NextBackOff())
		case err == nil:
			f.resetPause(pause)
			truncated = false
			if n > 0 && f.Pause != nil {
				Sleep(ctx, f.Pause())
			}
		}
	}
}

// resetPause makes the next pause the first one of an outage.
func (f *Follower) resetPause(pause *backoff.ExponentialBackOff) {
	pause.MaxInterval = RetryMost
	if f.RetryMost != nil {
		pause.MaxInterval = f.RetryMost()
	}
	pause.InitialInterval = time.Duration(retryFirst * float64(pause.MaxInterval))
	pause.Reset()
}

// errOld marks an answer that is older than what a peer handed on.
var errOld = errors.New("the log answered with an older state")

// rebase reads the whole stream and returns the number of records.
func (f *Follower) rebase(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*readSlack)
	defer cancel()
	at := bootclock.Now()
	records, next, err := f.Log.Newest(ctx, f.Stream.Name)
	if err != nil {
		return 0, err
	}
	if !f.Stream.Take(Batch{Records: records, Whole: true, Next: next, SentAt: at}) {
		return 0, errors.Wrapf(errOld, "end at %d", next)
	}
	return len(records), nil
}

// read reads on from an offset and returns the number of records.
func (f *Follower) read(ctx context.Context, from int64) (int, error) {
	wait := f.Wait()
	ctx, cancel := context.WithTimeout(ctx, wait+readSlack)
	defer cancel()
	at := bootclock.Now()
	records, next, err := f.Log.Read(ctx, f.Stream.Name, from, wait)
	if err != nil {
		return 0, err
	}
	f.Stream.Take(Batch{Records: records, From: from, Next: next, SentAt: at})
	return len(records), nil
}

// Sleep waits for a time, or less if the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
