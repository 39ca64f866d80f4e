// Package quarantine is the kernel service that keeps a request which crashes
// its upstreams from crashing more than two of them.
//
// A request that was in flight on a replica when it crashed becomes a suspect,
// known by a fingerprint of its content, because callers send it again with
// other request ids and through other entry VMs. A suspect runs once more, as
// a trial that all nodes agree on through the log. A second crash quarantines
// it; a trial that ends well clears it, so that bystanders of one crash go on.
// While the log is out, a node uses what it and its peers know, and allows one
// trial of its own for each suspect.
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
	// trialWait bounds the wait for the read-back of a trial's record.
	trialWait = 2 * time.Second
	// noteWait bounds the wait for the read-back of a crash.
	noteWait = time.Second
	// settleFor is how long crashes and ends of trials are appended again.
	settleFor = time.Hour
	// retryAfter is advised while a trial runs elsewhere.
	retryAfter = 5 * time.Second
)

// Check asks whether a request may run. The reply is Clear, TrialRun or
// *verdict.Error.
type Check struct {
	Ask         kernel.AskID
	Fingerprint string
	// Attempt is unique per attempt.
	Attempt string
}

// Clear lets a request run as any other.
type Clear struct{}

// TrialRun lets a suspect run as its trial, on a replica without another one.
type TrialRun struct{}

// Crashed reports that a replica crashed while a request was in flight on it.
// The reply is Noted, after the log has told all nodes or could not in time: a
// caller that is refused earlier sends the request to a node that knows nothing.
type Crashed struct {
	Ask         kernel.AskID
	Fingerprint string
	Replica     string
	Generation  record.Position
	// Attempt is set if the run was a trial.
	Attempt string
}

// Noted answers Crashed.
type Noted struct{}

// Ended reports that a trial ended without a crash.
type Ended struct {
	Fingerprint string
	Attempt     string
	// Outcome is TrialSurvived or TrialNotRun.
	Outcome record.TrialOutcome
}

// PeerSuspects tells what a peer knows, for the time when the log is out.
type PeerSuspects struct {
	Suspects []LocalSuspect
}

// LocalSuspect is a crash that a node saw itself.
type LocalSuspect struct {
	Fingerprint string          `json:"fingerprint"`
	Generation  record.Position `json:"generation"`
	Crashes     int             `json:"crashes"`
}

// noteOver is the timer that ends the wait for the read-back of a crash.
type noteOver struct{ record string }

// trialOver is the timer that ends the wait for a trial's read-back.
type trialOver struct{ attempt string }

// Log is what the service reads of the log service.
type Log interface {
	Ledgers() *logfollow.Ledgers
	CaughtUp(stream string) bool
}

// Service is the kernel service of quarantine.
type Service struct {
	node  record.NodeID
	log   Log
	live  Live
	newID func() string
	// waiting holds trials whose record was not read back yet.
	waiting map[string]Check
	// noting holds, by record identifier, who waits for a crash to be read
	// back.
	noting map[string]kernel.AskID
	local  Table
}

// Live reports whether a node was heard of lately.
type Live func(now time.Time, node record.NodeID) bool

