package prooftest

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/tamarackcleat/tamarackcleat/ledger"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
)

// subject is a kind of ledger with its reference model.
type subject struct {
	fresh   func() ledger.Ledger
	accepts acceptFunc
	// write draws a new record, without its ID, for a stream with the history h.
	write func(t *rapid.T, h history) record.Record
	// diff describes how a ledger differs from the model after a history. It is
	// empty if they agree.
	diff func(l ledger.Ledger, h history, accepted []bool) string
}

// ledgerRun is one run of a property: the records that were written, those that
// are in the log, and the ledgers that read the log.
type ledgerRun struct {
	subject
	written []record.Record
	offset  int64
	h       history
	// fromStart is the ledger that has applied all records from the first.
	fromStart ledger.Ledger
	// restarted is the ledger that was last restored from a checkpoint; it is nil
	// before the first restart.
	restarted  ledger.Ledger
	checkpoint json.RawMessage
	// checkpointLength is the number of records that checkpoint covers.
	checkpointLength int
}

// property compares the ledgers of a stream with the reference model after each
// record. Records reach the log late, more than once or never. A second ledger
// restarts from checkpoints that may be old.
func (s subject) property(t *rapid.T) {
	r := &ledgerRun{subject: s, fromStart: s.fresh()}
	t.Repeat(map[string]func(*rapid.T){
		"write":      r.writeRecord,
		"append":     r.appendWritten,
		"checkpoint": r.takeCheckpoint,
		"restart":    r.restart,
	})
}

// writeRecord writes a new record, which reaches the log at once or not yet.
func (r *ledgerRun) writeRecord(t *rapid.T) {
	rec := r.write(t, r.h)
	rec.ID = fmt.Sprintf("record-%d", len(r.written))
	r.written = append(r.written, rec)
	if rapid.IntRange(0, 3).Draw(t, "delayed") > 0 {
		r.appendRecord(t, rec)
	}
}

// appendWritten appends a drawn record, which the log may already have.
func (r *ledgerRun) appendWritten(t *rapid.T) {
	if len(r.written) == 0 {
		t.Skip("nothing was written")
	}
	r.appendRecord(t, rapid.SampledFrom(r.written).Draw(t, "record"))
}

// appendRecord appends a record to the log and has the ledgers apply it.
func (r *ledgerRun) appendRecord(t *rapid.T, rec record.Record) {
	p := positionedRecord{pos: record.At(r.offset, rapid.IntRange(0, 2).Draw(t, "index")), rec: rec}
	r.offset++
	r.h = append(r.h, p)
	accepted := r.h.acceptedBy(r.accepts)
	want := accepted[len(accepted)-1]
	r.compare(t, "whole log", r.fromStart, p, want, accepted)
	if r.restarted != nil {
		r.compare(t, "restarted", r.restarted, p, want, accepted)
	}
}

// compare applies the last record to a ledger. It checks that the ledger accepts or
// rejects the record as the reference model does, and then has the model's state.
func (r *ledgerRun) compare(t *rapid.T, reader string, l ledger.Ledger, p positionedRecord, want bool, accepted []bool) {
	got := l.Apply(p.pos, p.rec)
	if got.Accepted != want {
		t.Fatalf("%s: accepted %v (%s), model %v, for the last record of\n%s", reader, got.Accepted, got.Cause, want, r.h)
	}
	if d := r.diff(l, r.h, accepted); d != "" {
		t.Fatalf("%s: %s after\n%s", reader, d, r.h)
	}
}

func (r *ledgerRun) takeCheckpoint(t *rapid.T) {
	state, err := r.fromStart.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	r.checkpoint = state
	r.checkpointLength = len(r.h)
}

// restart restores a new ledger from the checkpoint, applies the records after it
// and compares the ledger with the reference model.
func (r *ledgerRun) restart(t *rapid.T) {
	if r.checkpoint == nil {
		t.Skip("no checkpoint")
	}
	r.restarted = r.fresh()
	if err := r.restarted.Restore(r.checkpoint); err != nil {
		t.Fatal(err)
	}
	for _, p := range r.h[r.checkpointLength:] {
		r.restarted.Apply(p.pos, p.rec)
	}
	if d := r.diff(r.restarted, r.h, r.h.acceptedBy(r.accepts)); d != "" {
		t.Fatalf("after the restart: %s", d)
	}
}

// errInjected is the error of invalid documents and of failed reads and appends.
var errInjected = errors.New("injected failure")

func validate(text string) error {
	if !validDocument(text) {
		return errInjected
	}
	return nil
}

