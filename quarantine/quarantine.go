// Package quarantine is the kernel service that keeps a request which crashes
// its upstreams from crashing more than two of them.
//
// A request that was in flight on a replica when the replica crashed becomes a
// suspect. It is identified by a fingerprint of its content, because callers send
// it again with other request ids and through other entry VMs. A suspect may run
// once more, as a trial; all nodes agree through the log on which attempt is the
// trial. A second crash quarantines the suspect. A trial that ends without a crash
// clears it, so that requests which only ran on the same replica as the cause of a
// crash are served again. While the log is unavailable, a node relies on the
// crashes that it and its peers saw, and allows one trial of its own for each
// suspect.
package quarantine

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/ledger"
	"github.com/tamarackcleat/tamarackcleat/logfollow"
	"github.com/tamarackcleat/tamarackcleat/record"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// Name is the service's registered name.
const Name = "quarantine"

const (
	// trialReadBackWait is the maximum time that the reply to a Check message
	// waits until the record of its trial is read back from the log.
	trialReadBackWait = 2 * time.Second
	// crashReadBackWait is the maximum time that the reply to a Crashed message
	// waits until the record of the crash is read back from the log.
	crashReadBackWait = time.Second
	// retryAppendFor is how long appends of crashes and ends of trials are
	// retried.
	retryAppendFor = time.Hour
	// retryAfter is the retry delay advised to callers while a trial of the
	// same request runs.
	retryAfter = 5 * time.Second
)

// Check asks whether a request may run. The reply is NotSuspect, RunAsTrial or
// *verdict.Error.
type Check struct {
	Ask kernel.AskID
	// Fingerprint identifies the content of the request.
	Fingerprint string
	// Attempt identifies the attempt to run the request.
	Attempt string
}

// NotSuspect is the reply to a Check message for a request that is not a suspect.
type NotSuspect struct{}

// RunAsTrial is the reply to a Check message for a suspect that may run as a trial.
// A trial must run on a replica that runs no other trial.
type RunAsTrial struct{}

// Crashed reports that a replica crashed while a request was in flight on it.
// The reply is CrashRecorded. It is sent when the crash has been read back from
// the log or after crashReadBackWait: a caller that is refused earlier may send
// the request again to a node that has not heard of the crash.
type Crashed struct {
	Ask         kernel.AskID
	Fingerprint string
	// Replica is the name of the replica and Generation its fencing number.
	Replica    string
	Generation record.Position
	// Attempt is the trial's attempt; empty if the run was not a trial.
	Attempt string
}

// CrashRecorded is the reply to Crashed.
type CrashRecorded struct{}

// TrialEnded reports that a trial ended without a crash.
type TrialEnded struct {
	Fingerprint string
	// Attempt is the attempt of the Check message that allowed the trial.
	Attempt string
	// Outcome is TrialSurvived or TrialNotRun.
	Outcome record.TrialOutcome
}

// PeerSuspects carries the suspects that a peer reported, so that this node knows
// of them even while the log is unavailable.
type PeerSuspects struct {
	Suspects []LocalSuspect
}

// LocalSuspect is a suspect that a node knows of without reading the log. Nodes
// exchange them in heartbeats.
type LocalSuspect struct {
	Fingerprint string `json:"fingerprint"`
	// Generation is the fencing number of the replica that crashed first.
	Generation record.Position `json:"generation"`
	// Crashes is the number of crashes counted.
	Crashes int `json:"crashes"`
}

// crashReadBackTimeout is the timer message that ends the wait for the read-back
// of a crash.
type crashReadBackTimeout struct{ recordID string }

// trialReadBackTimeout is the timer message that ends the wait for the read-back
// of a trial.
type trialReadBackTimeout struct{ attempt string }

// Log is the part of the log service that the Service reads.
type Log interface {
	// Ledgers returns the ledgers built from the log.
	Ledgers() *logfollow.Ledgers
	// CaughtUp reports whether the stream has been read to its end.
	CaughtUp(stream string) bool
}

// Service is the kernel service "quarantine".
type Service struct {
	node   record.NodeID
	log    Log
	isLive IsLive
	newID  func() string
	// pendingTrials holds, by attempt, the Check messages whose trial record has
	// not been read back.
	pendingTrials map[string]Check
	// pendingCrashes holds, by record identifier, the Ask of each Crashed message
	// whose record has not been read back.
	pendingCrashes map[string]kernel.AskID
	// local holds the suspects that this node and its peers saw crash an
	// upstream.
	local SuspectTable
}