// New returns the service of a node.
func New(node record.NodeID, log Log, live Live, newID func() string) *Service {
	return &Service{node: node, log: log, live: live, newID: newID, waiting: map[string]Check{}, noting: map[string]kernel.AskID{}, local: NewTable()}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Quarantined returns the number of suspects in the ledger.
func (s *Service) Quarantined() int { return s.log.Ledgers().Suspects.Len() }

// LocalSuspects returns the crashes that this node saw lately, newest first.
func (s *Service) LocalSuspects() []LocalSuspect { return s.local.Recent() }

// Handle implements kernel.Service.
func (s *Service) Handle(now time.Time, msg kernel.Message) []kernel.Effect {
	switch m := msg.(type) {
	case Check:
		return s.check(now, m)
	case Crashed:
		return s.crashed(now, m)
	case Ended:
		return s.ended(now, m)
	case PeerSuspects:
		for _, p := range m.Suspects {
			s.local.Learn(p)
		}
	case logfollow.Applied:
		return s.applied(m)
	case logfollow.Abandoned:
		if m.Record.Trial != nil {
			return s.trialOver(m.Record.Trial.Attempt)
		}
	case trialOver:
		return s.trialOver(m.attempt)
	case noteOver:
		return s.noted(m.record)
	}
	return nil
}

func (s *Service) check(now time.Time, m Check) []kernel.Effect {
	known, ok := s.log.Ledgers().Suspects.State(m.Fingerprint)
	local, seen := s.local.Get(m.Fingerprint)
	switch {
	case ok && known.Phase == ledger.SuspectQuarantined, seen && local.Crashes > 1:
		return reply(m.Ask, verdict.Refuse(verdict.ReasonQuarantined, "this request crashed two upstreams"))
	case ok && known.Phase == ledger.SuspectOnTrial && (known.Node == s.node || s.live(now, known.Node)):
		return reply(m.Ask, busy())
	case !ok && !seen:
		return reply(m.Ask, Clear{})
	case !s.log.CaughtUp(record.StreamSuspects):
		return s.localTrial(m)
	}
	s.waiting[m.Attempt] = m
	return []kernel.Effect{
		s.append(now, record.Record{Trial: &record.Trial{
			Fingerprint: m.Fingerprint,
			Attempt:     m.Attempt,
			Node:        s.node,
			Replaces:    known.Attempt,
		}}, now.Add(trialWait)),
		kernel.SetTimer{To: Name, After: trialWait, Msg: trialOver{m.Attempt}},
	}
}

func busy() *verdict.Error {
	return verdict.Refuse(verdict.ReasonSuspectBusy, "this request crashed an upstream and runs once more just now").WithRetryAfter(retryAfter)
}

func reply(id kernel.AskID, msg kernel.Message) []kernel.Effect {
	return []kernel.Effect{kernel.Reply{ID: id, Msg: msg}}
}

// localTrial allows one trial on this node's own knowledge.
func (s *Service) localTrial(m Check) []kernel.Effect {
	if !s.local.startTrial(m.Fingerprint) {
		return reply(m.Ask, busy())
	}
	return reply(m.Ask, TrialRun{})
}

// ended ends a trial that did not crash its replica.
func (s *Service) ended(now time.Time, m Ended) []kernel.Effect {
	if m.Outcome == record.TrialSurvived {
		s.local.clear(m.Fingerprint)
	} else {
		s.local.endTrial(m.Fingerprint)
	}
	return []kernel.Effect{s.append(now, record.Record{TrialEnd: &record.TrialEnd{
		Fingerprint: m.Fingerprint,
		Attempt:     m.Attempt,
		Outcome:     m.Outcome,
	}}, now.Add(settleFor))}
}

// crashed notes a crash and tells the log.
func (s *Service) crashed(now time.Time, m Crashed) []kernel.Effect {
	s.local.Crash(m.Fingerprint, m.Generation)
	var out []kernel.Effect
	if m.Attempt != "" {
		out = append(out, s.append(now, record.Record{TrialEnd: &record.TrialEnd{
			Fingerprint: m.Fingerprint,
			Attempt:     m.Attempt,
			Outcome:     record.TrialCrashed,
		}}, now.Add(settleFor)))
	}
	id := s.newID()
	s.noting[id] = m.Ask
	return append(out,
		s.append(now, record.Record{ID: id, Suspect: &record.Suspect{
			Fingerprint: m.Fingerprint,
			Replica:     m.Replica,
			Generation:  m.Generation,
		}}, now.Add(settleFor)),
		kernel.SetTimer{To: Name, After: noteWait, Msg: noteOver{id}},
	)
}

// noted answers the report of a crash.
func (s *Service) noted(id string) []kernel.Effect {
	ask, ok := s.noting[id]
	if !ok {
		return nil
	}
	delete(s.noting, id)
	return reply(ask, Noted{})
}

func (s *Service) append(now time.Time, r record.Record, giveUp time.Time) kernel.Effect {
	if r.ID == "" {
		r.ID = s.newID()
	}
	r.AtMillis = now.UnixMilli()
	return kernel.Send{To: logfollow.Name, Msg: logfollow.Append{
		Stream: record.StreamSuspects,
		Record: r,
		From:   Name,
		GiveUp: giveUp,
	}}
}

// applied answers a Check whose trial record was read back.
func (s *Service) applied(m logfollow.Applied) []kernel.Effect {
	if end := m.Record.TrialEnd; end != nil && end.Outcome == record.TrialSurvived {
		s.local.clear(end.Fingerprint)
	}
	if m.Record.Trial == nil {
		return s.noted(m.Record.ID)
	}
	c, ok := s.waiting[m.Record.Trial.Attempt]
	if !ok {
		return nil
	}
	delete(s.waiting, c.Attempt)
	if m.Result.Accepted {
		s.local.startTrial(c.Fingerprint)
		return reply(c.Ask, TrialRun{})
	}
	if _, known := s.log.Ledgers().Suspects.State(c.Fingerprint); !known {
		s.local.clear(c.Fingerprint)
		return reply(c.Ask, Clear{})
	}
	return reply(c.Ask, busy())
}

// trialOver refuses a Check whose trial record was not read back in time.
func (s *Service) trialOver(attempt string) []kernel.Effect {
	c, ok := s.waiting[attempt]
	if !ok {
		return nil
	}
	delete(s.waiting, attempt)
	return reply(c.Ask, busy())
}
