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
	// MaxClaimAge is the maximum time from writing a claim to its dispatch.
	// An older claim is released without a dispatch, so that a node that was
	// paused in between doesn't dispatch the call late.
	MaxClaimAge = 30 * time.Second
	// claimReadBackWait is the maximum wait for the read-back of a claim.
	claimReadBackWait = 3 * time.Second
	// outcomeReadBackWait is the maximum time that a caller's answer waits
	// for the read-back of its outcome.
	outcomeReadBackWait = 500 * time.Millisecond
	// retryAppendFor is how long appends of outcomes and releases are
	// retried.
	retryAppendFor = ledger.KeyWindow
	// dropAbandonedAfter is how long an abandoned attempt is kept after the
	// log service gave up appending its claim, so that the claim is released
	// if it still appears in the log.
	dropAbandonedAfter = 10 * time.Minute
	// retryAfter is the retry delay advised to callers when the call is in
	// progress or the log of claims is not available.
	retryAfter = time.Second
)

// Log is the part of the log service that the Service reads.
type Log interface {
	// CaughtUp reports whether the stream has been read to its end.
	CaughtUp(stream string) bool
	// Ledgers returns the ledgers built from the log.
	Ledgers() *logfollow.Ledgers
}

// phase is the state of an attempt on this node.
type phase int

const (
	// claiming means that the attempt's claim has not been read back.
	claiming phase = iota
	// waitingForOutcome means that another attempt holds the claim.
	waitingForOutcome
	// dispatched means that the attempt's claim was accepted and that the
	// attempt may run the call.
	dispatched
	// finishing means that the outcome has not been read back.
	finishing
	// abandoned means that the caller was answered while the claim may still
	// appear in the log.
	abandoned
)

// attempt is a submission that this node handles.
type attempt struct {
	Submit
	phase phase
	// claimedAt is when the last claim of the attempt was written.
	claimedAt time.Time
	// finishAsk is the ask of the RecordOutcome in phase finishing.
	finishAsk kernel.AskID
}

// Service is the kernel service "calls".
type Service struct {
	node   record.NodeID
	log    Log
	isLive IsLive
	// attempts holds the attempts by Submit.Attempt.
	attempts map[string]*attempt
	newID    func() string
}

// IsLive reports whether a node has been heard from lately.
type IsLive func(now time.Time, node record.NodeID) bool

// New returns the service of a node. newID returns unique record identifiers.
func New(node record.NodeID, log Log, live IsLive, newID func() string) *Service {
	return &Service{node: node, log: log, isLive: live, attempts: map[string]*attempt{}, newID: newID}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Streams returns the names of the log streams with claims and outcomes, which the
// service must be subscribed to.
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
	case RecordOutcome:
		return s.recordOutcome(now, m)
	case ReleaseClaim:
		return s.releaseClaim(now, m)
	case EndInDoubt:
		delete(s.attempts, m.Attempt)
	case logfollow.RecordApplied:
		return s.applied(now, m)
	case logfollow.AppendAbandoned:
		return s.abandoned(m)
	case logfollow.LedgerRebuilt:
		return s.streamRebuilt(m.Stream)
	case waitTimeout:
		return s.waitTimedOut(now, m.attempt)
	case abandonedExpired:
		s.removeAbandoned(m.attempt)
	}
	return nil
}

// lookUp returns the call of a key from the ledger; false if the ledger has none.
func (s *Service) lookUp(key string) (ledger.Call, bool) {
	return s.log.Ledgers().CallsForKey(key).Call(key)
}

// submit claims the key of a call. If the key is claimed already, the attempt waits
// for the outcome of the attempt that holds the claim.
func (s *Service) submit(now time.Time, m Submit) []kernel.Effect {
	if err := s.validate(now, m); err != nil {
		return reply(m.Ask, err)
	}
	a := &attempt{Submit: m}
	s.attempts[m.Attempt] = a
	if call, ok := s.lookUp(m.Key); ok && call.Phase != ledger.CallUnclaimed {
		return append(s.awaitOutcome(a, call), s.timer(now, a, m.Deadline))
	}
	return s.claim(now, a)
}

