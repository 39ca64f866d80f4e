package health

import (
	"cmp"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/ledger"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
)

// Replicas provides the live replicas of the control ledger.
type Replicas interface {
	// Replicas returns all live replicas.
	Replicas() []ledger.Replica
	// Replica returns a live replica by name.
	Replica(name string) (ledger.Replica, bool)
	// ReplicaOf returns the live replica that a VM belongs to.
	ReplicaOf(vm port.VMID) (string, bool)
}

// vmState is what the service knows about one VM.
type vmState struct {
	Observation
	// probing says that the VM is in this node's share.
	probing bool
	// status is the VM's status as reported to the lease holder, and statusSeq
	// the sequence number of its last change; 0 if there was none.
	status    VMStatus
	statusSeq int64
	// askedAt and answeredAt are the times of the probe that showed the last
	// change of status, and confirmedAt that of the latest probe that showed status.
	askedAt     time.Time
	answeredAt  time.Time
	confirmedAt time.Time
	// suspected says that a request found the VM unreachable or leaving since
	// its last report.
	suspected bool
	// leaving is set while the VM's process has announced that it is leaving.
	leaving *leavingMark
	// previousBoot is the boot identifier before that of Report; empty if there was
	// none.
	previousBoot string
}

// Service is the kernel service of health checking.
type Service struct {
	// Logger logs what VMs announce of themselves. New sets one that discards it.
	Logger *slog.Logger

	replicas    Replicas
	rng         *rand.Rand
	vms         map[port.VMID]*vmState
	models      port.ModelList
	subscribers []string
	observers   []string
	// eligible holds the upstreams of the latest publication, by id.
	eligible map[string]Upstream
	self     record.NodeID
	nodes    Nodes
	// observes reports whether this node holds the control lease or may claim
	// it; observingSince is the time since when it has reported true.
	observes       IsObserver
	observingSince time.Time
	// assigned holds the ids of the groups in this node's share.
	assigned map[string]bool
	// probing holds the VMs in this node's share. A VM that leaves the share is
	// removed once updateStatuses has recorded that it is gone.
	probing map[port.VMID]*vmState
	// seq is the sequence number of the latest change in this node's share.
	seq int64
	// remoteShares holds the shares that other nodes reported.
	remoteShares map[record.NodeID]*remoteShare
	// startedAt is the origin of Clock.
	startedAt time.Time
}

// Nodes returns the ids of the live entry nodes.
type Nodes func(now time.Time) []string

// IsObserver reports whether this node holds the control lease or may claim it. While
// it returns true, the health service sends Observed, with the state of all VMs,
// to the services that are registered by Observe.
type IsObserver func(now time.Time) bool

// New returns the service of the node self. rng spreads probes over time.
func New(self record.NodeID, nodes Nodes, observes IsObserver, replicas Replicas, rng *rand.Rand) *Service {
	return &Service{
		Logger:       slog.New(slog.DiscardHandler),
		self:         self,
		nodes:        nodes,
		observes:     observes,
		probing:      map[port.VMID]*vmState{},
		assigned:     map[string]bool{},
		remoteShares: map[record.NodeID]*remoteShare{},
		replicas:     replicas,
		rng:          rng,
		vms:          map[port.VMID]*vmState{},
		eligible:     map[string]Upstream{},
	}
}

// Subscribe registers a service for the messages Changed, EligibilityRenewed
// and LoadReported.
func (s *Service) Subscribe(service string) { s.subscribers = append(s.subscribers, service) }

// Observe registers a service for the message Observed.
func (s *Service) Observe(service string) { s.observers = append(s.observers, service) }

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Starter.
func (s *Service) Start(time.Time) []kernel.Effect {
	return []kernel.Effect{
		FetchInventory{},
		setTimer(publishEvery, publishTick{}),
		setTimer(assignEvery, assignTick{}),
	}
}

// setTimer returns the effect that sends msg to this service after a delay.
func setTimer(after time.Duration, msg kernel.Message) kernel.Effect {
	return kernel.SetTimer{To: Name, After: after, Msg: msg}
}

// Handle implements kernel.Service.
func (s *Service) Handle(now time.Time, msg kernel.Message) []kernel.Effect {
	switch m := msg.(type) {
	case inventoryTick:
		return []kernel.Effect{FetchInventory{}}
	case InventoryFetched:
		s.applyInventory(m)
		return append(s.assign(now), setTimer(inventoryEvery, inventoryTick{}))
	case assignTick:
		out := append(s.assign(now), s.sendObserved(now)...)
		return append(out, setTimer(assignEvery, assignTick{}))
	case probeTick:
		return s.startProbe(now, m.vm)
	case Probed:
		return s.handleProbed(now, m)
	case Suspected:
		s.markSuspected(m.Upstream)
		return s.publish(now)
	case Announced:
		if s.markLeaving(now, m.Process) {
			return s.publish(now)
		}
	case publishTick:
		return append(s.publish(now), setTimer(publishEvery, publishTick{}))
	}
	return nil
}