func configSubject() subject {
	return subject{
		fresh:   func() ledger.Ledger { return ledger.NewConfig(validate) },
		accepts: acceptsConfig,
		write: func(t *rapid.T, h history) record.Record {
			version := configAfter(h, h.acceptedBy(acceptsConfig)).version
			return record.Record{Config: &record.ConfigChange{
				BaseVersion: max(0, version-rapid.Int64Range(0, 2).Draw(t, "behind")),
				Document:    rapid.SampledFrom([]string{"a", "b", "c", "bad"}).Draw(t, "document"),
			}}
		},
		diff: func(l ledger.Ledger, h history, accepted []bool) string {
			got := l.(interface{ State() ledger.ConfigState }).State()
			want := configAfter(h, accepted)
			if got.Version != want.version || got.Document != want.document {
				return fmt.Sprintf("version %d %q, model %d %q", got.Version, got.Document, want.version, want.document)
			}
			return ""
		},
	}
}

// controlLedger is the part of ledger.Control that the tests read.
type controlLedger interface {
	Lease() ledger.Lease
	Replicas() []ledger.Replica
	ReplicaOf(port.VMID) (string, bool)
}

func controlSubject() subject {
	return subject{
		fresh:   func() ledger.Ledger { return ledger.NewControl() },
		accepts: acceptsControl,
		write:   writeControl,
		diff:    diffControl,
	}
}

func writeControl(t *rapid.T, h history) record.Record {
	now := controlAfter(h, h.acceptedBy(acceptsControl))
	term := now.term
	if stale := rapid.IntRange(0, 4).Draw(t, "stale"); stale == 0 && len(h) > 0 {
		term = rapid.SampledFrom(h).Draw(t, "other term").pos
	}
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 0:
		return record.Record{Lease: &record.LeaseClaim{Holder: node(t), Replaces: term}}
	case 1:
		return record.Record{Renewal: &record.LeaseRenewal{Term: term, Released: rapid.IntRange(0, 3).Draw(t, "released") == 0}}
	case 2, 3, 4:
		return record.Record{Form: &record.Formation{Term: term, Replica: replicaName(t), Model: "m", VMs: vms(t)}}
	default:
		d := &record.Dissolution{Term: term, Replica: replicaName(t), Generation: now.term}
		if len(now.live) > 0 {
			l := rapid.SampledFrom(now.live).Draw(t, "live")
			d.Replica, d.Generation = l.Name, l.Generation
		}
		return record.Record{Dissolve: d}
	}
}

func node(t *rapid.T) record.NodeID {
	return rapid.SampledFrom([]record.NodeID{"n1", "n2", "n3"}).Draw(t, "node")
}

func replicaName(t *rapid.T) string {
	return rapid.SampledFrom([]string{"r1", "r2", "r3"}).Draw(t, "replica")
}

func vms(t *rapid.T) []port.VMID {
	return rapid.SliceOfN(rapid.SampledFrom([]port.VMID{"v1", "v2", "v3", "v4"}), 1, 2).Draw(t, "VMs")
}

func diffControl(l ledger.Ledger, h history, accepted []bool) string {
	c := l.(controlLedger)
	want := controlAfter(h, accepted)
	if c.Lease().Term != want.term || c.Lease().Holder != want.holder {
		return fmt.Sprintf("lease %d of %q, model %d of %q", c.Lease().Term, c.Lease().Holder, want.term, want.holder)
	}
	if got, want := fmt.Sprint(c.Replicas()), fmt.Sprint(want.live); got != want {
		return fmt.Sprintf("replicas %s, model %s", got, want)
	}
	for _, r := range want.live {
		for _, vm := range r.VMs {
			if name, _ := c.ReplicaOf(vm); name != r.Name {
				return fmt.Sprintf("VM %s belongs to %q, model %q", vm, name, r.Name)
			}
		}
	}
	return ""
}

// startMillis is the time at which the simulations start and to which the timestamps
// in keys are relative, in Unix milliseconds.
const startMillis = int64(1_700_000_000_000)

var callKeys = []string{"k1", "k2", "k3"}

func callsSubject() subject {
	return subject{
		fresh:   func() ledger.Ledger { return ledger.NewCalls() },
		accepts: acceptsCalls,
		write:   writeCalls,
		diff:    diffCalls,
	}
}

func writeCalls(t *rapid.T, h history) record.Record {
	key := rapid.SampledFrom(callKeys).Draw(t, "key")
	attempt := rapid.SampledFrom([]string{"a1", "a2", "a3", "a4"}).Draw(t, "attempt")
	holder := callAfter(h, h.acceptedBy(acceptsCalls), key).attempt
	if holder != "" && rapid.Bool().Draw(t, "claimant") {
		attempt = holder
	}
	step := rapid.SampledFrom([]time.Duration{0, time.Second, time.Minute, 20 * time.Minute}).Draw(t, "step")
	r := record.Record{AtMillis: max(startMillis, h.logTime()) + step.Milliseconds() - rapid.Int64Range(0, 2000).Draw(t, "skew")}
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0, 1, 2:
		r.Claim = &record.CallClaim{
			Key:       key,
			KeyMillis: startMillis + int64(len(key))*30*time.Minute.Milliseconds(),
			Digest:    rapid.SampledFrom([]string{"x", "x", "x", "y"}).Draw(t, "content"),
			Attempt:   attempt,
		}
	case 3, 4:
		r.Release = &record.CallRelease{Key: key, Attempt: attempt}
	default:
		r.Outcome = &record.CallOutcome{Key: key, Attempt: attempt, Body: json.RawMessage(`"` + attempt + `"`)}
	}
	return r
}