// validate returns the refusal of a submission that can't be claimed, nil if it
// can.
func (s *Service) validate(now time.Time, m Submit) *verdict.Error {
	age := now.Sub(time.UnixMilli(m.KeyMillis))
	if age > ledger.KeyWindow || age < -ledger.MaxKeySkew {
		return refuseMayHaveRun(verdict.ReasonKeyOutsideWindow, "the key's time is outside the last %v", ledger.KeyWindow)
	}
	if !s.log.CaughtUp(record.CallStream(m.Key)) {
		return refuseMayHaveRun(verdict.ReasonNotCaughtUp, "this node has not read the log of claims to its end").WithRetryAfter(retryAfter)
	}
	return nil
}

// claim appends the claim of an attempt.
func (s *Service) claim(now time.Time, a *attempt) []kernel.Effect {
	a.phase = claiming
	a.claimedAt = now
	giveUp := now.Add(claimReadBackWait)
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

// append sets the identifier and the time of a record and returns the effect that
// appends it to the stream of a key. The append is retried until giveUp.
func (s *Service) append(now time.Time, key string, giveUp time.Time, r record.Record) kernel.Effect {
	r.ID = s.newID()
	r.AtMillis = now.UnixMilli()
	return kernel.Send{To: logfollow.Name, Msg: logfollow.AppendRecord{
		Stream:   record.CallStream(key),
		Record:   r,
		From:     Name,
		Deadline: giveUp,
	}}
}

// timer returns the effect that sends a waitTimeout for an attempt at a time.
func (s *Service) timer(now time.Time, a *attempt, at time.Time) kernel.Effect {
	return kernel.SetTimer{To: Name, After: max(0, at.Sub(now)), Msg: waitTimeout{a.Attempt}}
}

// awaitOutcome makes an attempt wait for the outcome of the attempt that holds the
// claim. It answers at once if the outcome is recorded or if the content of the
// call differs.
func (s *Service) awaitOutcome(a *attempt, call ledger.Call) []kernel.Effect {
	switch {
	case call.Digest != a.Digest:
		return s.end(a, verdict.Refuse(verdict.ReasonKeyReused, "the key came before with other content"))
	case call.Phase == ledger.CallDone:
		return s.end(a, RecordedAnswer{Body: call.Body})
	default:
		a.phase = waitingForOutcome
		return nil
	}
}

// end replies to the Submit message that started an attempt and removes the
// attempt.
func (s *Service) end(a *attempt, answer kernel.Message) []kernel.Effect {
	delete(s.attempts, a.Attempt)
	return reply(a.Ask, answer)
}

// reply returns the effects that answer an ask with a message.
func reply(id kernel.AskID, answer kernel.Message) []kernel.Effect {
	return []kernel.Effect{kernel.Reply{ID: id, Msg: answer}}
}

// applied handles a record that was read from a stream of claims.
func (s *Service) applied(now time.Time, m logfollow.RecordApplied) []kernel.Effect {
	switch {
	case m.Record.Claim != nil:
		return s.claimRead(now, *m.Record.Claim, m.Result)
	case m.Record.Outcome != nil:
		return s.outcomeRead(m.Record.Outcome.Key, m.Record.Outcome.Attempt)
	case m.Record.Release != nil:
		return s.claimAfterRelease(now, m.Record.Release.Key)
	}
	return nil
}

// claimRead handles a claim that was read from the log. Claims of other nodes'
// attempts are ignored.
func (s *Service) claimRead(now time.Time, c record.CallClaim, res ledger.Result) []kernel.Effect {
	a, ok := s.attempts[c.Attempt]
	if !ok || res.Cause == ledger.CauseDuplicate {
		return nil
	}
	if a.phase == abandoned {
		return s.releaseAbandoned(now, a, res)
	}
	if a.phase != claiming {
		return nil
	}
	if res.Accepted {
		return s.claimAccepted(now, a)
	}
	call, ok := s.lookUp(a.Key)
	if ok && call.Phase != ledger.CallUnclaimed {
		return append(s.awaitOutcome(a, call), s.timer(now, a, a.Deadline))
	}
	return s.end(a, claimRejectedError(res.Cause))
}

// claimRejectedError returns the refusal for a claim that the ledger rejected for a
// cause.
func claimRejectedError(c ledger.Cause) *verdict.Error {
	if c == ledger.CauseInvalid {
		return verdict.Refuse(verdict.ReasonKeyReused, "the key came before with other content")
	}
	return refuseMayHaveRun(verdict.ReasonKeyOutsideWindow, "the key's time is outside the last %v", ledger.KeyWindow)
}

// claimAccepted lets an attempt whose claim was accepted dispatch its call. If the
// claim is too old or the deadline has passed, it releases the claim and refuses
// the call.
func (s *Service) claimAccepted(now time.Time, a *attempt) []kernel.Effect {
	if now.Sub(a.claimedAt) > MaxClaimAge || now.After(a.Deadline) {
		delete(s.attempts, a.Attempt)
		refusal := verdict.Refuse(verdict.ReasonDeadline, "the claim was read back too late")
		return append(reply(a.Ask, refusal), s.release(now, a.Key, a.Attempt))
	}
	a.phase = dispatched
	return reply(a.Ask, Dispatch{ClaimedAt: a.claimedAt})
}

// releaseAbandoned removes an abandoned attempt whose claim was read back, and
// releases the claim if it was accepted.
func (s *Service) releaseAbandoned(now time.Time, a *attempt, res ledger.Result) []kernel.Effect {
	delete(s.attempts, a.Attempt)
	if !res.Accepted {
		return nil
	}
	return []kernel.Effect{s.release(now, a.Key, a.Attempt)}
}

// release returns the effect that releases the claim of an attempt.
func (s *Service) release(now time.Time, key, attempt string) kernel.Effect {
	return s.append(now, key, now.Add(retryAppendFor), record.Record{
		Release: &record.CallRelease{Key: key, Attempt: attempt},
	})
}

// outcomeRead handles an outcome that was read from the log. It answers the
// RecordOutcome of the attempt that recorded it, and the submissions that wait for
// the key.
func (s *Service) outcomeRead(key, finished string) []kernel.Effect {
	var out []kernel.Effect
	if a, ok := s.attempts[finished]; ok && a.phase == finishing {
		delete(s.attempts, finished)
		out = append(out, reply(a.finishAsk, OutcomeRecorded{Recorded: true})...)
	}
	call, ok := s.lookUp(key)
	if !ok || call.Phase != ledger.CallDone {
		return out
	}
	for _, a := range s.waiters(key) {
		out = append(out, s.awaitOutcome(a, call)...)
	}
	return out
}

// claimAfterRelease makes all attempts that wait for a key claim it, after its claim
// was released.
func (s *Service) claimAfterRelease(now time.Time, key string) []kernel.Effect {
	var out []kernel.Effect
	for _, a := range s.waiters(key) {
		out = append(out, s.claim(now, a)...)
	}
	return out
}

// waiters returns the attempts that wait for the outcome of a key, ordered by their
// asks.
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

// recordOutcome appends the outcome of a dispatched attempt and waits for its
// read-back.
func (s *Service) recordOutcome(now time.Time, m RecordOutcome) []kernel.Effect {
	a, ok := s.attempts[m.Attempt]
	if !ok || a.phase != dispatched {
		return reply(m.Ask, OutcomeRecorded{})
	}
	a.phase = finishing
	a.finishAsk = m.Ask
	return []kernel.Effect{
		s.append(now, m.Key, now.Add(retryAppendFor), record.Record{
			Outcome: &record.CallOutcome{Key: m.Key, Attempt: m.Attempt, Body: m.Body},
		}),
		s.timer(now, a, now.Add(outcomeReadBackWait)),
	}
}

// releaseClaim releases the claim of a dispatched attempt that did not run the
// call.
func (s *Service) releaseClaim(now time.Time, m ReleaseClaim) []kernel.Effect {
	a, ok := s.attempts[m.Attempt]
	if !ok || a.phase != dispatched {
		return nil
	}
	delete(s.attempts, m.Attempt)
	return []kernel.Effect{s.release(now, m.Key, m.Attempt)}
}

// abandoned handles a claim that the log service no longer tries to append. The
// attempt is kept for dropAbandonedAfter, because the claim may still appear; if
// the claim was never sent, it is removed at once.
func (s *Service) abandoned(m logfollow.AppendAbandoned) []kernel.Effect {
	if m.Record.Claim == nil {
		return nil
	}
	a, ok := s.attempts[m.Record.Claim.Attempt]
	if !ok {
		return nil
	}
	out := []kernel.Effect{kernel.SetTimer{To: Name, After: dropAbandonedAfter, Msg: abandonedExpired{a.Attempt}}}
	if m.NotAppended {
		delete(s.attempts, a.Attempt)
		out = nil
	}
	if a.phase == claiming {
		a.phase = abandoned
		out = append(out, reply(a.Ask, logUnavailableError())...)
	}
	return out
}

// removeAbandoned removes an abandoned attempt whose claim did not appear.
func (s *Service) removeAbandoned(id string) {
	if a, ok := s.attempts[id]; ok && a.phase == abandoned {
		delete(s.attempts, id)
	}
}

// logUnavailableError returns the refusal for a claim that was not read back in
// time.
func logUnavailableError() *verdict.Error {
	return refuseMayHaveRun(verdict.ReasonLogUnavailable, "the claim could not be read back; send the same key again").WithRetryAfter(retryAfter)
}

// waitTimedOut answers an attempt whose wait has timed out. An attempt whose claim
// may still appear in the log is kept as abandoned, so that the claim can be
// released.
func (s *Service) waitTimedOut(now time.Time, id string) []kernel.Effect {
	a, ok := s.attempts[id]
	if !ok {
		return nil
	}
	switch a.phase {
	case claiming:
		a.phase = abandoned
		return reply(a.Ask, logUnavailableError())
	case waitingForOutcome:
		return s.end(a, s.noOutcomeError(now, a.Key))
	case finishing:
		delete(s.attempts, id)
		return reply(a.finishAsk, OutcomeRecorded{})
	default:
		return nil
	}
}

// noOutcomeError returns the refusal for a submission whose wait ended before an
// earlier attempt with its key had an outcome.
func (s *Service) noOutcomeError(now time.Time, key string) *verdict.Error {
	call, ok := s.lookUp(key)
	if ok && (call.Node == s.node || s.isLive(now, call.Node)) {
		return refuseMayHaveRun(verdict.ReasonInProgress, "an earlier attempt with this key may still be running").WithRetryAfter(retryAfter)
	}
	return refuseMayHaveRun(verdict.ReasonInDoubt, "an earlier attempt with this key has no known outcome, and its node is gone")
}

// streamRebuilt handles a stream whose ledger was rebuilt, so that its history may
// have a gap. Attempts that wait for a claim or an outcome are refused, because
// the outcome of an attempt that began before the gap can no longer be determined.
// Abandoned attempts are removed.
func (s *Service) streamRebuilt(stream string) []kernel.Effect {
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
			out = append(out, s.end(a, refuseMayHaveRun(verdict.ReasonNotCaughtUp, "the log was truncated while the call waited"))...)
		case abandoned:
			delete(s.attempts, id)
		}
	}
	return out
}