// applyInventory applies a new VM list and model list. If they could not be read,
// the previous ones are kept.
func (s *Service) applyInventory(m InventoryFetched) {
	if m.Err != nil {
		return
	}
	if len(m.Models.Models) > 0 {
		s.models = m.Models
	}
	for _, st := range s.vms {
		st.Listed = false
	}
	for _, vm := range m.VMs {
		st, ok := s.vms[vm.ID]
		if !ok {
			st = &vmState{}
			s.vms[vm.ID] = st
		}
		st.VM = vm
		st.Listed = true
	}
	for id, st := range s.vms {
		if !st.Listed && !st.probing {
			delete(s.vms, id)
		}
	}
}

// startProbe returns the probe of a VM, or ends its probing if the VM is no longer
// listed or no longer in this node's share.
func (s *Service) startProbe(now time.Time, vm port.VMID) []kernel.Effect {
	st, ok := s.vms[vm]
	if !ok {
		return nil
	}
	if !st.Listed || !s.inShare(st) {
		st.probing = false
		return nil
	}
	return []kernel.Effect{Probe{VM: vm, Address: st.VM.Address, Boot: st.Report.Boot, SentAt: now}}
}

// handleProbed stores the report of a VM, schedules the next probe, and tells
// subscribers the load if the VM serves an eligible upstream.
func (s *Service) handleProbed(now time.Time, m Probed) []kernel.Effect {
	st, ok := s.vms[m.VM]
	if !ok {
		return nil
	}
	out := []kernel.Effect{setTimer(ProbeInterval, probeTick{m.VM})}
	if m.Err == nil && m.Report.VM == m.VM {
		s.applyReport(now, st, m)
	}
	if m.Leaving {
		s.markLeaving(now, port.Incarnation{VM: m.VM, Boot: cmp.Or(m.Boot, m.Report.Boot)})
	}
	if m.Err != nil || m.Report.VM != m.VM {
		return out
	}
	if u, ok := s.servedUpstream(m.VM); ok {
		for _, name := range s.subscribers {
			out = append(out, kernel.Send{To: name, Msg: LoadReported{ID: u, Report: m.Report}})
		}
	}
	return out
}

// applyReport stores the report of a VM.
func (s *Service) applyReport(now time.Time, st *vmState, m Probed) {
	if m.Report.Boot != st.Report.Boot {
		st.previousBoot = st.Report.Boot
	}
	st.Report = m.Report
	st.LastSeen = m.SentAt
	st.AsOf, st.ReportedBy, st.Source = m.SentAt, now, s.self
	st.suspected = false
	s.updateLeaving(st)
}

// servedUpstream returns the id of the eligible upstream whose requests the VM
// receives, or false if there is none.
func (s *Service) servedUpstream(vm port.VMID) (string, bool) {
	st := s.vms[vm]
	if st.VM.Kind == port.KindPlain {
		return string(vm), true
	}
	u, ok := s.eligible[st.Report.Replica]
	return u.ID, ok && u.Address == st.VM.Address
}

// markSuspected makes an upstream ineligible until the next report of the VM that
// receives its requests.
func (s *Service) markSuspected(upstream string) {
	if st, ok := s.vms[port.VMID(upstream)]; ok {
		st.suspected = true
		return
	}
	r, ok := s.replicas.Replica(upstream)
	if !ok {
		return
	}
	if st, ok := s.vms[r.VMs[0]]; ok {
		st.suspected = true
	}
}

// publish evaluates this node's share. It tells subscribers the eligible upstreams
// if they changed, or else until when they stay eligible.
func (s *Service) publish(now time.Time) []kernel.Effect {
	before := s.eligible
	s.eligible = map[string]Upstream{}
	var broken []string
	for _, name := range s.candidates(before) {
		r, ok := s.replicas.Replica(name)
		if !ok {
			continue
		}
		u, result := s.evaluate(now, r)
		if result == complete {
			s.eligible[name] = u
		}
		if result == incomplete {
			broken = append(broken, name)
		}
	}
	s.addPlain(now)
	s.updateStatuses(now)
	if sameUpstreams(before, s.eligible) {
		return s.sendRenewed()
	}
	var out []kernel.Effect
	changed := Changed{Upstreams: s.Eligible(), Broken: brokenSince(before, s.eligible, broken)}
	for _, name := range s.subscribers {
		out = append(out, kernel.Send{To: name, Msg: changed})
	}
	return out
}

// sendRenewed tells subscribers until when the unchanged upstreams stay eligible.
func (s *Service) sendRenewed() []kernel.Effect {
	msg := EligibilityRenewed{EligibleUntil: map[string]time.Time{}}
	for id, u := range s.eligible {
		msg.EligibleUntil[id] = u.EligibleUntil
	}
	var out []kernel.Effect
	for _, name := range s.subscribers {
		out = append(out, kernel.Send{To: name, Msg: msg})
	}
	return out
}

