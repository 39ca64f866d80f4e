// Package lease elects one holder among the nodes by records of the log.
//
// The guarantees: at most one node considers itself holder at a time, as long
// as boot clocks run at about the same speed; the term of each holder is higher
// than that of all before it, so it serves as fencing number. The log decides
// who won by position; clocks only decide when to try.
package lease

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/bootclock"
	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/keyed"
)

const (
	// TTL is how long a lease lasts after its last renewal. Replicas are not
	// repaired while there is no holder, so it is short.
	TTL = 2500 * time.Millisecond
	// renewEvery leaves room for two failed renewals.
	renewEvery = 800 * time.Millisecond
	// margin covers the difference of clock speeds and the way of an order:
	// the holder stops this much before the lease ends.
	margin = 300 * time.Millisecond
	// claimJitter spreads claims, so that most nodes see the first one's.
	claimJitter = 250 * time.Millisecond
	// claimFirst is how long a node that starts waits before it claims a lease that
	// nobody has held: it learns of larger nodes meanwhile, which start within
	// 0.3 s of it and register.
	claimFirst = 600 * time.Millisecond
	// handOverAfter is how long a holder yields before it hands the lease over: a
	// peer counts as gone after that silence, so the larger ones are alive.
	// handOverGap is the least time between two such, as long as a silent parent
	// is avoided (gossip): the other node may have no way to the log.
	handOverAfter = 1500 * time.Millisecond
	handOverGap   = 20 * time.Second
	// yieldFor is how much later a node claims that yields to others: the
	// holder's work takes a large part of a small VM's processor.
	yieldFor = 500 * time.Millisecond
	// appendTimeout bounds one append; the log answers within milliseconds
	// when it is well.
	appendTimeout = 600 * time.Millisecond
	// claimProof is the age of the stream's proof up to which a lease is claimed:
	// a node that can't read the stream would not learn that it holds the lease.
	// A stream that comes through peers is up to 1.3 s old.
	claimProof = 2 * time.Second
	// checkEvery is how often the lease is looked at.
	checkEvery = 100 * time.Millisecond
)

// ErrConflict marks an append whose position was taken.
var ErrConflict = errors.New("the stream ends at another offset")

// Log appends under a condition.
type Log interface {
	// AppendAt appends the newest record of a key if the stream ends at an
	// offset, and returns the offset after it. It returns ErrConflict if the
	// stream ends elsewhere; any other error leaves open whether the record
	// was or will be appended.
	AppendAt(ctx context.Context, stream, key string, at int64, value []byte) (int64, error)
}

// entry is the value of the lease's record.
type entry struct {
	// Holder is the holder's unique id; empty after a release.
	Holder string `json:"holder"`
	// Term is the offset of the holder's claim; 0 in the claim itself.
	Term int64 `json:"term,omitempty"`
	// TTLMillis is how long the lease lasts.
	TTLMillis int64 `json:"ttl_ms"`
	// Nonce tells the holder which of its appends it reads back.
	Nonce uint64 `json:"nonce"`
}

// Lease is one node's view of the lease. It is safe for concurrent use.
type Lease struct {
	id     string
	stream string
	key    string
	log    Log
	logger *slog.Logger

	mu sync.Mutex
	// current is the newest record, at offset; end is where the stream ends.
	current entry
	end     int64
	known   bool
	// provenAt is when the stream was last proved to be read to its end.
	provenAt time.Duration
	// heardAt is when the newest record arrived.
	heardAt time.Duration
	term    int64
	// validUntil is the end of this node's own lease.
	validUntil time.Duration
	renewedAt  time.Duration
	sent       map[uint64]time.Duration
	claimAfter time.Duration
	// yields says that other nodes should claim before this one.
	yields   func() bool
	yielding bool
	// yieldingSince is when it began to yield, handedOverAt when it last handed
	// the lease over for that.
	yieldingSince time.Duration
	handedOverAt  time.Duration
	stopped       bool
	held          bool
}

// New returns the lease of a stream and key. The id is unique to this process.
func New(id, stream, key string, log Log, logger *slog.Logger) *Lease {
	return &Lease{id: id, stream: stream, key: key, log: log, logger: logger, sent: map[uint64]time.Duration{}, yields: func() bool { return false }}
}

// Yield makes the node claim later than others while f returns true; it is called
// before Run.
func (l *Lease) Yield(f func() bool) { l.yields = f }

// Apply takes a batch of the stream.
func (l *Lease) Apply(b keyed.Batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known = true
	l.end = b.Next
	l.provenAt = max(l.provenAt, b.SentAt)
	for _, r := range b.Records {
		if r.Key == l.key {
			l.take(r)
		}
	}
}

