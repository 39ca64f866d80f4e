package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/poison"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

const (
	// maxTrialWait is how long a request with a suspected part waits until it may
	// run.
	maxTrialWait = 1500 * time.Millisecond
	// trialPollInterval is how often a waiting request checks whether it may run.
	trialPollInterval = 20 * time.Millisecond
	// maxResumeWait is how long a stream that has begun waits instead. It goes on then,
	// as most of them only ran beside the request that crashed their upstream.
	maxResumeWait = 600 * time.Millisecond
	// maxTrialWaiting bounds the requests of a node that wait.
	maxTrialWaiting = 128
	// retryAfterTrial is the delay after which a caller may retry a request that was
	// refused because a trial was running.
	retryAfterTrial = 500 * time.Millisecond
	// retryAfterQuarantine is the delay after which a caller may retry a request with a
	// convicted part; it tells callers not to come back at once.
	retryAfterQuarantine = time.Second
)

// partTable is a poison.Table that is safe for concurrent use.
type partTable struct {
	mu      sync.Mutex
	table   *poison.Table
	waiting int
	dropped int64
}

func newPartTable(node string) *partTable { return &partTable{table: poison.NewTable(node)} }

// report returns the report to peers.
func (p *partTable) report(now time.Time) poison.Findings {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Report(now)
}

// judge returns the evidence against the first convicted part or content among parts, if
// there is one, and otherwise whether the request may run now. resumes says that it resumes
// an answer that was cut off.
func (p *partTable) judge(now time.Time, request string, parts []string, resumes bool) (poison.Evidence, poison.Standing, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	evidence, convicted, suspected := p.table.Judge(now, parts, resumes)
	switch {
	case convicted:
		return evidence, poison.Convicted, false
	case len(suspected) > 0:
		return evidence, poison.Suspected, p.table.Claim(now, request, suspected)
	}
	p.table.Release(request)
	return evidence, poison.Sound, true
}

// sound reports whether none of parts is suspected or convicted.
func (p *partTable) sound(now time.Time, parts []string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, convicted, suspected := p.table.Judge(now, parts, false)
	return !convicted && len(suspected) == 0
}

// convicted reports whether one of parts is convicted, alone or together with others.
func (p *partTable) convicted(now time.Time, parts []string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(parts, func(part string) bool { return p.table.Standing(now, part) == poison.Convicted })
}

// wait adds a waiting request, or reports false if too many wait.
func (p *partTable) wait() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting >= maxTrialWaiting {
		return false
	}
	p.waiting++
	return true
}

func (p *partTable) endWait() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting--
}

func (p *partTable) release(request string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Release(request)
}

// updateParts changes the table by f, which reports whether peers should be told, and logs
// and counts the changes of standings.
func (n *Node) updateParts(f func(*poison.Table) bool) {
	n.parts.mu.Lock()
	news := f(n.parts.table)
	transitions := n.parts.table.Transitions(time.Now())
	dropped := n.parts.table.Dropped - n.parts.dropped
	n.parts.dropped += dropped
	n.parts.mu.Unlock()
	for _, t := range transitions {
		n.logTransition(t)
	}
	for range dropped {
		n.count("part.dropped")
	}
	if news && n.peers != nil {
		n.peers.StateChanged()
	}
}

// logTransition logs and counts a change of the standing of a part.
func (n *Node) logTransition(t poison.Transition) {
	event := map[poison.Standing]string{
		poison.Sound: decisions.PartCleared, poison.Suspected: decisions.PartSuspected, poison.Convicted: decisions.PartQuarantined,
	}[t.Standing]
	n.count(event)
	n.logger.Warn(event, "part", t.Part, "crashes", t.Crashes, "age_ms", t.Age.Milliseconds())
}

// mergeParts merges a peer's evidence on parts.
func (n *Node) mergeParts(now time.Time, r poison.Findings) {
	if len(r.Suspects)+len(r.Claims) == 0 {
		return
	}
	n.updateParts(func(t *poison.Table) bool { return t.Merge(now, r) })
}