// candidates returns the sorted names of the replicas in this node's share and of
// those that were eligible before.
func (s *Service) candidates(before map[string]Upstream) []string {
	names := maps.Clone(s.assigned)
	for id, u := range before {
		if !u.Plain {
			names[id] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// brokenSince returns the replicas that were eligible before and are now broken, or
// replaced by another generation. A replica that was dissolved while all its VMs
// were available is not broken: it gets no new requests but finishes those that it
// has.
func brokenSince(before, now map[string]Upstream, broken []string) []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(before)) {
		previous := before[name]
		current, remains := now[name]
		replaced := remains && current.Generation != previous.Generation
		if replaced || (!remains && slices.Contains(broken, name)) {
			out = append(out, name)
		}
	}
	return out
}

// sameUpstreams reports whether two sets of upstreams have the same ids,
// generations, addresses, processes and slots.
func sameUpstreams(a, b map[string]Upstream) bool {
	if len(a) != len(b) {
		return false
	}
	for id, u := range a {
		v, ok := b[id]
		if !ok || u.Generation != v.Generation || u.Address != v.Address || u.Process != v.Process || u.Slots != v.Slots {
			return false
		}
	}
	return true
}

// completeness is the result of evaluating a replica.
type completeness int

const (
	// complete replicas may take requests.
	complete completeness = iota
	// leaving replicas take no new requests but finish those that they have.
	leaving
	// incomplete replicas lack a working VM.
	incomplete
)

// evaluate decides whether a replica may take requests. The Upstream is empty for
// an incomplete replica.
func (s *Service) evaluate(now time.Time, r ledger.Replica) (Upstream, completeness) {
	result := complete
	oldest := now
	for _, id := range r.VMs {
		st, ok := s.vms[id]
		if !ok || !s.isMember(now, st, r) {
			return Upstream{}, incomplete
		}
		if st.LastSeen.Before(oldest) {
			oldest = st.LastSeen
		}
		if st.isLeaving() || st.suspected {
			result = leaving
		}
	}
	lead := s.vms[r.VMs[0]]
	return Upstream{
		ID:            r.Name,
		Generation:    int64(r.Generation),
		Address:       lead.VM.Address,
		Process:       port.Incarnation{VM: lead.VM.ID, Boot: lead.Report.Boot},
		Pool:          r.Model,
		Zone:          lead.VM.Zone,
		Slots:         lead.Report.Slots,
		Report:        lead.Report,
		EligibleUntil: oldest.Add(ReportTTL),
	}, result
}

// isMember reports whether a VM has reported, within ReportTTL, that it is a
// working member of the replica in the ledger's generation.
func (s *Service) isMember(now time.Time, st *vmState, r ledger.Replica) bool {
	fresh := !st.LastSeen.IsZero() && now.Sub(st.LastSeen) <= ReportTTL
	working := st.Report.State == port.EngineReady || st.Report.State == port.EngineLeaving
	matchesLedger := st.Report.Replica == r.Name && st.Report.Generation == int64(r.Generation)
	return fresh && working && matchesLedger
}

// addPlain adds the VMs of plain services that may take requests to the eligible
// upstreams.
func (s *Service) addPlain(now time.Time) {
	for id, st := range s.probing {
		fresh := !st.LastSeen.IsZero() && now.Sub(st.LastSeen) <= ReportTTL
		ready := st.Report.State == port.EngineReady && !st.isLeaving() && !st.suspected
		if st.VM.Kind != port.KindPlain || !fresh || !ready {
			continue
		}
		s.eligible[string(id)] = Upstream{
			ID:      string(id),
			Address: st.VM.Address,
			Process: port.Incarnation{VM: id, Boot: st.Report.Boot},
			Pool:    st.VM.Service,
			Plain:   true,
			Zone:    st.VM.Zone,
			Slots:   st.Report.Slots,
			Report:  st.Report,

			EligibleUntil: st.LastSeen.Add(ReportTTL),
		}
	}
}

// sendObserved tells the observers all VMs while this node holds the control lease
// or may claim it.
func (s *Service) sendObserved(now time.Time) []kernel.Effect {
	if !s.observes(now) {
		s.observingSince = time.Time{}
		return nil
	}
	if s.observingSince.IsZero() {
		s.observingSince = now
	}
	msg := Observed{VMs: s.Observations(), Models: s.models}
	s.dropExpiredShares(now)
	var out []kernel.Effect
	for _, name := range s.observers {
		out = append(out, kernel.Send{To: name, Msg: msg})
	}
	return out
}

// Eligible returns the upstreams that may take requests, sorted by id.
func (s *Service) Eligible() []Upstream {
	out := make([]Upstream, 0, len(s.eligible))
	for _, id := range slices.Sorted(maps.Keys(s.eligible)) {
		out = append(out, s.eligible[id])
	}
	return out
}

// Watches reports whether a replica, given by name, is in this node's share.
func (s *Service) Watches(replica string) bool { return s.assigned[replica] }

// Observations returns what this node knows about all VMs, sorted by id.
func (s *Service) Observations() []Observation {
	out := make([]Observation, 0, len(s.vms))
	for _, id := range slices.Sorted(maps.Keys(s.vms)) {
		out = append(out, s.observation(s.vms[id]))
	}
	return out
}

// Models returns the model list of the weight store as last read.
func (s *Service) Models() port.ModelList { return s.models }
