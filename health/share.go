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
	// watches it has reported the change: a probe interval, a heartbeat interval
	// of one second and a margin.
	maxShareLag = ProbeInterval + time.Second + shareLagMargin
	// shareLagMargin covers the time that a probe and a heartbeat take.
	shareLagMargin = 500 * time.Millisecond
	// maxUndatedAge bounds the time from a probe to the arrival of a status without
	// an age: the status is valid for ReportTTL and waits for a heartbeat.
	maxUndatedAge = ReportTTL + time.Second + shareLagMargin
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
	// Leaving says that the process with the identifier Boot announced that it is
	// leaving.
	Leaving bool `json:"leaving,omitempty"`
	// Busy says that requests run or wait on the VM.
	Busy bool `json:"busy,omitempty"`
	// AskedAgeMillis and AnsweredAgeMillis are the times in milliseconds from
	// sending the probe that first showed this status, and from its answer, until
	// the ShareReport was made.
	AskedAgeMillis    int64 `json:"asked_age_ms,omitempty"`
	AnsweredAgeMillis int64 `json:"answered_age_ms,omitempty"`
}

// equal reports whether two statuses, neither of which has ages, are equal.
func (v VMStatus) equal(w VMStatus) bool { return reflect.DeepEqual(v, w) }

// ShareReport reports a node's share to the lease holder: the changes after the
// sequence number Base up to Seq, or the full share if Base is 0.
type ShareReport struct {
	Base int64      `json:"base"`
	Seq  int64      `json:"seq"`
	VMs  []VMStatus `json:"vms,omitempty"`
	// Holder is the node that sent the clock reading HolderClockMillis, and
	// HolderClockAgeMillis the time in milliseconds from its arrival until the
	// report was made. Holder is empty in the first report to a lease holder, and
	// in those of nodes that send no ages.
	Holder               record.NodeID `json:"holder,omitempty"`
	HolderClockMillis    int64         `json:"holder_clock_ms,omitempty"`
	HolderClockAgeMillis int64         `json:"holder_clock_age_ms,omitempty"`
	// ConfirmedAgeMillis is the time in milliseconds within which probes have shown
	// again the status of every VM of the share that is alive.
	ConfirmedAgeMillis int64 `json:"confirmed_age_ms,omitempty"`
}

// Acknowledgement is a lease holder's latest acknowledgement of this node's share.
type Acknowledgement struct {
	// Holder is the node that acknowledged the share.
	Holder record.NodeID
	// Seq is the sequence number up to which Holder knows the share; 0 if it needs
	// the full share.
	Seq int64
	// ClockMillis is Holder's Clock when it sent the acknowledgement; 0 if it sent
	// none. ReceivedAt is when the acknowledgement arrived at this node.
	ClockMillis int64
	ReceivedAt  time.Time
}

// remoteShare is the share that another node reported. seq is the sequence number
// and lastSeen the time of the node's latest report.
type remoteShare struct {
	seq      int64
	lastSeen time.Time
	// confirmedAt is a time after which probes have shown again the status of
	// every VM that is alive.
	confirmedAt time.Time
	vms         map[port.VMID]receivedStatus
}

// receivedStatus is a reported status with the bounds of its time, as in
// Observation.
type receivedStatus struct {
	VMStatus
	asOf       time.Time
	reportedBy time.Time
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
		st.confirmedAt = st.AsOf
		if status.equal(st.status) || (status.Gone && st.statusSeq == 0) {
			continue
		}
		s.seq++
		st.status = status
		st.statusSeq = s.seq
		st.askedAt, st.answeredAt = st.AsOf, st.ReportedBy
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
		Leaving:     st.announced(r.Boot),
		Busy:        r.Running+r.Queued > 0,
	}
}

// Clock returns the time in milliseconds since an origin of this node's own. The
// lease holder sends it with its acknowledgements and gets it back in ShareReport,
// so that it can date the statuses without a clock that the nodes share.
func (s *Service) Clock(now time.Time) int64 {
	if s.startedAt.IsZero() {
		// 0 means that there is no reading.
		s.startedAt = now.Add(-time.Millisecond)
	}
	return now.Sub(s.startedAt).Milliseconds()
}