// admitParts waits until the request may run if one of its parts is suspected, and
// refuses it if a part or its content is convicted. Call releaseParts after the attempt.
// A stream that has begun waits no longer than maxResumeWait and goes on then, unless one
// of its parts is convicted.
func (f *forwarder) admitParts(ctx context.Context) *verdict.Error {
	e, admitted := f.judgeParts()
	if e != nil || admitted {
		return e
	}
	e, admitted = f.awaitTurn(ctx)
	if e != nil || !admitted {
		f.releaseParts()
	}
	if e == nil && !admitted && (!f.events.relayed || f.node.parts.convicted(time.Now(), f.suspects())) {
		return refuseSuspect()
	}
	return e
}

// awaitTurn waits until the request, which has a suspected part, may run. It reports false
// if that takes too long or too many requests wait.
func (f *forwarder) awaitTurn(ctx context.Context) (*verdict.Error, bool) {
	if !f.node.parts.wait() {
		return nil, false
	}
	defer f.node.parts.endWait()
	f.node.count("part.waited")
	longest := maxTrialWait
	if f.events.relayed {
		longest = maxResumeWait
	}
	limit := time.NewTimer(min(longest, time.Until(f.deadline)))
	defer limit.Stop()
	poll := time.NewTicker(trialPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return f.contextError(ctx, refuseSuspect()), false
		case <-limit.C:
			return nil, false
		case <-poll.C:
			if e, admitted := f.judgeParts(); e != nil || admitted {
				return e, admitted
			}
		}
	}
}

// partsAllowMove reports whether the request may be sent to a second upstream while an
// attempt runs: nothing is suspected of it, or, if its answer has begun, none of its parts
// is convicted. It may be called while an attempt of the request runs.
func (f *forwarder) partsAllowMove() bool {
	if f.relayed().relayed {
		return !f.node.parts.convicted(time.Now(), f.suspects())
	}
	return f.node.parts.sound(time.Now(), f.suspects())
}

// refuseSuspect returns the refusal of a request with a suspected part.
func refuseSuspect() *verdict.Error {
	return verdict.Refuse(verdict.ReasonSuspectBusy, "another request with a suspected part of the prompt runs").WithRetryAfter(retryAfterTrial)
}

// judgeParts reports whether the request may run now, or returns its refusal.
func (f *forwarder) judgeParts() (*verdict.Error, bool) {
	evidence, standing, admitted := f.node.parts.judge(time.Now(), f.req.ID, f.suspects(), f.events.relayed)
	switch standing {
	case poison.Convicted:
		reason, what := verdict.ReasonPartQuarantined, "part "+evidence.Part+" of the prompt"
		if poison.IsContent(evidence.Part) {
			reason, what = verdict.ReasonQuarantined, "the same content"
		}
		return verdict.Refuse(reason, "%s crashed %d upstreams, the last one %v ago", what,
			evidence.Crashes, evidence.Age.Round(time.Millisecond)).WithRetryAfter(retryAfterQuarantine), false
	case poison.Suspected:
		if f.node.peers != nil {
			f.node.peers.StateChanged()
		}
	case poison.Sound:
	}
	return nil, admitted
}

// releaseParts lets another request with the same suspected parts run.
func (f *forwarder) releaseParts() {
	f.node.parts.release(f.req.ID)
}

// recordStart records that an upstream has begun to answer.
func (f *forwarder) recordStart() {
	f.node.updateParts(func(t *poison.Table) bool { return recordStart(t, time.Now(), f.req.ID, f.suspects()) })
}

// recordStart records that an answer to a request with these parts has begun. That is the
// outcome that the request's claims are for, unless its parts are suspected of crashing
// upstreams later in the answer. It reports whether peers should be told.
func recordStart(t *poison.Table, now time.Time, request string, parts []string) bool {
	if !t.CutsOff(parts) {
		t.Release(request)
	}
	return t.RecordStart(now, parts)
}

// recordEnd records that one upstream has written the whole answer to the request.
func (f *forwarder) recordEnd() {
	f.node.updateParts(func(t *poison.Table) bool { return t.RecordEnd(time.Now(), f.suspects()) })
}

// recordRest records that an upstream has ended an answer that another one had begun.
func (f *forwarder) recordRest() {
	f.node.updateParts(func(t *poison.Table) bool {
		t.RecordRest(time.Now(), f.suspects())
		return false
	})
}