// take applies a record of the lease.
func (l *Lease) take(r keyed.Record) {
	var e entry
	if err := json.Unmarshal(r.Value, &e); err != nil {
		l.logger.Error(decisions.LeaseUnreadable, "offset", r.Offset, "error", err)
		return
	}
	now := bootclock.Now()
	if e.Term == 0 {
		e.Term = r.Offset + 1
	}
	if e.Holder != l.current.Holder || e.Term != l.current.Term {
		l.logger.Info(decisions.LeaseChanged, "holder", e.Holder, "term", e.Term, "before", l.current.Holder, "offset", r.Offset)
	}
	l.current, l.heardAt = e, now
	l.claimAfter = now + time.Duration(e.TTLMillis)*time.Millisecond + l.jitter()
	if e.Holder == "" {
		l.claimAfter = now + l.jitter()
	}
	sentAt, own := l.sent[e.Nonce]
	if e.Holder == l.id && own {
		l.term = e.Term
		l.validUntil = max(l.validUntil, sentAt+TTL-margin)
	}
	delete(l.sent, e.Nonce)
}

func (l *Lease) jitter() time.Duration { return time.Duration(rand.Int64N(int64(claimJitter))) }

// Held returns the term under which this node may act now; false if it may not.
func (l *Lease) Held() (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term, l.holds(bootclock.Now())
}

// Ended says that a node's process has ended, so that its lease need not be
// waited for: it can't act any more.
func (l *Lease) Ended(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if id != l.current.Holder || id == l.id {
		return
	}
	now := bootclock.Now()
	l.claimAfter = min(l.claimAfter, now+l.jitter())
	l.logger.Info(decisions.LeaseHolderEnded, "holder", id, "term", l.current.Term, "renewed_ms", (now - l.heardAt).Milliseconds())
}

// Holder returns the id of the holder as far as it is known; empty for none.
func (l *Lease) Holder() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current.Holder
}

func (l *Lease) holds(now time.Duration) bool {
	return !l.stopped && l.current.Holder == l.id && now < l.validUntil
}

// Run claims and renews the lease until the context ends.
func (l *Lease) Run(ctx context.Context) {
	t := time.NewTicker(checkEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			l.keep(ctx)
		}
	}
}

// Release gives the lease up, so that another node need not wait for its end.
func (l *Lease) Release(ctx context.Context) {
	l.mu.Lock()
	holds := l.holds(bootclock.Now())
	l.stopped = true
	at, e := l.end, entry{Term: l.term, TTLMillis: TTL.Milliseconds(), Nonce: rand.Uint64()}
	l.mu.Unlock()
	if holds {
		l.append(ctx, at, e)
	}
}

// keep appends a claim or a renewal if one is due.
func (l *Lease) keep(ctx context.Context) {
	now := bootclock.Now()
	yielding := l.yields()
	l.mu.Lock()
	if yielding && !l.yielding {
		l.yieldingSince = now
	}
	l.yielding = yielding
	held := l.holds(now)
	if held != l.held {
		l.held = held
		l.logger.Info(decisions.LeaseHeld, "held", held, "term", l.term)
	}
	e := entry{Holder: l.id, TTLMillis: TTL.Milliseconds(), Nonce: rand.Uint64()}
	due := false
	switch {
	case !l.known || l.stopped:
	case held && l.handsOver(now):
		// It must not act any more before others can see the record.
		l.handedOverAt, l.validUntil, l.held = now, 0, false
		e.Holder, e.Term, due = "", l.term, true
		l.logger.Info(decisions.LeaseHandedOver, "term", l.term, "yielding_ms", (now - l.yieldingSince).Milliseconds())
	case held:
		e.Term = l.term
		due = now-l.renewedAt >= renewEvery
	default:
		if l.claimAfter == 0 {
			l.claimAfter = now + claimFirst + l.jitter()
		}
		after := l.claimAfter
		if l.yielding {
			after += yieldFor
		}
		due = now >= after && now-l.renewedAt >= appendTimeout && now-l.provenAt < claimProof
	}
	at := l.end
	if due {
		l.renewedAt = now
		clear(l.sent)
		l.sent[e.Nonce] = now
	}
	l.mu.Unlock()
	if due {
		l.append(ctx, at, e)
	}
}

// handsOver reports whether a holder should make room for a larger node.
func (l *Lease) handsOver(now time.Duration) bool {
	recently := l.handedOverAt > 0 && now-l.handedOverAt < handOverGap
	return l.yielding && now-l.yieldingSince >= handOverAfter && !recently
}

// append tries one append. What became of it is read back from the stream.
func (l *Lease) append(ctx context.Context, at int64, e entry) {
	value, err := json.Marshal(e)
	if err != nil {
		l.logger.Error(decisions.LeaseEncode, "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := l.log.AppendAt(ctx, l.stream, l.key, at, value); err != nil {
		l.logger.Warn(decisions.LeaseAppendFailed, "at", at, "claim", e.Term == 0, "error", err)
	}
}