// Share returns the changes in this node's share after the sequence number that
// the lease holder has acknowledged.
func (s *Service) Share(now time.Time, last Acknowledgement) ShareReport {
	r := ShareReport{Base: last.Seq, Seq: s.seq}
	if last.ClockMillis > 0 {
		r.Holder = last.Holder
		r.HolderClockMillis = last.ClockMillis
		r.HolderClockAgeMillis = now.Sub(last.ReceivedAt).Milliseconds()
		r.ConfirmedAgeMillis = ceilMillis(now.Sub(s.oldestConfirmation(now)))
	}
	for _, id := range slices.Sorted(maps.Keys(s.vms)) {
		st := s.vms[id]
		if st.statusSeq <= last.Seq {
			continue
		}
		v := st.status
		if !v.Gone && !st.askedAt.IsZero() {
			v.AskedAgeMillis = ceilMillis(now.Sub(st.askedAt))
			v.AnsweredAgeMillis = now.Sub(st.answeredAt).Milliseconds()
		}
		r.VMs = append(r.VMs, v)
	}
	return r
}

// oldestConfirmation returns the earliest time, over the VMs of this node's share
// that are alive, of the latest probe that showed the VM's status; now if no VM is
// alive.
func (s *Service) oldestConfirmation(now time.Time) time.Time {
	oldest := now
	for _, st := range s.probing {
		if st.status.Alive && st.confirmedAt.Before(oldest) {
			oldest = st.confirmedAt
		}
	}
	return oldest
}

// ceilMillis returns a duration in milliseconds, rounded up.
func ceilMillis(d time.Duration) int64 {
	return (d + time.Millisecond - 1).Milliseconds()
}

// duration returns the duration of a count of milliseconds in a report, 0 for a
// negative one.
func duration(millis int64) time.Duration {
	return time.Duration(max(0, millis)) * time.Millisecond
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
	madeAt, dated := s.madeAt(now, r)
	share.confirmedAt = now.Add(-maxUndatedAge - maxShareLag)
	if dated {
		share.confirmedAt = madeAt.Add(-duration(r.ConfirmedAgeMillis))
	}
	for _, v := range r.VMs {
		received := receivedStatus{VMStatus: v, asOf: now.Add(-maxUndatedAge), reportedBy: now}
		if dated {
			received.asOf = madeAt.Add(-duration(v.AskedAgeMillis))
			received.reportedBy = now.Add(-duration(v.AnsweredAgeMillis))
		}
		share.vms[v.VM] = received
		if v.Gone {
			delete(share.vms, v.VM)
		}
	}
	return r.Seq
}

// madeAt returns a time, by this node's clock, at which or after which another node
// made a report, and false if the report does not say. The report may have been on
// its way for any time, as while this node was paused, so the time of its arrival
// is no such bound.
func (s *Service) madeAt(now time.Time, r ShareReport) (time.Time, bool) {
	if r.Holder != s.self || r.HolderClockMillis <= 0 || s.startedAt.IsZero() {
		return time.Time{}, false
	}
	at := s.startedAt.Add(duration(r.HolderClockMillis) + duration(r.HolderClockAgeMillis))
	if at.After(now) {
		at = now
	}
	return at, true
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
// reported: states are ordered by the times of the probes that showed them. That its
// process is leaving counts whichever node heard it, and whenever. If no node is known
// to watch the VM, LastSeen is no earlier than the time at which this node began to
// observe all VMs: a new lease holder knows little until other nodes have reported
// their shares, and must not count VMs as lost before that.
func (s *Service) observation(st *vmState) Observation {
	best := st.Observation
	watched := st.probing
	for from, share := range s.remoteShares {
		v, ok := share.vms[st.VM.ID]
		watched = watched || ok
		if !ok || !v.Alive {
			continue
		}
		if share.lastSeen.After(best.LastSeen) {
			best.LastSeen = share.lastSeen
		}
		if asOf := share.asOf(v); asOf.After(best.AsOf) {
			best.Report, best.Source = v.report(), from
			best.AsOf, best.ReportedBy = asOf, v.reportedBy
		}
	}
	if !watched && s.observingSince.After(best.LastSeen) {
		best.LastSeen = s.observingSince
	}
	best.VM.Leaving = best.VM.Leaving || s.heardLeaving(st, best.Report.Boot)
	return best
}

// heardLeaving reports whether this node or another one heard that the process with a
// boot identifier on a VM is leaving.
func (s *Service) heardLeaving(st *vmState, boot string) bool {
	if st.announced(boot) {
		return true
	}
	for _, share := range s.remoteShares {
		if v, ok := share.vms[st.VM.ID]; ok && v.Leaving && v.Boot == boot {
			return true
		}
	}
	return false
}

// asOf returns the latest time at which, or after which, the VM certainly reported a
// status: that of the probe that first showed it, or of a later one by the node's
// latest report.
func (r *remoteShare) asOf(v receivedStatus) time.Time {
	if r.confirmedAt.After(v.asOf) {
		return r.confirmedAt
	}
	return v.asOf
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
