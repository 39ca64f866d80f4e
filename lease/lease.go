// Package lease elects one of the nodes as the holder of a lease, through
// conditional appends to a stream of the log.
//
// It guarantees that at most one node considers itself the holder at a time, as
// long as the nodes' boot clocks run at about the same speed, and that each
// holder's term is higher than all earlier terms, so that the term can serve as
// a fencing number. Which claim wins is decided by its position in the log;
// clocks only decide when a node tries.
//
// Both hold if the log is restored from a backup, as long as the log shows that by its era.
// A record counts only in the era in which its writer appended it, and terms begin with the
// era. A holder whose lease has not expired claims it again at once, because nobody else can
// have claimed it; other nodes wait until any lease of the former era has expired.
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
	// TTL is how long a lease lasts after its last renewal. It is short because
	// replicas are not repaired while no node holds the lease.
	TTL = 2500 * time.Millisecond
	// renewInterval is the time between two renewals. It leaves room for two
	// failed renewals within TTL.
	renewInterval = 800 * time.Millisecond
	// expiryMargin is how long before its lease expires a holder stops acting as
	// the holder. It covers differences in clock speed between nodes and the time
	// that an order, which is a command of the holder to a VM, takes to reach the
	// VM.
	expiryMargin = 300 * time.Millisecond
	// maxClaimJitter bounds the random delay of a claim. The delays spread the
	// claims of several nodes, so that most nodes see the first claim before
	// they append their own.
	maxClaimJitter = 250 * time.Millisecond
	// firstClaimDelay is how long a starting node waits before it claims a lease
	// that no node has held yet. Nodes with more processor cores, to which it
	// yields, start and register within 0.3 s of its own start, so it knows of them
	// before it claims.
	firstClaimDelay = 600 * time.Millisecond
	// handOverDelay is how long a holder must have been yielding before it hands
	// the lease over. A silent peer counts as gone after the same time, so the
	// larger nodes to which the holder yields are alive.
	// minHandOverInterval is the least time between two hand-overs by a node: the
	// larger node may be unable to reach the log. It equals the time for which
	// package gossip avoids a parent that fell silent.
	handOverDelay       = 1500 * time.Millisecond
	minHandOverInterval = 20 * time.Second
	// yieldDelay is added to the delay before a claim by a node that yields. Small
	// nodes yield, because the holder's work takes a large part of a small VM's
	// processor.
	yieldDelay = 500 * time.Millisecond
	// appendTimeout bounds one append; a healthy log answers within
	// milliseconds.
	appendTimeout = 600 * time.Millisecond
	// maxClaimStaleness is the time since this node is last known to have read the
	// stream to its end, from which it no longer claims the lease: a node that
	// can't read the stream would not learn that it holds the lease. A copy of the
	// stream that is relayed by peers is up to 1.3 s old.
	maxClaimStaleness = 2 * time.Second
	// checkInterval is the time between two checks for a due claim or renewal.
	checkInterval = 100 * time.Millisecond
	// termsPerEra times the log's era is added to the terms of the era. It is more than the
	// number of records of the stream that a log can lose, which were written within seconds.
	// Of an era of erasOfTerms or more the remainder counts, so that numbers that follow from
	// terms stay exact in JSON wherever eras begin.
	termsPerEra = 1 << 14
	erasOfTerms = 1 << 22
)

// ErrOffsetConflict marks an append that was rejected because another record
// already has its offset.
var ErrOffsetConflict = errors.New("the stream ends at another offset")

// Log appends records to streams on condition of the offset.
type Log interface {
	// AppendAt appends a record, the newest one of its key, if the stream ends at
	// offset at, and returns the offset after the record. It returns
	// ErrOffsetConflict if the stream ends at a different offset; after any other
	// error, the record may have been appended or may still be.
	AppendAt(ctx context.Context, stream, key string, at int64, value []byte) (int64, error)
}

