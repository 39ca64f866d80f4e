package ledger

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
)

// Replica is a live replica: its formation was accepted, and no dissolution of
// it has been.
type Replica struct {
	// Name identifies the replica.
	Name string `json:"name"`
	// Generation is the position of the replica's formation record. It is the
	// fencing number of all orders for the replica.
	Generation record.Position `json:"generation"`
	// Model is the model that the replica serves.
	Model string `json:"model"`
	// VMs holds the members in the order of their rank.
	VMs []port.VMID `json:"vms"`
}

// Lease is the state of the control lease.
type Lease struct {
	// Term is the position of the claim record; 0 before the first claim.
	Term record.Position `json:"term"`
	// Holder is the node that holds the lease; empty if the lease was released
	// or never claimed.
	Holder record.NodeID `json:"holder"`
	// TTLMillis is how long the lease lasts after a renewal, in milliseconds.
	TTLMillis int64 `json:"ttl_ms"`
	// LastRenewal is the position of the latest renewal record, or of the claim
	// before the first renewal.
	LastRenewal record.Position `json:"last_renewal"`
	// RenewalID is the identifier of the record at LastRenewal. The node that
	// wrote the record uses it to look up when the record was sent.
	RenewalID string `json:"renewal_id"`
}

// TTL returns how long the lease lasts after a renewal.
func (l Lease) TTL() time.Duration { return time.Duration(l.TTLMillis) * time.Millisecond }

// Control is the ledger of the control stream. It holds the control lease and
// all live replicas.
type Control struct {
	lease     Lease
	replicas  map[string]Replica
	replicaOf map[port.VMID]string
	// processedIDs holds the identifiers of the formations and dissolutions of
	// the current term that were processed, accepted or not. Those of former
	// terms need not be kept: a copy of such a record is rejected for its term.
	processedIDs map[string]bool
}

// controlState is the encoded state of a Control ledger.
type controlState struct {
	Lease    Lease     `json:"lease"`
	Replicas []Replica `json:"replicas"`
	Seen     []string  `json:"seen"`
}

// NewControl returns a ledger without lease and replicas.
func NewControl() *Control {
	c := &Control{}
	c.Reset()
	return c
}

// Lease returns the control lease.
func (c *Control) Lease() Lease { return c.lease }

// Replica returns the live replica with a name.
func (c *Control) Replica(name string) (Replica, bool) {
	r, ok := c.replicas[name]
	return r, ok
}

// Replicas returns all live replicas, sorted by name.
func (c *Control) Replicas() []Replica {
	names := slices.Sorted(maps.Keys(c.replicas))
	out := make([]Replica, 0, len(names))
	for _, n := range names {
		out = append(out, c.replicas[n])
	}
	return out
}

// ReplicaOf returns the name of the live replica that a VM belongs to.
func (c *Control) ReplicaOf(vm port.VMID) (string, bool) {
	name, ok := c.replicaOf[vm]
	return name, ok
}

// Apply implements Ledger.
func (c *Control) Apply(pos record.Position, r record.Record) Result {
	switch {
	case r.Lease != nil:
		return c.claimLease(pos, r.ID, *r.Lease)
	case r.Renewal != nil:
		return c.renewLease(pos, r.ID, *r.Renewal)
	case r.Form != nil:
		return c.applyOnce(r.ID, r.Form.Term, func() Result { return c.form(pos, *r.Form) })
	case r.Dissolve != nil:
		return c.applyOnce(r.ID, r.Dissolve.Term, func() Result { return c.dissolve(*r.Dissolve) })
	default:
		return rejected(CauseWrongStream)
	}
}

func (c *Control) claimLease(pos record.Position, id string, l record.LeaseClaim) Result {
	if l.Replaces != c.lease.Term {
		return rejected(CauseStaleTerm)
	}
	c.lease = Lease{Term: pos, Holder: l.Holder, TTLMillis: l.TTLMillis, LastRenewal: pos, RenewalID: id}
	c.processedIDs = map[string]bool{}
	return accepted()
}

// isCurrentTerm reports whether a term is that of the lease, and the lease was
// not released.
func (c *Control) isCurrentTerm(term record.Position) bool {
	return term != record.NoPosition && term == c.lease.Term && c.lease.Holder != ""
}

func (c *Control) renewLease(pos record.Position, id string, l record.LeaseRenewal) Result {
	if !c.isCurrentTerm(l.Term) {
		return rejected(CauseStaleTerm)
	}
	c.lease.LastRenewal = pos
	c.lease.RenewalID = id
	if l.Released {
		c.lease.Holder = ""
	}
	return accepted()
}

// applyOnce calls apply unless the record's term is not the current one, or a
// record with the same identifier was processed in this term.
func (c *Control) applyOnce(id string, term record.Position, apply func() Result) Result {
	if !c.isCurrentTerm(term) {
		return rejected(CauseStaleTerm)
	}
	if c.processedIDs[id] {
		return rejected(CauseDuplicate)
	}
	result := apply()
	c.processedIDs[id] = true
	return result
}

func (c *Control) form(pos record.Position, f record.Formation) Result {
	if !validFormation(f) {
		return rejected(CauseInvalid)
	}
	if _, ok := c.replicas[f.Replica]; ok {
		return rejected(CauseNameTaken)
	}
	for _, vm := range f.VMs {
		if _, ok := c.replicaOf[vm]; ok {
			return rejected(CauseVMTaken)
		}
	}
	c.add(Replica{Name: f.Replica, Generation: pos, Model: f.Model, VMs: f.VMs})
	return accepted()
}

// validFormation reports whether f names a replica, a model and at least one
// VM, and no VM twice.
func validFormation(f record.Formation) bool {
	if f.Replica == "" || f.Model == "" || len(f.VMs) == 0 {
		return false
	}
	distinct := map[port.VMID]bool{}
	for _, vm := range f.VMs {
		distinct[vm] = true
	}
	return len(distinct) == len(f.VMs)
}

func (c *Control) add(r Replica) {
	c.replicas[r.Name] = r
	for _, vm := range r.VMs {
		c.replicaOf[vm] = r.Name
	}
}

func (c *Control) dissolve(d record.Dissolution) Result {
	r, ok := c.replicas[d.Replica]
	if !ok || r.Generation != d.Generation {
		return rejected(CauseUnknownReplica)
	}
	delete(c.replicas, r.Name)
	for _, vm := range r.VMs {
		delete(c.replicaOf, vm)
	}
	return accepted()
}

// Snapshot implements Ledger.
func (c *Control) Snapshot() (json.RawMessage, error) {
	return json.Marshal(controlState{
		Lease:    c.lease,
		Replicas: c.Replicas(),
		Seen:     slices.Sorted(maps.Keys(c.processedIDs)),
	})
}

// Restore implements Ledger.
func (c *Control) Restore(state json.RawMessage) error {
	var s controlState
	if err := json.Unmarshal(state, &s); err != nil {
		return errors.Wrap(err, "decoding the state of the control ledger")
	}
	c.Reset()
	c.lease = s.Lease
	for _, r := range s.Replicas {
		c.add(r)
	}
	for _, id := range s.Seen {
		c.processedIDs[id] = true
	}
	return nil
}

// Reset implements Ledger.
func (c *Control) Reset() {
	c.lease = Lease{}
	c.replicas = map[string]Replica{}
	c.replicaOf = map[port.VMID]string{}
	c.processedIDs = map[string]bool{}
}
