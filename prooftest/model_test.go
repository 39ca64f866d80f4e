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

// positionedRecord is a record with its position in the stream.
type positionedRecord struct {
	pos record.Position
	rec record.Record
}

// history holds all records that were ever appended to a stream, in order.
type history []positionedRecord

// String lists the records, one a line.
func (h history) String() string {
	var b strings.Builder
	for _, p := range h {
		text, err := json.Marshal(p.rec)
		fmt.Fprintf(&b, "%d %s %v\n", p.pos, text, err)
	}
	return b.String()
}

// acceptFunc is the rule of a reference model: it reports whether record i of h is
// accepted, given whether each earlier record was.
type acceptFunc func(h history, accepted []bool, i int) bool

// acceptedBy applies a rule to the records from the first to the last and returns
// for each whether it is accepted.
func (h history) acceptedBy(accepts acceptFunc) []bool {
	accepted := make([]bool, len(h))
	for i := range h {
		accepted[i] = accepts(h, accepted, i)
	}
	return accepted
}

// below returns the records of the entries below an offset.
func (h history) below(offset int64) history {
	var out history
	for _, p := range h {
		if p.pos.EntryOffset() < offset {
			out = append(out, p)
		}
	}
	return out
}

// isFirstCopy reports whether no record before record i has its ID.
func (h history) isFirstCopy(i int) bool {
	return !slices.ContainsFunc(h[:i], func(p positionedRecord) bool { return p.rec.ID == h[i].rec.ID })
}

// configView is the model's configuration after a history.
type configView struct {
	version  int64
	document string
}

func validDocument(text string) bool { return !strings.Contains(text, "bad") }

// acceptsConfig accepts the first copy of a change if its document is valid and its
// base is the current version. The version is the number of accepted changes.
func acceptsConfig(h history, accepted []bool, i int) bool {
	c := h[i].rec.Config
	return c != nil && h.isFirstCopy(i) && validDocument(c.Document) && c.BaseVersion == configAfter(h[:i], accepted).version
}

// configAfter returns the configuration after the accepted changes of h.
func configAfter(h history, accepted []bool) configView {
	var v configView
	for i, p := range h {
		if accepted[i] {
			v = configView{version: v.version + 1, document: p.rec.Config.Document}
		}
	}
	return v
}

// controlView is the model's lease and live replicas after a history.
type controlView struct {
	term   record.Position
	holder record.NodeID
	live   []ledger.Replica
}

// acceptsControl accepts a lease claim that replaces the current term, and renewals,
// formations and dissolutions of the current term while the lease is held. Only
// renewals may take effect more than once.
func acceptsControl(h history, accepted []bool, i int) bool {
	now := controlAfter(h[:i], accepted)
	r := h[i].rec
	held := now.holder != ""
	switch {
	case r.Lease != nil:
		return h.isFirstCopy(i) && r.Lease.Replaces == now.term
	case r.Renewal != nil:
		return held && r.Renewal.Term == now.term
	case r.Form != nil:
		return h.isFirstCopy(i) && held && r.Form.Term == now.term && formable(*r.Form, now.live)
	case r.Dissolve != nil:
		return h.isFirstCopy(i) && held && r.Dissolve.Term == now.term && slices.ContainsFunc(now.live, func(l ledger.Replica) bool {
			return l.Name == r.Dissolve.Replica && l.Generation == r.Dissolve.Generation
		})
	default:
		return false
	}
}

// formable reports whether f has at least one VM, has no VM twice and shares
// neither a VM nor its name with a live replica.
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

// controlAfter returns the lease and the live replicas, sorted by name, after the
// accepted records of h.
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

// callView is the model's state of one idempotency key after a history.
type callView struct {
	phase   ledger.CallPhase
	attempt string
	body    string
}

// logTime returns the latest time that a writer put into a record of h, in Unix
// milliseconds.
func (h history) logTime() int64 {
	var t int64
	for _, p := range h {
		t = max(t, p.rec.AtMillis)
	}
	return t
}

// acceptsCalls accepts the first copy of a claim if the key is free, the timestamp in
// the key is at most ledger.KeyWindow before the latest time in the log so far and at
// most ledger.MaxKeySkew after the time of the claim, the content is that of the key's
// first accepted claim and the attempt has not released the key before. It accepts a
// release or an outcome if its attempt holds the claim and the timestamp is at most
// ledger.KeyWindow before the latest time in the log so far.
func acceptsCalls(h history, accepted []bool, i int) bool {
	r := h[i].rec
	horizon := h[:i+1].logTime() - ledger.KeyWindow.Milliseconds()
	switch {
	case r.Claim != nil:
		c := r.Claim
		inWindow := c.KeyMillis >= horizon && c.KeyMillis <= r.AtMillis+ledger.MaxKeySkew.Milliseconds()
		return inWindow && h.isFirstCopy(i) && callAfter(h[:i], accepted, c.Key).phase == ledger.CallUnclaimed &&
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

// callAfter returns the state of a key after the accepted records of h.
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

// sameContent reports whether c has the digest of its key's first accepted claim, or
// h has no accepted claim of the key.
func sameContent(h history, accepted []bool, c record.CallClaim) bool {
	for i, p := range h {
		if accepted[i] && p.rec.Claim != nil && p.rec.Claim.Key == c.Key {
			return p.rec.Claim.Digest == c.Digest
		}
	}
	return true
}

// releasedBy reports whether an accepted release of an attempt freed the key.
func releasedBy(h history, accepted []bool, key, attempt string) bool {
	for i, p := range h {
		if r := p.rec.Release; accepted[i] && r != nil && r.Key == key && r.Attempt == attempt {
			return true
		}
	}
	return false
}

// keyMillis returns the timestamp in a key, in Unix milliseconds, as the key's first
// claim in h gives it, or 0 if h has no claim of the key.
func keyMillis(h history, key string) int64 {
	for _, p := range h {
		if c := p.rec.Claim; c != nil && c.Key == key {
			return c.KeyMillis
		}
	}
	return 0
}
