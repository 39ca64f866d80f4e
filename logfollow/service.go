package logfollow

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/ledger"
	"github.com/tamarackcleat/tamarackcleat/record"
)

const (
	// AppendsPerSecond bounds the entries that a node appends per second. At
	// this rate, seven nodes together stay below the several hundred appends
	// per second that the platform allows.
	AppendsPerSecond = 40
	// appendBurst is the number of entries that a node may append at once.
	appendBurst = 20
	// readRetryDelay is the delay before a failed read is repeated.
	readRetryDelay = 250 * time.Millisecond
	// appendInterval is the interval at which pending records are checked and
	// sent, while there are any.
	appendInterval = 20 * time.Millisecond
	// unreachableAfter is how much longer than MaxReadWait the log may go
	// without a successful read before it counts as unreachable.
	unreachableAfter = time.Second
)

// Ledgers holds the ledger of every stream.
type Ledgers struct {
	Config   *ledger.Config
	Control  *ledger.Control
	Suspects *ledger.Suspects
	Calls    [record.CallShards]*ledger.Calls
}

// NewLedgers returns empty ledgers.
func NewLedgers(validate ledger.ValidateDocument) *Ledgers {
	l := &Ledgers{
		Config:   ledger.NewConfig(validate),
		Control:  ledger.NewControl(),
		Suspects: ledger.NewSuspects(),
	}
	for i := range l.Calls {
		l.Calls[i] = ledger.NewCalls()
	}
	return l
}

// CallsForKey returns the ledger of the shard that an idempotency key belongs
// to.
func (l *Ledgers) CallsForKey(key string) *ledger.Calls {
	return l.Calls[record.CallShard(key)]
}

// Service follows all streams and appends to them.
type Service struct {
	ledgers     *Ledgers
	followers   map[string]*follower
	appenders   map[string]*appender
	streams     []string // in the order in which they are handled
	subscribers map[string][]string
	limiter     *rate.Limiter
	rng         *rand.Rand
	lastRead    time.Time // time of the last successful read of any stream
	started     time.Time
	newID       func() string
}

// New returns the service. rng randomizes when the node writes checkpoints,
// which spreads them over the nodes. newID returns a new record identifier.
func New(ledgers *Ledgers, rng *rand.Rand, newID func() string) *Service {
	s := &Service{
		ledgers:     ledgers,
		followers:   map[string]*follower{},
		appenders:   map[string]*appender{},
		subscribers: map[string][]string{},
		limiter:     rate.NewLimiter(AppendsPerSecond, appendBurst),
		rng:         rng,
		newID:       newID,
	}
	s.follow(record.StreamConfig, ledgers.Config, false)
	s.follow(record.StreamControl, ledgers.Control, false)
	s.follow(record.StreamSuspects, ledgers.Suspects, false)
	for i, c := range ledgers.Calls {
		s.follow(record.CallShardStream(i), c, true)
	}
	return s
}

func (s *Service) follow(stream string, l ledger.Ledger, windowed bool) {
	s.streams = append(s.streams, stream)
	s.followers[stream] = &follower{stream: stream, ledger: l, windowed: windowed}
	s.appenders[stream] = &appender{stream: stream}
}

