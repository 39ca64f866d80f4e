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
	// idlePool is the pool of the engine VMs that belong to no replica.
	idlePool = "idle"
	// maxShareLag is the longest time from a change on a VM until the node that
	// watches it has reported the change: a probe interval and a heartbeat.
	maxShareLag = ProbeInterval + time.Second + shareLagMargin
	// shareLagMargin covers the time that a probe and a heartbeat take.
	shareLagMargin = 500 * time.Millisecond
	// remoteShareTTL is how long another node's share is valid after the node's
	// last report.
	remoteShareTTL = 5 * time.Second
)

// VMStatus is what a node reports to the lease holder about a VM in its share.
type VMStatus struct {
	VM port.VMID `json:"vm"`
	// Gone says that the VM left the node's share.
	Gone bool `json:"gone,omitempty"`
	// Alive says that the VM has reported within ReportTTL.
	Alive       bool             `json:"alive,omitempty"`
	Boot        string           `json:"boot,omitempty"`
	State       port.EngineState `json:"state,omitempty"`
	Replica     string           `json:"replica,omitempty"`
	Generation  int64            `json:"generation,omitempty"`
	Rank        int              `json:"rank,omitempty"`
	Model       string           `json:"model,omitempty"`
	HeldWeights []string         `json:"held_weights,omitempty"`
	// Busy says that requests run or wait on the VM.
	Busy bool `json:"busy,omitempty"`
}

// equal reports whether all fields of two statuses are equal.
func (v VMStatus) equal(w VMStatus) bool { return reflect.DeepEqual(v, w) }

// ShareReport reports a node's share to the lease holder: the changes after the
// sequence number Base up to Seq, or the full share if Base is 0.
type ShareReport struct {
	Base int64      `json:"base"`
	Seq  int64      `json:"seq"`
	VMs  []VMStatus `json:"vms,omitempty"`
}

// remoteShare is the share that another node reported. seq is the sequence number
// and lastSeen the time of the node's latest report.
type remoteShare struct {
	seq      int64
	lastSeen time.Time
	vms      map[port.VMID]receivedStatus
}

// receivedStatus is a reported status with the time at which it was received.
type receivedStatus struct {
	VMStatus
	receivedAt time.Time
}

// assign recomputes this node's share and starts to probe VMs that are new in it.
func (s *Service) assign(now time.Time) []kernel.Effect {
	s.assigned = watch.Assign(string(s.self), s.nodes(now), s.groups())
	var out []kernel.Effect
	for _, id := range slices.Sorted(maps.Keys(s.vms)) {
		st := s.vms[id]
		if st.probing || !st.Listed || !s.inShare(st) {
			continue
		}
		st.probing = true
		s.probing[id] = st
		spread := time.Duration(s.rng.Int64N(int64(ProbeInterval)))
		out = append(out, setTimer(spread, probeTick{id}))
	}
	return out
}

// groups returns the groups to divide among the nodes: replicas, idle engine VMs
// and the VMs of plain services.
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
			if _, owned := s.replicas.ReplicaOf(id); !owned {
				out = append(out, watch.Group{ID: string(id), Pool: idlePool})
			}
		}
	}
	return out
}

// PoolCount is the number of upstreams of a pool in the whole deployment.
type PoolCount struct {
	// Pool is the name of the model or plain service.
	Pool string
	// Plain says that Pool is a plain service.
	Plain bool
	Count int
}

// PoolCounts returns the number of live replicas of each model and of listed
// VMs of each plain service, in no particular order.
func (s *Service) PoolCounts() []PoolCount {
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

// inShare reports whether a VM is in this node's share.
func (s *Service) inShare(st *vmState) bool {
	if st.VM.Kind == port.KindEntry {
		return false
	}
	if owner, ok := s.replicas.ReplicaOf(st.VM.ID); ok {
		return s.assigned[owner]
	}
	return s.assigned[string(st.VM.ID)]
}

// updateStatuses updates the statuses of the VMs in this node's share, and gives
// each changed one the next sequence number.
func (s *Service) updateStatuses(now time.Time) {
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

// statusOf returns the status of a VM to report to the lease holder.
func statusOf(now time.Time, id port.VMID, st *vmState) VMStatus {
	if !st.probing {
		return VMStatus{VM: id, Gone: true}
	}
	r := st.Report
	return VMStatus{
		VM:          id,
		Alive:       !st.LastSeen.IsZero() && now.Sub(st.LastSeen) <= ReportTTL,
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

// Share returns the changes in this node's share after the sequence number that
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

// Merge applies a report of another node's share. It returns the sequence number up
// to which this node now knows that share, or 0 if it needs the full share.
func (s *Service) Merge(now time.Time, from record.NodeID, r ShareReport) int64 {
	share, ok := s.remoteShares[from]
	if r.Base == 0 || !ok {
		share = &remoteShare{vms: map[port.VMID]receivedStatus{}}
		s.remoteShares[from] = share
	}
	if r.Base != share.seq {
		delete(s.remoteShares, from)
		return 0
	}
	share.lastSeen = now
	share.seq = r.Seq
	for _, v := range r.VMs {
		share.vms[v.VM] = receivedStatus{VMStatus: v, receivedAt: now}
		if v.Gone {
			delete(share.vms, v.VM)
		}
	}
	return r.Seq
}

// dropExpiredShares removes the shares of nodes whose last report is older than
// remoteShareTTL.
func (s *Service) dropExpiredShares(now time.Time) {
	for id, share := range s.remoteShares {
		if now.Sub(share.lastSeen) > remoteShareTTL {
			delete(s.remoteShares, id)
		}
	}
}

// observation returns the latest state of a VM that this node probed or another node
// reported. If no node is known to watch the VM, LastSeen is at least the time since
// when this node observes: a new lease holder knows little until other nodes have
// reported their shares, and must not count VMs as lost before that.
func (s *Service) observation(st *vmState) Observation {
	best := st.Observation
	asOf := st.LastSeen
	watched := st.probing
	for _, share := range s.remoteShares {
		v, ok := share.vms[st.VM.ID]
		watched = watched || ok
		if !ok || !v.Alive {
			continue
		}
		if share.lastSeen.After(best.LastSeen) {
			best.LastSeen = share.lastSeen
		}
		if at := share.asOf(v); at.After(asOf) {
			asOf = at
			best.Report = v.report()
		}
	}
	if !watched && s.observingSince.After(best.LastSeen) {
		best.LastSeen = s.observingSince
	}
	return best
}

// asOf returns the latest time at which a status certainly was true: when it was
// received, or maxShareLag before the node's latest report, if that is later and
// the status did not change. Without subtracting maxShareLag, the status of a node
// that has not probed the VM since a change would replace that of a node that has.
func (r *remoteShare) asOf(v receivedStatus) time.Time {
	if confirmed := r.lastSeen.Add(-maxShareLag); confirmed.After(v.receivedAt) {
		return confirmed
	}
	return v.receivedAt
}

// report returns the VM's report as far as the status holds it. The status does not
// hold the VM's load, only whether requests run or wait: Running is 1 or 0.
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
