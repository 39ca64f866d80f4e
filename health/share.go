package health

import (
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
	"github.com/tamarackcleat/tamarackcleat/watch"
)

const (
	// idlePool is the pool of engine VMs in no replica.
	idlePool = "idle"
	// shareLag is the longest time from a change on a VM until its watcher
	// has told it: a probe and a heartbeat.
	shareLag = ProbeEvery + time.Second + probeMargin
	// probeMargin is for the time that a probe and a heartbeat take.
	probeMargin = 500 * time.Millisecond
	// remoteFor is how long a share counts after its node was heard.
	remoteFor = 5 * time.Second
)

// VMStatus is what a node tells the lease holder of a VM in its share.
type VMStatus struct {
	VM port.VMID `json:"vm"`
	// Gone says that the VM left the node's share.
	Gone bool `json:"gone,omitempty"`
	// Alive says that the VM has reported lately.
	Alive       bool             `json:"alive,omitempty"`
	Boot        string           `json:"boot,omitempty"`
	State       port.EngineState `json:"state,omitempty"`
	Replica     string           `json:"replica,omitempty"`
	Generation  int64            `json:"generation,omitempty"`
	Rank        int              `json:"rank,omitempty"`
	Model       string           `json:"model,omitempty"`
	HeldWeights []string         `json:"held_weights,omitempty"`
	// Busy says that requests run on the VM.
	Busy bool `json:"busy,omitempty"`
}

// equal reports whether two statuses tell the same.
func (v VMStatus) equal(w VMStatus) bool { return reflect.DeepEqual(v, w) }

// ShareReport is what a node tells the lease holder of its share: the changes
// after Base up to Seq, or everything if Base is 0.
type ShareReport struct {
	Base int64      `json:"base"`
	Seq  int64      `json:"seq"`
	VMs  []VMStatus `json:"vms,omitempty"`
}

// remoteShare is the share of another node.
type remoteShare struct {
	seq     int64
	heardAt time.Time
	vms     map[port.VMID]toldStatus
}

// toldStatus is a status with the time at which it was told.
type toldStatus struct {
	VMStatus
	toldAt time.Time
}

// assign renews this node's share and begins to probe what is new in it.
func (s *Service) assign(now time.Time) []kernel.Effect {
	s.assigned = watch.Assign(string(s.self), s.nodes(now), s.groups())
	var out []kernel.Effect
	for _, id := range slices.Sorted(maps.Keys(s.vms)) {
		st := s.vms[id]
		if st.probing || !st.Listed || !s.mine(st) {
			continue
		}
		st.probing = true
		s.probing[id] = st
		spread := time.Duration(s.rng.Int64N(int64(ProbeEvery)))
		out = append(out, timer(spread, probeTick{id}))
	}
	return out
}

// groups lists what has to be watched: replicas, idle engine VMs and the VMs
// of plain services.
func (s *Service) groups() []watch.Group {
	var out []watch.Group
	for _, r := range s.replicas.Replicas() {
		out = append(out, watch.Group{ID: r.Name, Pool: r.Model})
	}
	for id, st := range s.vms {
		if !st.Listed {
			continue
		}
		switch st.VM.Kind {
		case port.KindPlain:
			out = append(out, watch.Group{ID: string(id), Pool: "plain " + st.VM.Service})
		case port.KindEngine:
			if _, owned := s.replicas.Owner(id); !owned {
				out = append(out, watch.Group{ID: string(id), Pool: idlePool})
			}
		}
	}
	return out
}

// PoolCount is the number of upstreams of a pool over the whole deployment.
type PoolCount struct {
	// Pool is the model's name or that of the plain service.
	Pool string
	// Plain says that Pool is a plain service.
	Plain bool
	Count int
}

// Groups counts live replicas by model and listed VMs by plain service.
func (s *Service) Groups() []PoolCount {
	type key struct {
		pool  string
		plain bool
	}
	counts := map[key]int{}
	for _, r := range s.replicas.Replicas() {
		counts[key{r.Model, false}]++
	}
	for _, st := range s.vms {
		if st.Listed && st.VM.Kind == port.KindPlain {
			counts[key{st.VM.Service, true}]++
		}
	}
	var out []PoolCount
	for k, n := range counts {
		out = append(out, PoolCount{Pool: k.pool, Plain: k.plain, Count: n})
	}
	return out
}