// recordValue is the value of a record of the lease.
type recordValue struct {
	// Holder is the unique id of the holder; empty after a release.
	Holder string `json:"holder"`
	// Era is the log's era that the writer knew when it appended the record. The record is
	// void in any other era.
	Era int64 `json:"era,omitempty"`
	// Term is the offset after the record of the holder's claim, and termsPerEra for each
	// era; 0 in the claim itself, whose offset is not known before it is appended.
	Term int64 `json:"term,omitempty"`
	// TTLMillis is how long the lease lasts, in milliseconds.
	TTLMillis int64 `json:"ttl_ms"`
	// Nonce lets a node recognise its own append when it reads the record back.
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
	// current is the value of the newest record of the lease, streamEnd the
	// offset at which the stream ends, and streamKnown whether a batch of the
	// stream was applied. All times below are by the boot clock.
	current     recordValue
	streamEnd   int64
	streamKnown bool
	// era is the log's era of the batches that were applied.
	era int64
	// caughtUpAt is the latest time at which this node is known to have read the
	// stream to its end.
	caughtUpAt time.Duration
	// receivedAt is when the newest record of the lease arrived.
	receivedAt time.Duration
	// term is the term of this node's latest lease, claimedAt when its claim was sent.
	term      int64
	claimedAt time.Duration
	// validUntil is when this node stops acting as the holder unless it has
	// renewed the lease by then.
	validUntil   time.Duration
	lastAppendAt time.Duration
	// pending maps the nonce of this node's latest append to the time of the append,
	// until the record is read back.
	pending map[uint64]time.Duration
	// claimAfter is the earliest time at which this node claims the lease, apart
	// from yieldDelay; 0 if no delay has started.
	claimAfter time.Duration
	// shouldYield reports whether other nodes should claim before this one.
	shouldYield func() bool
	yielding    bool
	// yieldingSince is when this node began to yield, handedOverAt when it last
	// handed the lease over because of that.
	yieldingSince time.Duration
	handedOverAt  time.Duration
	// unfit reports whether this node must leave the lease to others.
	unfit func() bool
	// stopped is set by Release.
	stopped bool
	// wasHolder is whether this node was the holder at the last check.
	wasHolder bool
}

// New returns this node's view of the lease whose records have a given key in a
// stream. The id must be unique to this process.
func New(id, stream, key string, log Log, logger *slog.Logger) *Lease {
	return &Lease{id: id, stream: stream, key: key, log: log, logger: logger, pending: map[uint64]time.Duration{}, shouldYield: func() bool { return false }, unfit: func() bool { return false }}
}

// YieldWhile makes this node claim the lease later than other nodes, and hand it
// over if it holds it, while f returns true. It must be called before Run.
func (l *Lease) YieldWhile(f func() bool) { l.shouldYield = f }

// LeaveWhile makes this node hand the lease over at once, and keeps it from claiming the
// lease, while f returns true. It must be called before Run.
func (l *Lease) LeaveWhile(f func() bool) { l.unfit = f }

// Apply applies a batch of records read from the log stream that holds the lease's
// records. Records with another key are ignored.
func (l *Lease) Apply(b keyed.Batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.streamKnown && b.Era != l.era {
		l.beginEra(b.Era)
	}
	l.streamKnown, l.era = true, b.Era
	l.streamEnd = b.Next
	l.caughtUpAt = max(l.caughtUpAt, b.SentAt)
	for _, r := range b.Records {
		if r.Key == l.key {
			l.applyRecord(r)
		}
	}
}

// beginEra drops what this node knows by its own records of the former era. The lock must be
// held.
func (l *Lease) beginEra(era int64) {
	now := bootclock.Now()
	held := l.isHolder(now)
	clear(l.pending)
	l.validUntil = 0
	l.claimAfter = now + TTL + l.jitter()
	if held {
		// An append of the former era doesn't delay the claim.
		l.claimAfter, l.lastAppendAt = now, 0
	}
	l.logger.Info(decisions.LeaseEra, "era", era, "before", l.era, "held", held, "term", l.term)
}

// applyRecord applies a record of the lease. The lock must be held.
func (l *Lease) applyRecord(r keyed.Record) {
	var e recordValue
	if err := json.Unmarshal(r.Value, &e); err != nil {
		l.logger.Error(decisions.LeaseUnreadable, "offset", r.Offset, "error", err)
		return
	}
	now := bootclock.Now()
	if e.Era != l.era {
		l.logger.Info(decisions.LeaseVoid, "holder", e.Holder, "term", e.Term, "record_era", e.Era, "era", l.era, "offset", r.Offset)
		if l.claimAfter == 0 {
			// The holder of the former era may not have noticed that it has ended.
			l.claimAfter = now + TTL + l.jitter()
		}
		return
	}
	if e.Term == 0 {
		e.Term = e.Era%erasOfTerms*termsPerEra + r.Offset + 1
	}
	if e.Holder != l.current.Holder || e.Term != l.current.Term {
		l.logger.Info(decisions.LeaseChanged, "holder", e.Holder, "term", e.Term, "before", l.current.Holder, "offset", r.Offset)
	}
	l.current, l.receivedAt = e, now
	l.claimAfter = now + time.Duration(e.TTLMillis)*time.Millisecond + l.jitter()
	if e.Holder == "" {
		l.claimAfter = now + l.jitter()
	}
	sentAt, own := l.pending[e.Nonce]
	if e.Holder == l.id && own {
		if e.Term != l.term {
			l.term, l.claimedAt = e.Term, sentAt
		}
		l.validUntil = max(l.validUntil, sentAt+TTL-expiryMargin)
	}
	delete(l.pending, e.Nonce)
}

func (l *Lease) jitter() time.Duration { return time.Duration(rand.Int64N(int64(maxClaimJitter))) }

