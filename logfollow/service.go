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
	// AppendsPerSecond bounds the entries that a node appends; seven nodes
	// stay below the several hundred a second of the platform.
	AppendsPerSecond = 40
	// appendBurst is the number of entries that may go out at once.
	appendBurst = 20
	// readRetry is the delay after a failed read.
	readRetry = 250 * time.Millisecond
	// pumpEvery is how often pending appends are looked at while there are
	// any.
	pumpEvery = 20 * time.Millisecond
	// unreachableAfter is how long reads fail before the log counts as
	// unreachable.
	unreachableAfter = time.Second
)

// Ledgers holds one ledger per kind of stream.
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

// ForKey returns the ledger of the shard of an idempotency key.
func (l *Ledgers) ForKey(key string) *ledger.Calls {
	return l.Calls[record.CallShard(key)]
}

// Service follows all streams and appends to them.
type Service struct {
	ledgers     *Ledgers
	followers   map[string]*follower
	appenders   map[string]*appender
	order       []string
	subscribers map[string][]string
	limiter     *rate.Limiter
	rng         *rand.Rand
	lastRead    time.Time
	started     time.Time
	newID       func() string
}

// New returns the service. rng spreads checkpoints over nodes; newID gives
// record identifiers.
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
	s.order = append(s.order, stream)
	s.followers[stream] = &follower{stream: stream, ledger: l, windowed: windowed}
	s.appenders[stream] = &appender{stream: stream}
}

// Subscribe sends Applied and Rebuilt of a stream to a service.
func (s *Service) Subscribe(stream, service string) {
	s.subscribers[stream] = append(s.subscribers[stream], service)
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Ledgers gives the ledgers to other services, for reading only.
func (s *Service) Ledgers() *Ledgers { return s.ledgers }

// Start implements kernel.Starter.
func (s *Service) Start(now time.Time) []kernel.Effect {
	s.started = now
	var out []kernel.Effect
	for _, stream := range s.order {
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
	case retryRead:
		return s.read(m.stream)
	case Append:
		return s.append(now, m)
	case AppendDone:
		s.appenders[m.Stream].done(now, m.Err)
		return s.pump(now, m.Stream)
	case pump:
		s.appenders[m.stream].timerSet = false
		return s.pump(now, m.stream)
	case Seed:
		if s.followers[m.Stream] != nil && s.followers[m.Stream].seed(m) {
			return s.tell(m.Stream, Rebuilt{Stream: m.Stream})
		}
	case checkpointDue:
		return s.checkpoint(now, m.stream)
	}
	return nil
}

// append queues a record; one that can't be encoded goes back to its sender.
func (s *Service) append(now time.Time, m Append) []kernel.Effect {
	if err := s.appenders[m.Stream].add(m); err != nil {
		if m.From == "" {
			return nil
		}
		return []kernel.Effect{kernel.Send{To: m.From, Msg: Abandoned{Stream: m.Stream, Record: m.Record, NeverSent: true}}}
	}
	return s.pump(now, m.Stream)
}

func (s *Service) read(stream string) []kernel.Effect {
	f := s.followers[stream]
	r := Read{Stream: stream, From: f.next}
	if f.atHead {
		r.Wait = LongPoll
	}
	return []kernel.Effect{r}
}

func (s *Service) readDone(now time.Time, m ReadDone) []kernel.Effect {
	f := s.followers[m.Stream]
	if m.Err != nil {
		f.atHead = false
		return []kernel.Effect{kernel.SetTimer{To: Name, After: readRetry, Msg: retryRead{m.Stream}}}
	}
	s.lastRead = now
	if m.From != f.next {
		return s.read(m.Stream)
	}
	got := f.take(m.Result)
	var out []kernel.Effect
	if got.rebuilt {
		out = append(out, s.tell(m.Stream, Rebuilt{Stream: m.Stream})...)
	}
	for _, a := range got.applied {
		s.appenders[m.Stream].readBack(a.Record.ID)
		out = append(out, s.tell(m.Stream, a)...)
	}
	if m.Result.Next < f.next {
		return append(out, kernel.SetTimer{To: Name, After: readRetry, Msg: retryRead{m.Stream}})
	}
	return append(out, s.read(m.Stream)...)
}

// tell sends a message to the subscribers of a stream.
func (s *Service) tell(stream string, msg kernel.Message) []kernel.Effect {
	var out []kernel.Effect
	for _, name := range s.subscribers[stream] {
		out = append(out, kernel.Send{To: name, Msg: msg})
	}
	return out
}

// pump sends the next entry of a stream if the rate allows.
func (s *Service) pump(now time.Time, stream string) []kernel.Effect {
	a := s.appenders[stream]
	out := a.expire(now)
	if a.ready(now) && s.limiter.AllowN(now, 1) {
		out = append(out, AppendEntry{Stream: stream, Data: a.next(now)})
	}
	if len(a.queue) > 0 && !a.timerSet {
		a.timerSet = true
		after := max(pumpEvery, a.notBefore.Sub(now))
		out = append(out, kernel.SetTimer{To: Name, After: after, Msg: pump{stream}})
	}
	return out
}

// CaughtUp reports whether a stream's ledger has its base and the latest read
// reached the end of the stream.
func (s *Service) CaughtUp(stream string) bool {
	f := s.followers[stream]
	return f.based && f.atHead && (!f.windowed || f.windowCovered())
}

// Based reports whether a stream's ledger has its base.
func (s *Service) Based(stream string) bool { return s.followers[stream].based }

// ReachedHead reports whether a stream was read to its end, with its base, at
// some time since the start.
func (s *Service) ReachedHead(stream string) bool { return s.followers[stream].reachedHead }

// Next returns the offset up to which a stream was read.
func (s *Service) Next(stream string) int64 { return s.followers[stream].next }

// Reachable reports whether the log was read lately.
func (s *Service) Reachable(now time.Time) bool {
	return !s.lastRead.IsZero() && now.Sub(s.lastRead) < LongPoll+unreachableAfter && s.readable()
}

// readable reports whether the latest read of any stream succeeded.
func (s *Service) readable() bool {
	for _, stream := range s.order {
		if s.followers[stream].atHead {
			return true
		}
	}
	return false
}

// LongPoll is how long the log may hold a read before it answers empty.
const LongPoll = 10 * time.Second

// windowCovered reports whether the log keeps entries for the whole window in
// which claims are judged.
func (f *follower) windowCovered() bool {
	need := ledger.KeyWindow + 2*ledger.KeySkew
	return f.retentionMillis >= need.Milliseconds()
}