// mine reports whether a VM is in this node's share.
func (s *Service) mine(st *vmState) bool {
	if st.VM.Kind == port.KindEntry {
		return false
	}
	if owner, ok := s.replicas.Owner(st.VM.ID); ok {
		return s.assigned[owner]
	}
	return s.assigned[string(st.VM.ID)]
}

// noteChanges counts the VMs of the share whose status changed.
func (s *Service) noteChanges(now time.Time) {
	for id, st := range s.probing {
		status := statusOf(now, id, st)
		if !st.probing {
			delete(s.probing, id)
		}
		if status.equal(st.status) || (status.Gone && st.statusSeq == 0) {
			continue
		}
		s.seq++
		st.status = status
		st.statusSeq = s.seq
	}
}

// statusOf describes a VM for the lease holder.
func statusOf(now time.Time, id port.VMID, st *vmState) VMStatus {
	if !st.probing {
		return VMStatus{VM: id, Gone: true}
	}
	r := st.Report
	return VMStatus{
		VM:          id,
		Alive:       !st.HeardAt.IsZero() && now.Sub(st.HeardAt) <= FreshFor,
		Boot:        r.Boot,
		State:       r.State,
		Replica:     r.Replica,
		Generation:  r.Generation,
		Rank:        r.Rank,
		Model:       r.Model,
		HeldWeights: r.HeldWeights,
		Busy:        r.Running+r.Queued > 0,
	}
}

// Share returns the changes of this node's share after a sequence number that
// the lease holder has acknowledged.
func (s *Service) Share(acknowledged int64) ShareReport {
	r := ShareReport{Base: acknowledged, Seq: s.seq}
	for _, id := range slices.Sorted(maps.Keys(s.vms)) {
		if st := s.vms[id]; st.statusSeq > acknowledged {
			r.VMs = append(r.VMs, st.status)
		}
	}
	return r
}

// Merge takes in another node's share. It returns the sequence number up to
// which it knows the share, 0 if it needs everything.
func (s *Service) Merge(now time.Time, from record.NodeID, r ShareReport) int64 {
	share, ok := s.remote[from]
	if r.Base == 0 || !ok {
		share = &remoteShare{vms: map[port.VMID]toldStatus{}}
		s.remote[from] = share
	}
	if r.Base != share.seq {
		delete(s.remote, from)
		return 0
	}
	share.heardAt = now
	share.seq = r.Seq
	for _, v := range r.VMs {
		share.vms[v.VM] = toldStatus{VMStatus: v, toldAt: now}
		if v.Gone {
			delete(share.vms, v.VM)
		}
	}
	return r.Seq
}

// dropSilent forgets the shares of nodes that were not heard lately.
func (s *Service) dropSilent(now time.Time) {
	for id, share := range s.remote {
		if now.Sub(share.heardAt) > remoteFor {
			delete(s.remote, id)
		}
	}
}

// observation returns the latest that this node or another knows of a VM. A VM
// in the share of no node that was heard counts as heard when this node began
// to observe: a new lease holder knows little until the others have told it.
func (s *Service) observation(st *vmState) Observation {
	best := st.Observation
	asOf := st.HeardAt
	watched := st.probing
	for _, share := range s.remote {
		v, ok := share.vms[st.VM.ID]
		watched = watched || ok
		if !ok || !v.Alive {
			continue
		}
		if share.heardAt.After(best.HeardAt) {
			best.HeardAt = share.heardAt
		}
		if at := share.asOf(v); at.After(asOf) {
			asOf = at
			best.Report = v.report()
		}
	}
	if !watched && s.observedSince.After(best.HeardAt) {
		best.HeardAt = s.observedSince
	}
	return best
}

// asOf returns the time for which a status surely holds: when it was told, or,
// if nothing was told since, a little before the share was heard. Without it,
// a node that has not probed yet would overrule one that has.
func (r *remoteShare) asOf(v toldStatus) time.Time {
	if confirmed := r.heardAt.Add(-shareLag); confirmed.After(v.toldAt) {
		return confirmed
	}
	return v.toldAt
}

// report returns a status as the report of the VM, without its load.
func (v VMStatus) report() port.Report {
	r := port.Report{
		VM:          v.VM,
		Boot:        v.Boot,
		State:       v.State,
		Replica:     v.Replica,
		Generation:  v.Generation,
		Rank:        v.Rank,
		Model:       v.Model,
		HeldWeights: v.HeldWeights,
	}
	if v.Busy {
		r.Running = 1
	}
	return r
}
