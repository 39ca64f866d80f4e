package prooftest

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/tamarackcleat/tamarackcleat/ledger"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
)

// placed is a record at its position.
type placed struct {
	pos record.Position
	rec record.Record
}

// history is everything that a stream ever held, in order.
type history []placed

// String lists a history, one record a line.
func (h history) String() string {
	var b strings.Builder
	for _, p := range h {
		text, err := json.Marshal(p.rec)
		fmt.Fprintf(&b, "%d %s %v\n", p.pos, text, err)
	}
	return b.String()
}

// judge is a naive verdict on record i, given the verdicts before it.
type judge func(h history, accepted []bool, i int) bool

// verdicts judges a whole history from its beginning.
func (h history) verdicts(j judge) []bool {
	accepted := make([]bool, len(h))
	for i := range h {
		accepted[i] = j(h, accepted, i)
	}
	return accepted
}

// below returns the history of all entries below an offset.
func (h history) below(offset int64) history {
	var out history
	for _, p := range h {
		if p.pos.EntryOffset() < offset {
			out = append(out, p)
		}
	}
	return out
}

// firstCopy reports whether record i has no earlier copy.
func (h history) firstCopy(i int) bool {
	return !slices.ContainsFunc(h[:i], func(p placed) bool { return p.rec.ID == h[i].rec.ID })
}

// configView is the configuration after a history.
type configView struct {
	version  int64
	document string
}

func validDocument(text string) bool { return !strings.Contains(text, "bad") }

// judgeConfig accepts the first copy of a valid change that was made from the
// number of changes accepted before it.
func judgeConfig(h history, accepted []bool, i int) bool {
	c := h[i].rec.Config
	return c != nil && h.firstCopy(i) && validDocument(c.Document) && c.BaseVersion == configAfter(h[:i], accepted).version
}

func configAfter(h history, accepted []bool) configView {
	var v configView
	for i, p := range h {
		if accepted[i] {
			v = configView{version: v.version + 1, document: p.rec.Config.Document}
		}
	}
	return v
}

// controlView is the lease and the replicas after a history.
type controlView struct {
	term   record.Position
	holder record.NodeID
	live   []ledger.Replica
}

// judgeControl accepts a claim of the current term, and records of the
// unreleased current term. Only renewals may take effect more than once.
func judgeControl(h history, accepted []bool, i int) bool {
	now := controlAfter(h[:i], accepted)
	r := h[i].rec
	held := now.holder != ""
	switch {
	case r.Lease != nil:
		return h.firstCopy(i) && r.Lease.Replaces == now.term
	case r.Renewal != nil:
		return held && r.Renewal.Term == now.term
	case r.Form != nil:
		return h.firstCopy(i) && held && r.Form.Term == now.term && formable(*r.Form, now.live)
	case r.Dissolve != nil:
		return h.firstCopy(i) && held && r.Dissolve.Term == now.term && slices.ContainsFunc(now.live, func(l ledger.Replica) bool {
			return l.Name == r.Dissolve.Replica && l.Generation == r.Dissolve.Generation
		})
	default:
		return false
	}
}

// formable reports whether f has distinct VMs and shares none, nor its name,
// with a live replica.
func formable(f record.Formation, live []ledger.Replica) bool {
	for i, vm := range f.VMs {
		if slices.Contains(f.VMs[:i], vm) {
			return false
		}
	}
	for _, l := range live {
		shares := slices.ContainsFunc(l.VMs, func(vm port.VMID) bool { return slices.Contains(f.VMs, vm) })
		if shares || l.Name == f.Replica {
			return false
		}
	}
	return len(f.VMs) > 0
}

func controlAfter(h history, accepted []bool) controlView {
	var v controlView
	for i, p := range h {
		if !accepted[i] {
			continue
		}
		switch r := p.rec; {
		case r.Lease != nil:
			v.term, v.holder = p.pos, r.Lease.Holder
		case r.Renewal != nil && r.Renewal.Released:
			v.holder = ""
		case r.Form != nil:
			v.live = append(v.live, ledger.Replica{Name: r.Form.Replica, Generation: p.pos, Model: r.Form.Model, VMs: r.Form.VMs})
		case r.Dissolve != nil:
			v.live = slices.DeleteFunc(v.live, func(l ledger.Replica) bool { return l.Name == r.Dissolve.Replica })
		}
	}
	slices.SortFunc(v.live, func(x, y ledger.Replica) int { return strings.Compare(x.Name, y.Name) })
	return v
}

// callView is one key after a history.
type callView struct {
	phase   ledger.CallPhase
	attempt string
	body    string
}

// logTime is the latest writer's time in a history.
func (h history) logTime() int64 {
	var t int64
	for _, p := range h {
		t = max(t, p.rec.AtMillis)
	}
	return t
}

// judgeCalls accepts the first copy of a claim if its key is within the window
// and free, its content is that of the key's first claim and its attempt did
// not release the key; and a release or an outcome of the claimant.
func judgeCalls(h history, accepted []bool, i int) bool {
	r := h[i].rec
	horizon := h[:i+1].logTime() - ledger.KeyWindow.Milliseconds()
	switch {
	case r.Claim != nil:
		c := r.Claim
		inWindow := c.KeyMillis >= horizon && c.KeyMillis <= r.AtMillis+ledger.MaxKeySkew.Milliseconds()
		return inWindow && h.firstCopy(i) && callAfter(h[:i], accepted, c.Key).phase == ledger.CallUnclaimed &&
			sameContent(h[:i], accepted, *c) && !releasedBy(h[:i], accepted, c.Key, c.Attempt)
	case r.Release != nil:
		now := callAfter(h[:i], accepted, r.Release.Key)
		return now.phase == ledger.CallClaimed && now.attempt == r.Release.Attempt && keyMillis(h, r.Release.Key) >= horizon
	case r.Outcome != nil:
		now := callAfter(h[:i], accepted, r.Outcome.Key)
		return now.phase == ledger.CallClaimed && now.attempt == r.Outcome.Attempt && keyMillis(h, r.Outcome.Key) >= horizon
	default:
		return false
	}
}

func callAfter(h history, accepted []bool, key string) callView {
	v := callView{phase: ledger.CallUnclaimed}
	for i, p := range h {
		if !accepted[i] {
			continue
		}
		switch r := p.rec; {
		case r.Claim != nil && r.Claim.Key == key:
			v = callView{phase: ledger.CallClaimed, attempt: r.Claim.Attempt}
		case r.Release != nil && r.Release.Key == key:
			v = callView{phase: ledger.CallUnclaimed}
		case r.Outcome != nil && r.Outcome.Key == key:
			v.phase, v.body = ledger.CallDone, string(r.Outcome.Body)
		}
	}
	return v
}

// sameContent reports whether c has the content of its key's first claim.
func sameContent(h history, accepted []bool, c record.CallClaim) bool {
	for i, p := range h {
		if accepted[i] && p.rec.Claim != nil && p.rec.Claim.Key == c.Key {
			return p.rec.Claim.Digest == c.Digest
		}
	}
	return true
}

func releasedBy(h history, accepted []bool, key, attempt string) bool {
	for i, p := range h {
		if r := p.rec.Release; accepted[i] && r != nil && r.Key == key && r.Attempt == attempt {
			return true
		}
	}
	return false
}

// keyMillis returns the time inside a key that was claimed.
func keyMillis(h history, key string) int64 {
	for _, p := range h {
		if c := p.rec.Claim; c != nil && c.Key == key {
			return c.KeyMillis
		}
	}
	return 0
}