// Held returns the term of this node's latest lease, and whether this node holds
// the lease and may act under that term now.
func (l *Lease) Held() (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term, l.isHolder(bootclock.Now())
}

// ClaimedAt returns the time, by the boot clock, at which this node sent the claim of its
// latest lease. No other node has acted as the holder since: a lease is claimed only after
// the former one has expired or was given up, and the claim fails if the former holder has
// renewed it meanwhile.
func (l *Lease) ClaimedAt() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.claimedAt
}

// ProcessEnded tells the Lease that the process with an id has ended. If that
// process held the lease, this node claims it without waiting for it to expire,
// because the process can't act any more.
func (l *Lease) ProcessEnded(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if id != l.current.Holder || id == l.id || l.current.Era != l.era {
		// Of a former era another node may have claimed the lease since, by a record
		// that is lost.
		return
	}
	now := bootclock.Now()
	l.claimAfter = min(l.claimAfter, now+l.jitter())
	l.logger.Info(decisions.LeaseHolderEnded, "holder", id, "term", l.current.Term, "renewed_ms", (now - l.receivedAt).Milliseconds())
}

// Holder returns the id of the holder in the newest record that this node has
// read, expired or not; empty if there is none.
func (l *Lease) Holder() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current.Holder
}

// isHolder reports whether this node holds the lease. The lock must be held.
func (l *Lease) isHolder(now time.Duration) bool {
	return !l.stopped && l.current.Holder == l.id && now < l.validUntil
}

// Run claims the lease, renews it and hands it over as needed, until the context
// ends.
func (l *Lease) Run(ctx context.Context) {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			l.claimOrRenew(ctx)
		}
	}
}

// Release gives the lease up for good, so that another node can claim it without
// waiting for it to expire.
func (l *Lease) Release(ctx context.Context) {
	l.mu.Lock()
	holds := l.isHolder(bootclock.Now())
	l.stopped = true
	at, e := l.streamEnd, recordValue{Era: l.era, Term: l.term, TTLMillis: TTL.Milliseconds(), Nonce: rand.Uint64()}
	l.mu.Unlock()
	if holds {
		l.appendRecord(ctx, at, e)
	}
}

// claimOrRenew appends a claim, a renewal or a hand-over if one is due.
func (l *Lease) claimOrRenew(ctx context.Context) {
	now := bootclock.Now()
	yielding, unfit := l.shouldYield(), l.unfit()
	l.mu.Lock()
	if yielding && !l.yielding {
		l.yieldingSince = now
	}
	l.yielding = yielding
	held := l.isHolder(now)
	if held != l.wasHolder {
		l.wasHolder = held
		l.logger.Info(decisions.LeaseHeld, "held", held, "term", l.term)
	}
	e := recordValue{Era: l.era, Holder: l.id, TTLMillis: TTL.Milliseconds(), Nonce: rand.Uint64()}
	due := false
	switch {
	case !l.streamKnown || l.stopped:
	case held && (unfit || l.shouldHandOver(now)):
		// This node must stop acting before other nodes can read the record.
		l.handedOverAt, l.validUntil, l.wasHolder = now, 0, false
		e.Holder, e.Term, due = "", l.term, true
		l.logger.Info(decisions.LeaseHandedOver, "term", l.term, "unfit", unfit, "yielding", l.yielding)
	case held:
		e.Term = l.term
		due = now-l.lastAppendAt >= renewInterval
	case unfit:
	default:
		if l.claimAfter == 0 {
			l.claimAfter = now + l.firstClaimDelay() + l.jitter()
		}
		after := l.claimAfter
		if l.yielding {
			after += yieldDelay
		}
		due = now >= after && now-l.lastAppendAt >= appendTimeout && now-l.caughtUpAt < maxClaimStaleness
	}
	at := l.streamEnd
	if due {
		l.lastAppendAt = now
		clear(l.pending)
		l.pending[e.Nonce] = now
	}
	l.mu.Unlock()
	if due {
		l.appendRecord(ctx, at, e)
	}
}

// firstClaimDelay returns how long this node waits before it claims a lease of which it has
// read no record. The lock must be held.
func (l *Lease) firstClaimDelay() time.Duration {
	if l.era > 1 {
		// The records of a holder may have been lost when the era began.
		return TTL
	}
	return firstClaimDelay
}

// shouldHandOver reports whether this node, as the holder, should hand the lease
// over to a larger node. The lock must be held.
func (l *Lease) shouldHandOver(now time.Duration) bool {
	recently := l.handedOverAt > 0 && now-l.handedOverAt < minHandOverInterval
	return l.yielding && now-l.yieldingSince >= handOverDelay && !recently
}

// appendRecord tries one append. Its outcome is learnt by reading the record back
// from the stream, whatever the log answers.
func (l *Lease) appendRecord(ctx context.Context, at int64, e recordValue) {
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