// Subscribe sends the RecordApplied and LedgerRebuilt messages of a stream to a
// service.
func (s *Service) Subscribe(stream, service string) {
	s.subscribers[stream] = append(s.subscribers[stream], service)
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Ledgers returns the ledgers. Other services may only read them.
func (s *Service) Ledgers() *Ledgers { return s.ledgers }

// Start implements kernel.Starter.
func (s *Service) Start(now time.Time) []kernel.Effect {
	s.started = now
	var out []kernel.Effect
	for _, stream := range s.streams {
		out = append(out, Read{Stream: stream})
		out = append(out, s.checkpointTimer(stream))
	}
	return out
}

// Handle implements kernel.Service.
func (s *Service) Handle(now time.Time, msg kernel.Message) []kernel.Effect {
	switch m := msg.(type) {
	case ReadDone:
		return s.readDone(now, m)
	case readDue:
		return s.read(m.stream)
	case AppendRecord:
		return s.queueAppend(now, m)
	case AppendDone:
		s.appenders[m.Stream].handleResult(now, m.Err)
		return s.sendNext(now, m.Stream)
	case appendDue:
		s.appenders[m.stream].timerSet = false
		return s.sendNext(now, m.stream)
	case OfferSnapshot:
		if s.followers[m.Stream] != nil && s.followers[m.Stream].adoptSnapshot(m) {
			return s.notify(m.Stream, LedgerRebuilt{Stream: m.Stream})
		}
	case checkpointDue:
		return s.appendCheckpoint(now, m.stream)
	}
	return nil
}

// queueAppend queues a record and sends it if possible. The sender gets an
// AppendAbandoned message at once for a record that cannot be encoded.
func (s *Service) queueAppend(now time.Time, m AppendRecord) []kernel.Effect {
	if err := s.appenders[m.Stream].enqueue(m); err != nil {
		if m.From == "" {
			return nil
		}
		return []kernel.Effect{kernel.Send{To: m.From, Msg: AppendAbandoned{Stream: m.Stream, Record: m.Record, NotAppended: true}}}
	}
	return s.sendNext(now, m.Stream)
}

func (s *Service) read(stream string) []kernel.Effect {
	f := s.followers[stream]
	r := Read{Stream: stream, From: f.next}
	if f.atHead {
		r.Wait = MaxReadWait
	}
	return []kernel.Effect{r}
}

func (s *Service) readDone(now time.Time, m ReadDone) []kernel.Effect {
	f := s.followers[m.Stream]
	if m.Err != nil {
		f.atHead = false
		return []kernel.Effect{kernel.SetTimer{To: Name, After: readRetryDelay, Msg: readDue{m.Stream}}}
	}
	s.lastRead = now
	if m.From != f.next {
		return s.read(m.Stream)
	}
	got := f.handleRead(m.Result)
	var out []kernel.Effect
	if got.rebuilt {
		out = append(out, s.notify(m.Stream, LedgerRebuilt{Stream: m.Stream})...)
	}
	for _, a := range got.applied {
		s.appenders[m.Stream].removeRead(a.Record.ID)
		out = append(out, s.notify(m.Stream, a)...)
	}
	if m.Result.NextOffset < f.next {
		return append(out, kernel.SetTimer{To: Name, After: readRetryDelay, Msg: readDue{m.Stream}})
	}
	return append(out, s.read(m.Stream)...)
}

// notify sends a message to the subscribers of a stream.
func (s *Service) notify(stream string, msg kernel.Message) []kernel.Effect {
	var out []kernel.Effect
	for _, name := range s.subscribers[stream] {
		out = append(out, kernel.Send{To: name, Msg: msg})
	}
	return out
}

// sendNext sends the next entry of a stream if the rate limit allows it, and
// sets a timer if there are pending records.
func (s *Service) sendNext(now time.Time, stream string) []kernel.Effect {
	a := s.appenders[stream]
	out := a.expire(now)
	if a.canSend(now) && s.limiter.AllowN(now, 1) {
		out = append(out, AppendEntry{Stream: stream, Data: a.nextEntry(now)})
	}
	if len(a.queue) > 0 && !a.timerSet {
		a.timerSet = true
		after := max(appendInterval, a.notBefore.Sub(now))
		out = append(out, kernel.SetTimer{To: Name, After: after, Msg: appendDue{stream}})
	}
	return out
}

// CaughtUp reports whether a stream's ledger has a base, as HasBase does, and
// the latest read reached the end of the stream. For a stream of call claims,
// the log must also keep entries for as long as they can affect the verdict on
// a claim.
func (s *Service) CaughtUp(stream string) bool {
	f := s.followers[stream]
	return f.hasBase && f.atHead && (!f.windowed || f.retentionCoversWindow())
}

// HasBase reports whether a stream's ledger has a base, which means that it
// holds the state that results from all entries below NextOffset.
func (s *Service) HasBase(stream string) bool { return s.followers[stream].hasBase }

// ReachedHead reports whether at least one read since the process started has
// reached the end of a stream while its ledger had a base.
func (s *Service) ReachedHead(stream string) bool { return s.followers[stream].reachedHead }

// NextOffset returns the offset of the next entry of a stream to read.
func (s *Service) NextOffset(stream string) int64 { return s.followers[stream].next }

// Reachable reports whether a read has succeeded recently, and the latest read
// of at least one stream reached its end.
func (s *Service) Reachable(now time.Time) bool {
	return !s.lastRead.IsZero() && now.Sub(s.lastRead) < MaxReadWait+unreachableAfter && s.anyAtHead()
}

// anyAtHead reports whether the latest read of at least one stream reached its
// end.
func (s *Service) anyAtHead() bool {
	for _, stream := range s.streams {
		if s.followers[stream].atHead {
			return true
		}
	}
	return false
}

// MaxReadWait is how long the log may delay its response to a read if there is
// nothing to read.
const MaxReadWait = 10 * time.Second

// retentionCoversWindow reports whether the log keeps entries for the whole time
// in which they can affect the verdict on a claim.
func (f *follower) retentionCoversWindow() bool {
	need := ledger.KeyWindow + 2*ledger.MaxKeySkew
	return f.retentionMillis >= need.Milliseconds()
}
