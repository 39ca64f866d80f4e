package calls

import (
	"slices"
	"time"

	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/ledger"
	"github.com/tamarackcleat/tamarackcleat/logfollow"
	"github.com/tamarackcleat/tamarackcleat/record"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

const (
	// MaxClaimAge is the longest time from writing a claim to its dispatch.
	// It ends attempts of a node that was paused in between.
	MaxClaimAge = 30 * time.Second
	// claimWait bounds the wait for the read-back of a claim.
	claimWait = 3 * time.Second
	// finishWait bounds the wait for the read-back of an outcome before the
	// caller gets its answer.
	finishWait = 500 * time.Millisecond
	// settleFor is how long outcomes and releases are appended again.
	settleFor = ledger.KeyWindow
	// forgetAfter is how long a claim that was given up is expected to appear.
	forgetAfter = 10 * time.Minute
	// retryAfter is advised to callers of a call in progress.
	retryAfter = time.Second
)

// Log is what the service reads of the log service.
type Log interface {
	// CaughtUp reports whether the stream was read to its end.
	CaughtUp(stream string) bool
	// Ledgers gives the ledgers.
	Ledgers() *logfollow.Ledgers
}

// phase is how far a local attempt has come.
type phase int

const (
	claiming phase = iota
	waitingForOutcome
	dispatched
	finishing
	abandoned
)

// attempt is a submission that this node handles.
type attempt struct {
	Submit
	phase     phase
	claimedAt time.Time
	finishAsk kernel.AskID
}

// Service is the kernel service of calls.
type Service struct {
	node     record.NodeID
	log      Log
	live     Live
	attempts map[string]*attempt
	newID    func() string
}

// Live reports whether a node was heard of lately.
type Live func(now time.Time, node record.NodeID) bool

// New returns the service of a node.
func New(node record.NodeID, log Log, live Live, newID func() string) *Service {
	return &Service{node: node, log: log, live: live, attempts: map[string]*attempt{}, newID: newID}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Streams returns the streams that the service subscribes to.
func Streams() []string {
	var out []string
	for i := range record.CallShards {
		out = append(out, record.CallShardStream(i))
	}
	return out
}

// Handle implements kernel.Service.
func (s *Service) Handle(now time.Time, msg kernel.Message) []kernel.Effect {
	switch m := msg.(type) {
	case Submit:
		return s.submit(now, m)
	case Finish:
		return s.finish(now, m)
	case GiveBack:
		return s.giveBack(now, m)
	case InDoubt:
		delete(s.attempts, m.Attempt)
	case logfollow.Applied:
		return s.applied(now, m)
	case logfollow.Abandoned:
		return s.abandoned(m)
	case logfollow.Rebuilt:
		return s.rebuilt(m.Stream)
	case waitOver:
		return s.waitOver(now, m.attempt)
	case forget:
		s.forget(m.attempt)
	}
	return nil
}

// known returns what the ledger knows of a key.
func (s *Service) known(key string) (ledger.Call, bool) {
	return s.log.Ledgers().ForKey(key).Call(key)
}

func (s *Service) submit(now time.Time, m Submit) []kernel.Effect {
	if err := s.judge(now, m); err != nil {
		return reply(m.Ask, err)
	}
	a := &attempt{Submit: m}
	s.attempts[m.Attempt] = a
	if call, ok := s.known(m.Key); ok && call.Phase != ledger.CallFree {
		return append(s.follow(a, call), s.timer(now, a, m.Deadline))
	}
	return s.claim(now, a)
}

// judge refuses submissions that can't be claimed.
func (s *Service) judge(now time.Time, m Submit) *verdict.Error {
	age := now.Sub(time.UnixMilli(m.KeyMillis))
	if age > ledger.KeyWindow || age < -ledger.KeySkew {
		return refuse(verdict.ReasonKeyOutsideWindow, "the key's time is outside the last %v", ledger.KeyWindow)
	}
	if !s.log.CaughtUp(record.CallStream(m.Key)) {
		return refuse(verdict.ReasonNotCaughtUp, "this node has not read the log of claims to its end").WithRetryAfter(retryAfter)
	}
	return nil
}

// claim appends the claim of an attempt.
func (s *Service) claim(now time.Time, a *attempt) []kernel.Effect {
	a.phase = claiming
	a.claimedAt = now
	giveUp := now.Add(claimWait)
	if a.Deadline.Before(giveUp) {
		giveUp = a.Deadline
	}
	return []kernel.Effect{
		s.append(now, a.Key, giveUp, record.Record{Claim: &record.CallClaim{
			Key:       a.Key,
			KeyMillis: a.KeyMillis,
			Digest:    a.Digest,
			Class:     a.Class,
			Attempt:   a.Attempt,
			Node:      s.node,
		}}),
		s.timer(now, a, giveUp),
	}
}

// append completes a record and sends it to the log service.
func (s *Service) append(now time.Time, key string, giveUp time.Time, r record.Record) kernel.Effect {
	r.ID = s.newID()
	r.AtMillis = now.UnixMilli()
	return kernel.Send{To: logfollow.Name, Msg: logfollow.Append{
		Stream: record.CallStream(key),
		Record: r,
		From:   Name,
		GiveUp: giveUp,
	}}
}

func (s *Service) timer(now time.Time, a *attempt, at time.Time) kernel.Effect {
	return kernel.SetTimer{To: Name, After: max(0, at.Sub(now)), Msg: waitOver{a.Attempt}}
}

// follow lets an attempt wait for the outcome of the attempt that holds the
// claim, or answers at once if it can.
func (s *Service) follow(a *attempt, call ledger.Call) []kernel.Effect {
	switch {
	case call.Digest != a.Digest:
		return s.end(a, verdict.Refuse(verdict.ReasonKeyReused, "the key came before with other content"))
	case call.Phase == ledger.CallDone:
		return s.end(a, Recorded{Body: call.Body})
	default:
		a.phase = waitingForOutcome
		return nil
	}
}

// end answers the submission of an attempt and forgets it.
func (s *Service) end(a *attempt, answer kernel.Message) []kernel.Effect {
	delete(s.attempts, a.Attempt)
	return reply(a.Ask, answer)
}

func reply(id kernel.AskID, answer kernel.Message) []kernel.Effect {
	return []kernel.Effect{kernel.Reply{ID: id, Msg: answer}}
}

// applied handles a record of a claims stream.
func (s *Service) applied(now time.Time, m logfollow.Applied) []kernel.Effect {
	switch {
	case m.Record.Claim != nil:
		return s.claimRead(now, *m.Record.Claim, m.Result)
	case m.Record.Outcome != nil:
		return s.outcomeRead(m.Record.Outcome.Key, m.Record.Outcome.Attempt)
	case m.Record.Release != nil:
		return s.released(now, m.Record.Release.Key)
	}
	return nil
}

// claimRead handles the read-back of a claim of this node.
func (s *Service) claimRead(now time.Time, c record.CallClaim, res ledger.Result) []kernel.Effect {
	a, ok := s.attempts[c.Attempt]
	if !ok || res.Cause == ledger.CauseDuplicate {
		return nil
	}
	if a.phase == abandoned {
		return s.dropAbandoned(now, a, res)
	}
	if a.phase != claiming {
		return nil
	}
	if res.Accepted {
		return s.won(now, a)
	}
	call, ok := s.known(a.Key)
	if ok && call.Phase != ledger.CallFree {
		return append(s.follow(a, call), s.timer(now, a, a.Deadline))
	}
	return s.end(a, rejection(res.Cause))
}

// rejection is the answer to a claim that the ledger rejected.
func rejection(c ledger.Cause) *verdict.Error {
	if c == ledger.CauseInvalid {
		return verdict.Refuse(verdict.ReasonKeyReused, "the key came before with other content")
	}
	return refuse(verdict.ReasonKeyOutsideWindow, "the key's time is outside the last %v", ledger.KeyWindow)
}

// won lets the attempt dispatch, unless its claim is too old.
func (s *Service) won(now time.Time, a *attempt) []kernel.Effect {
	if now.Sub(a.claimedAt) > MaxClaimAge || now.After(a.Deadline) {
		delete(s.attempts, a.Attempt)
		refusal := verdict.Refuse(verdict.ReasonDeadline, "the claim was read back too late")
		return append(reply(a.Ask, refusal), s.release(now, a.Key, a.Attempt))
	}
	a.phase = dispatched
	return reply(a.Ask, Dispatch{ClaimedAt: a.claimedAt})
}

// dropAbandoned releases the claim of an attempt that was answered already.
func (s *Service) dropAbandoned(now time.Time, a *attempt, res ledger.Result) []kernel.Effect {
	delete(s.attempts, a.Attempt)
	if !res.Accepted {
		return nil
	}
	return []kernel.Effect{s.release(now, a.Key, a.Attempt)}
}

func (s *Service) release(now time.Time, key, attempt string) kernel.Effect {
	return s.append(now, key, now.Add(settleFor), record.Record{
		Release: &record.CallRelease{Key: key, Attempt: attempt},
	})
}

// outcomeRead answers all submissions of a key and the attempt that finished.
func (s *Service) outcomeRead(key, finished string) []kernel.Effect {
	var out []kernel.Effect
	if a, ok := s.attempts[finished]; ok && a.phase == finishing {
		delete(s.attempts, finished)
		out = append(out, reply(a.finishAsk, Finished{Recorded: true})...)
	}
	call, ok := s.known(key)
	if !ok || call.Phase != ledger.CallDone {
		return out
	}
	for _, a := range s.waiters(key) {
		out = append(out, s.follow(a, call)...)
	}
	return out
}

// released lets the waiters of a key claim it themselves.
func (s *Service) released(now time.Time, key string) []kernel.Effect {
	var out []kernel.Effect
	for _, a := range s.waiters(key) {
		out = append(out, s.claim(now, a)...)
	}
	return out
}

// waiters returns the attempts that wait for the outcome of a key, in order.
func (s *Service) waiters(key string) []*attempt {
	var out []*attempt
	for _, a := range s.attempts {
		if a.Key == key && a.phase == waitingForOutcome {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(x, y *attempt) int { return int(x.Ask) - int(y.Ask) })
	return out
}

func (s *Service) finish(now time.Time, m Finish) []kernel.Effect {
	a, ok := s.attempts[m.Attempt]
	if !ok || a.phase != dispatched {
		return reply(m.Ask, Finished{})
	}
	a.phase = finishing
	a.finishAsk = m.Ask
	return []kernel.Effect{
		s.append(now, m.Key, now.Add(settleFor), record.Record{
			Outcome: &record.CallOutcome{Key: m.Key, Attempt: m.Attempt, Body: m.Body},
		}),
		s.timer(now, a, now.Add(finishWait)),
	}
}

func (s *Service) giveBack(now time.Time, m GiveBack) []kernel.Effect {
	a, ok := s.attempts[m.Attempt]
	if !ok || a.phase != dispatched {
		return nil
	}
	delete(s.attempts, m.Attempt)
	return []kernel.Effect{s.release(now, m.Key, m.Attempt)}
}

// abandoned handles a claim that was not read back in time.
func (s *Service) abandoned(m logfollow.Abandoned) []kernel.Effect {
	if m.Record.Claim == nil {
		return nil
	}
	a, ok := s.attempts[m.Record.Claim.Attempt]
	if !ok {
		return nil
	}
	out := []kernel.Effect{kernel.SetTimer{To: Name, After: forgetAfter, Msg: forget{a.Attempt}}}
	if m.NeverSent {
		delete(s.attempts, a.Attempt)
		out = nil
	}
	if a.phase == claiming {
		a.phase = abandoned
		out = append(out, reply(a.Ask, logUnavailable())...)
	}
	return out
}

// forget drops an abandoned attempt whose claim never appeared.
func (s *Service) forget(id string) {
	if a, ok := s.attempts[id]; ok && a.phase == abandoned {
		delete(s.attempts, id)
	}
}

func logUnavailable() *verdict.Error {
	return refuse(verdict.ReasonLogUnavailable, "the claim could not be read back; send the same key again").WithRetryAfter(retryAfter)
}

// waitOver ends a wait. An attempt whose claim may still appear is kept, so
// that the claim is released then.
func (s *Service) waitOver(now time.Time, id string) []kernel.Effect {
	a, ok := s.attempts[id]
	if !ok {
		return nil
	}
	switch a.phase {
	case claiming:
		a.phase = abandoned
		return reply(a.Ask, logUnavailable())
	case waitingForOutcome:
		return s.end(a, s.unresolved(now, a.Key))
	case finishing:
		delete(s.attempts, id)
		return reply(a.finishAsk, Finished{})
	default:
		return nil
	}
}

// unresolved is the answer to a resend whose earlier attempt has no outcome.
func (s *Service) unresolved(now time.Time, key string) *verdict.Error {
	call, ok := s.known(key)
	if ok && (call.Node == s.node || s.live(now, call.Node)) {
		return refuse(verdict.ReasonInProgress, "an earlier attempt with this key may still be running").WithRetryAfter(retryAfter)
	}
	return refuse(verdict.ReasonInDoubt, "an earlier attempt with this key has no known outcome, and its node is gone")
}

// rebuilt gives up the attempts of a stream whose history has a gap: what is
// older than the gap can no longer be judged.
func (s *Service) rebuilt(stream string) []kernel.Effect {
	var ids []string
	for id, a := range s.attempts {
		if record.CallStream(a.Key) == stream {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	var out []kernel.Effect
	for _, id := range ids {
		a := s.attempts[id]
		switch a.phase {
		case claiming, waitingForOutcome:
			out = append(out, s.end(a, refuse(verdict.ReasonNotCaughtUp, "the log was truncated while the call waited"))...)
		case abandoned:
			delete(s.attempts, id)
		}
	}
	return out
}