func diffCalls(l ledger.Ledger, h history, accepted []bool) string {
	c := l.(interface {
		Call(string) (ledger.Call, bool)
	})
	for _, key := range callKeys {
		got, known := c.Call(key)
		if !known {
			if keyMillis(h, key) < h.logTime()-ledger.KeyWindow.Milliseconds() {
				continue
			}
			got.Phase = ledger.CallUnclaimed
		}
		want := callAfter(h, accepted, key)
		if got.Phase != want.phase || got.Attempt != want.attempt || string(got.Body) != want.body {
			return fmt.Sprintf("key %s: %s by %q %s, model %s by %q %s", key, got.Phase, got.Attempt, got.Body, want.phase, want.attempt, want.body)
		}
	}
	return ""
}

var _ = Describe("ledgers", func() {
	DescribeTable("agree with the reference model on every record and state",
		func(s subject) { rapid.Check(GinkgoT(), s.property) },
		Entry("configuration", configSubject()),
		Entry("control", controlSubject()),
		Entry("calls", callsSubject()),
	)

	It("reject a late copy of a rejected claim after the key was released", func() {
		calls := ledger.NewCalls()
		claim := func(id, attempt string) record.Record {
			return record.Record{ID: id, AtMillis: startMillis, Claim: &record.CallClaim{Key: "k", KeyMillis: startMillis, Digest: "x", Attempt: attempt}}
		}
		Expect(calls.Apply(record.At(0, 0), claim("first", "a1")).Accepted).To(BeTrue())
		Expect(calls.Apply(record.At(1, 0), claim("second", "a2")).Accepted).To(BeFalse())
		release := record.Record{ID: "third", AtMillis: startMillis, Release: &record.CallRelease{Key: "k", Attempt: "a1"}}
		Expect(calls.Apply(record.At(2, 0), release).Accepted).To(BeTrue())
		Expect(calls.Apply(record.At(3, 0), claim("second", "a2")).Accepted).To(BeFalse())
		Expect(calls.Apply(record.At(4, 0), claim("fourth", "a2")).Accepted).To(BeTrue())
	})

	DescribeTable("differ from the reference model when broken",
		func(s subject, broken func() ledger.Ledger) {
			s.fresh = broken
			Expect(fails(s.property)).To(BeTrue())
		},
		Entry("configuration without a check of the base", configSubject(), func() ledger.Ledger { return &ignoresBase{ledger.NewConfig(validate)} }),
		Entry("control without a check of the term", controlSubject(), func() ledger.Ledger { return &ignoresTerm{ledger.NewControl()} }),
		Entry("control that forgets identifiers in a checkpoint", controlSubject(), func() ledger.Ledger { return &dropsSeenIDs{ledger.NewControl()} }),
		Entry("calls whose last claim takes the key from its holder", callsSubject(), func() ledger.Ledger { return &lastClaimWins{ledger.NewCalls()} }),
	)
})

// ignoresBase is a broken ledger that accepts changes made from any version.
type ignoresBase struct{ *ledger.Config }

func (b *ignoresBase) Apply(pos record.Position, r record.Record) ledger.Result {
	c := *r.Config
	c.BaseVersion = b.State().Version
	r.Config = &c
	return b.Config.Apply(pos, r)
}

// ignoresTerm is a broken ledger that accepts formations of any term.
type ignoresTerm struct{ *ledger.Control }

func (b *ignoresTerm) Apply(pos record.Position, r record.Record) ledger.Result {
	if r.Form != nil {
		f := *r.Form
		f.Term = b.Lease().Term
		r.Form = &f
	}
	return b.Control.Apply(pos, r)
}

// dropsSeenIDs is a broken ledger that restores checkpoints without the record IDs
// seen before, so that it accepts later copies.
type dropsSeenIDs struct{ *ledger.Control }

func (b *dropsSeenIDs) Restore(state json.RawMessage) error {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(state, &fields); err != nil {
		return err
	}
	delete(fields, "seen")
	stripped, err := json.Marshal(fields)
	if err != nil {
		return err
	}
	return b.Control.Restore(stripped)
}

// lastClaimWins is a broken ledger in which each claim takes the key from its holder.
type lastClaimWins struct{ *ledger.Calls }

func (b *lastClaimWins) Apply(pos record.Position, r record.Record) ledger.Result {
	if r.Claim != nil {
		if held, ok := b.Call(r.Claim.Key); ok && held.Phase == ledger.CallClaimed {
			b.Calls.Apply(pos, record.Record{Release: &record.CallRelease{Key: held.Key, Attempt: held.Attempt}})
		}
	}
	return b.Calls.Apply(pos, r)
}
