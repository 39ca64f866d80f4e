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

// Replica is a live replica of the control ledger.
type Replica struct {
	// Name identifies the replica.
	Name string `json:"name"`
	// Generation is the position of its formation, the fencing number of
	// its orders.
	Generation record.Position `json:"generation"`
	// Model is the model it serves.
	Model string `json:"model"`
	// VMs holds its members by rank.
	VMs []port.VMID `json:"vms"`
}

// Lease is the control lease of the control ledger.
type Lease struct {
	// Term is the position of the claim; 0 before the first claim.
	Term record.Position `json:"term"`
	// Holder holds the lease; empty if it was released.
	Holder record.NodeID `json:"holder"`
	// TTLMillis is how long the lease lasts after a renewal.
	TTLMillis int64 `json:"ttl_ms"`
	// LastRenewal is the position of the claim or the latest renewal.
	LastRenewal record.Position `json:"last_renewal"`
	// RenewalID is the record identifier of the claim or latest renewal, by
	// which its writer finds the time it was sent.
	RenewalID string `json:"renewal_id"`
}

// TTL returns the lease's duration.
func (l Lease) TTL() time.Duration { return time.Duration(l.TTLMillis) * time.Millisecond }

// Control is the ledger of the control stream: the lease and all replicas.
type Control struct {
	lease    Lease
	replicas map[string]Replica
	owner    map[port.VMID]string
	// seen holds the record identifiers of the current term. Records of
	// older terms are rejected for their term.
	seen map[string]bool
}

// controlState is the encoding of a Control.
type controlState struct {
	Lease    Lease     `json:"lease"`
	Replicas []Replica `json:"replicas"`
	Seen     []string  `json:"seen"`
}

// NewControl returns the ledger before the first record.
func NewControl() *Control {
	c := &Control{}
	c.Reset()
	return c
}

// Lease returns the control lease.
func (c *Control) Lease() Lease { return c.lease }

// Replica returns a live replica by name.
func (c *Control) Replica(name string) (Replica, bool) {
	r, ok := c.replicas[name]
	return r, ok
}

// Replicas returns all live replicas by name.
func (c *Control) Replicas() []Replica {
	names := slices.Sorted(maps.Keys(c.replicas))
	out := make([]Replica, 0, len(names))
	for _, n := range names {
		out = append(out, c.replicas[n])
	}
	return out
}

// Owner returns the live replica that a VM belongs to.
func (c *Control) Owner(vm port.VMID) (string, bool) {
	name, ok := c.owner[vm]
	return name, ok
}

// Apply implements Ledger.
func (c *Control) Apply(pos record.Position, r record.Record) Result {
	switch {
	case r.Lease != nil:
		return c.claim(pos, r.ID, *r.Lease)
	case r.Renewal != nil:
		return c.renew(pos, r.ID, *r.Renewal)
	case r.Form != nil:
		return c.once(r.ID, r.Form.Term, func() Result { return c.form(pos, *r.Form) })
	case r.Dissolve != nil:
		return c.once(r.ID, r.Dissolve.Term, func() Result { return c.dissolve(*r.Dissolve) })
	default:
		return rejected(CauseWrongStream)
	}
}

func (c *Control) claim(pos record.Position, id string, l record.LeaseClaim) Result {
	if l.Replaces != c.lease.Term {
		return rejected(CauseStaleTerm)
	}
	c.lease = Lease{Term: pos, Holder: l.Holder, TTLMillis: l.TTLMillis, LastRenewal: pos, RenewalID: id}
	c.seen = map[string]bool{}
	return accepted()
}

// current reports whether a term is that of a lease which was not released.
func (c *Control) current(term record.Position) bool {
	return term != record.NoPosition && term == c.lease.Term && c.lease.Holder != ""
}

func (c *Control) renew(pos record.Position, id string, l record.LeaseRenewal) Result {
	if !c.current(l.Term) {
		return rejected(CauseStaleTerm)
	}
	c.lease.LastRenewal = pos
	c.lease.RenewalID = id
	if l.Released {
		c.lease.Holder = ""
	}
	return accepted()
}

// once applies a record of the current term unless it was applied before.
func (c *Control) once(id string, term record.Position, apply func() Result) Result {
	if !c.current(term) {
		return rejected(CauseStaleTerm)
	}
	if c.seen[id] {
		return rejected(CauseDuplicate)
	}
	res := apply()
	c.seen[id] = true
	return res
}

func (c *Control) form(pos record.Position, f record.Formation) Result {
	if !validFormation(f) {
		return rejected(CauseInvalid)
	}
	if _, ok := c.replicas[f.Replica]; ok {
		return rejected(CauseNameTaken)
	}
	for _, vm := range f.VMs {
		if _, ok := c.owner[vm]; ok {
			return rejected(CauseVMTaken)
		}
	}
	c.add(Replica{Name: f.Replica, Generation: pos, Model: f.Model, VMs: f.VMs})
	return accepted()
}

// validFormation reports whether f names a replica, a model and distinct VMs.
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
		c.owner[vm] = r.Name
	}
}

func (c *Control) dissolve(d record.Dissolution) Result {
	r, ok := c.replicas[d.Replica]
	if !ok || r.Generation != d.Generation {
		return rejected(CauseUnknownReplica)
	}
	delete(c.replicas, r.Name)
	for _, vm := range r.VMs {
		delete(c.owner, vm)
	}
	return accepted()
}

// Snapshot implements Ledger.
func (c *Control) Snapshot() (json.RawMessage, error) {
	return json.Marshal(controlState{
		Lease:    c.lease,
		Replicas: c.Replicas(),
		Seen:     slices.Sorted(maps.Keys(c.seen)),
	})
}

// Restore implements Ledger.
func (c *Control) Restore(state json.RawMessage) error {
	var s controlState
	if err := json.Unmarshal(state, &s); err != nil {
		return errors.Wrap(err, "control checkpoint")
	}
	c.Reset()
	c.lease = s.Lease
	for _, r := range s.Replicas {
		c.add(r)
	}
	for _, id := range s.Seen {
		c.seen[id] = true
	}
	return nil
}

// Reset implements Ledger.
func (c *Control) Reset() {
	c.lease = Lease{}
	c.replicas = map[string]Replica{}
	c.owner = map[port.VMID]string{}
	c.seen = map[string]bool{}
}