// IsLive reports whether a node has been heard from lately.
type IsLive func(now time.Time, node record.NodeID) bool

// New returns the service of a node. newID returns unique record identifiers.
func New(node record.NodeID, log Log, live IsLive, newID func() string) *Service {
	return &Service{node: node, log: log, isLive: live, newID: newID, pendingTrials: map[string]Check{}, pendingCrashes: map[string]kernel.AskID{}, local: NewTable()}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// SuspectCount returns the number of suspects in the ledger, whether or not
// they are quarantined.
func (s *Service) SuspectCount() int { return s.log.Ledgers().Suspects.Len() }

// LocalSuspects returns the most recent suspects that this node or its peers saw
// crash an upstream, the last one added first; see SuspectTable.Recent.
func (s *Service) LocalSuspects() []LocalSuspect { return s.local.Recent() }

// Handle implements kernel.Service.
func (s *Service) Handle(now time.Time, msg kernel.Message) []kernel.Effect {
	switch m := msg.(type) {
	case Check:
		return s.check(now, m)
	case Crashed:
		return s.crashed(now, m)
	case TrialEnded:
		return s.ended(now, m)
	case PeerSuspects:
		for _, p := range m.Suspects {
			s.local.Merge(p)
		}
	case logfollow.RecordApplied:
		return s.applied(m)
	case logfollow.AppendAbandoned:
		if m.Record.Trial != nil {
			return s.refusePendingTrial(m.Record.Trial.Attempt)
		}
	case trialReadBackTimeout:
		return s.refusePendingTrial(m.attempt)
	case crashReadBackTimeout:
		return s.answerCrashed(m.recordID)
	}
	return nil
}

// check replies to a Check message at once or, if the request is a suspect and the
// log is available, when the trial's record has been read back.
func (s *Service) check(now time.Time, m Check) []kernel.Effect {
	known, ok := s.log.Ledgers().Suspects.State(m.Fingerprint)
	local, seen := s.local.Get(m.Fingerprint)
	switch {
	case ok && known.Phase == ledger.SuspectQuarantined, seen && local.Crashes > 1:
		return reply(m.Ask, verdict.Refuse(verdict.ReasonQuarantined, "this request crashed two upstreams"))
	case ok && known.Phase == ledger.SuspectOnTrial && (known.Node == s.node || s.isLive(now, known.Node)):
		return reply(m.Ask, trialInProgress())
	case !ok && !seen:
		return reply(m.Ask, NotSuspect{})
	case !s.log.CaughtUp(record.StreamSuspects):
		return s.localTrial(m)
	}
	s.pendingTrials[m.Attempt] = m
	giveUp := now.Add(trialReadBackWait)
	var out []kernel.Effect
	if !ok {
		// The crash may not be on the log yet: the node that saw it may be paused or
		// gone. The log accepts a trial only after the crash.
		out = append(out, s.append(now, record.Record{Suspect: &record.Suspect{
			Fingerprint: m.Fingerprint,
			Generation:  local.Generation,
		}}, giveUp))
	}
	return append(out,
		s.append(now, record.Record{Trial: &record.Trial{
			Fingerprint: m.Fingerprint,
			Attempt:     m.Attempt,
			Node:        s.node,
			Replaces:    known.Attempt,
		}}, giveUp),
		kernel.SetTimer{To: Name, After: trialReadBackWait, Msg: trialReadBackTimeout{m.Attempt}},
	)
}

// trialInProgress returns the refusal of a suspect that may not run now because
// its trial may be running.
func trialInProgress() *verdict.Error {
	return verdict.Refuse(verdict.ReasonSuspectBusy, "this request crashed an upstream and runs once more just now").WithRetryAfter(retryAfter)
}

// reply returns the effects that send msg as the reply to the message whose Ask is id.
func reply(id kernel.AskID, msg kernel.Message) []kernel.Effect {
	return []kernel.Effect{kernel.Reply{ID: id, Msg: msg}}
}

// localTrial replies to a Check message without the log: it allows one trial per
// suspect.
func (s *Service) localTrial(m Check) []kernel.Effect {
	if !s.local.startTrial(m.Fingerprint) {
		return reply(m.Ask, trialInProgress())
	}
	return reply(m.Ask, RunAsTrial{})
}

// ended handles the end of a trial that did not crash its replica and appends it to
// the log. If the request ran without a crash, the local suspect is cleared; if it
// did not run, another trial is allowed.
func (s *Service) ended(now time.Time, m TrialEnded) []kernel.Effect {
	if m.Outcome == record.TrialSurvived {
		s.local.remove(m.Fingerprint)
	} else {
		s.local.endTrial(m.Fingerprint)
	}
	return []kernel.Effect{s.append(now, record.Record{TrialEnd: &record.TrialEnd{
		Fingerprint: m.Fingerprint,
		Attempt:     m.Attempt,
		Outcome:     m.Outcome,
	}}, now.Add(retryAppendFor))}
}

// crashed records a crash locally and appends it to the log. If the run was a
// trial, it also appends the end of the trial.
func (s *Service) crashed(now time.Time, m Crashed) []kernel.Effect {
	s.local.RecordCrash(m.Fingerprint, m.Generation)
	var out []kernel.Effect
	if m.Attempt != "" {
		out = append(out, s.append(now, record.Record{TrialEnd: &record.TrialEnd{
			Fingerprint: m.Fingerprint,
			Attempt:     m.Attempt,
			Outcome:     record.TrialCrashed,
		}}, now.Add(retryAppendFor)))
	}
	id := s.newID()
	s.pendingCrashes[id] = m.Ask
	return append(out,
		s.append(now, record.Record{ID: id, Suspect: &record.Suspect{
			Fingerprint: m.Fingerprint,
			Replica:     m.Replica,
			Generation:  m.Generation,
		}}, now.Add(retryAppendFor)),
		kernel.SetTimer{To: Name, After: crashReadBackWait, Msg: crashReadBackTimeout{id}},
	)
}

// answerCrashed replies to the Crashed message that caused the record with the
// given identifier, unless it has been replied to already.
func (s *Service) answerCrashed(id string) []kernel.Effect {
	ask, ok := s.pendingCrashes[id]
	if !ok {
		return nil
	}
	delete(s.pendingCrashes, id)
	return reply(ask, CrashRecorded{})
}

// append returns the effect that appends a record to the log. The append is
// retried until giveUp.
func (s *Service) append(now time.Time, r record.Record, giveUp time.Time) kernel.Effect {
	if r.ID == "" {
		r.ID = s.newID()
	}
	r.AtMillis = now.UnixMilli()
	return kernel.Send{To: logfollow.Name, Msg: logfollow.AppendRecord{
		Stream:   record.StreamSuspects,
		Record:   r,
		From:     Name,
		Deadline: giveUp,
	}}
}

// applied handles a record that was read back from the log. It replies to the Check
// message that waits for the record of a trial, or to the Crashed message that waits
// for the record of a crash.
func (s *Service) applied(m logfollow.RecordApplied) []kernel.Effect {
	if end := m.Record.TrialEnd; end != nil && end.Outcome == record.TrialSurvived {
		s.local.remove(end.Fingerprint)
	}
	if m.Record.Trial == nil {
		return s.answerCrashed(m.Record.ID)
	}
	c, ok := s.pendingTrials[m.Record.Trial.Attempt]
	if !ok {
		return nil
	}
	delete(s.pendingTrials, c.Attempt)
	if m.Result.Accepted {
		s.local.startTrial(c.Fingerprint)
		return reply(c.Ask, RunAsTrial{})
	}
	if _, known := s.log.Ledgers().Suspects.State(c.Fingerprint); !known {
		s.local.remove(c.Fingerprint)
		return reply(c.Ask, NotSuspect{})
	}
	return reply(c.Ask, trialInProgress())
}

// refusePendingTrial refuses the suspect of a Check message whose trial record was
// not read back in time.
func (s *Service) refusePendingTrial(attempt string) []kernel.Effect {
	c, ok := s.pendingTrials[attempt]
	if !ok {
		return nil
	}
	delete(s.pendingTrials, attempt)
	return reply(c.Ask, trialInProgress())
}
