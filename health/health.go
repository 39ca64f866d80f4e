package health

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/ledger"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
)

// Replicas gives the live replicas of the control ledger.
type Replicas interface {
	// Replicas returns all live replicas.
	Replicas() []ledger.Replica
	// Replica returns a live replica by name.
	Replica(name string) (ledger.Replica, bool)
	// Owner returns the live replica that a VM belongs to.
	Owner(vm port.VMID) (string, bool)
}

// vmState is what the service knows of one VM.
type vmState struct {
	Observation
	// probing says that the VM is in this node's share.
	probing bool
	// status is what was last told to the lease holder, since statusSeq.
	status    VMStatus
	statusSeq int64
	// suspected says that a request found the VM unreachable after HeardAt.
	suspected bool
}

// Service is the kernel service of health checking.
type Service struct {
	replicas    Replicas
	rng         *rand.Rand
	vms         map[port.VMID]*vmState
	models      port.ModelList
	subscribers []string
	observers   []string
	// eligible holds the replicas of the latest publication.
	eligible map[string]Upstream
	self     record.NodeID
	nodes    Nodes
	// observes says that this node holds the control lease or may claim it;
	// observedSince is since when it does.
	observes      Observes
	observedSince time.Time
	assigned      map[string]bool
	// probing holds the VMs of this node's share and those just left.
	probing map[port.VMID]*vmState
	// seq counts the changes of the VMs in this node's share.
	seq    int64
	remote map[record.NodeID]*remoteShare
}

// Nodes lists the live entry nodes.
type Nodes func(now time.Time) []string

// Observes reports whether this node holds the control lease or may claim it.
type Observes func(now time.Time) bool

// New returns the service of a node. rng spreads probes over time.
func New(self record.NodeID, nodes Nodes, observes Observes, replicas Replicas, rng *rand.Rand) *Service {
	return &Service{
		self:     self,
		nodes:    nodes,
		observes: observes,
		probing:  map[port.VMID]*vmState{},
		assigned: map[string]bool{},
		remote:   map[record.NodeID]*remoteShare{},
		replicas: replicas,
		rng:      rng,
		vms:      map[port.VMID]*vmState{},
		eligible: map[string]Upstream{},
	}
}

// Subscribe sends Changed and LoadSeen to a service.
func (s *Service) Subscribe(service string) { s.subscribers = append(s.subscribers, service) }

// Observe sends Observed to a service.
func (s *Service) Observe(service string) { s.observers = append(s.observers, service) }

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Starter.
func (s *Service) Start(time.Time) []kernel.Effect {
	return []kernel.Effect{
		FetchInventory{},
		timer(publishEvery, publishTick{}),
		timer(assignEvery, assignTick{}),
	}
}

func timer(after time.Duration, msg kernel.Message) kernel.Effect {
	return kernel.SetTimer{To: Name, After: after, Msg: msg}
}

// Handle implements kernel.Service.
func (s *Service) Handle(now time.Time, msg kernel.Message) []kernel.Effect {
	switch m := msg.(type) {
	case inventoryTick:
		return []kernel.Effect{FetchInventory{}}
	case InventoryDone:
		s.inventory(m)
		return append(s.assign(now), timer(inventoryEvery, inventoryTick{}))
	case assignTick:
		out := append(s.assign(now), s.observed(now)...)
		return append(out, timer(assignEvery, assignTick{}))
	case probeTick:
		return s.probe(now, m.vm)
	case Probed:
		return s.probed(now, m)
	case Suspected:
		s.suspect(m.Upstream)
		return s.publish(now)
	case publishTick:
		return append(s.publish(now), timer(publishEvery, publishTick{}))
	}
	return nil
}

// inventory takes in the VM list. While the list can't be read, what was known
// stays.
func (s *Service) inventory(m InventoryDone) {
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

func (s *Service) probe(now time.Time, vm port.VMID) []kernel.Effect {
	st, ok := s.vms[vm]
	if !ok {
		return nil
	}
	if !st.Listed || !s.mine(st) {
		st.probing = false
		return nil
	}
	return []kernel.Effect{Probe{VM: vm, Address: st.VM.Address, AskedAt: now}}
}

func (s *Service) probed(now time.Time, m Probed) []kernel.Effect {
	st, ok := s.vms[m.VM]
	if !ok {
		return nil
	}
	out := []kernel.Effect{timer(ProbeEvery, probeTick{m.VM})}
	if m.Err != nil || m.Report.VM != m.VM {
		return out
	}
	st.Report = m.Report
	st.HeardAt = m.AskedAt
	st.suspected = false
	if u, ok := s.serving(m.VM); ok {
		for _, name := range s.subscribers {
			out = append(out, kernel.Send{To: name, Msg: LoadSeen{ID: u, Report: m.Report}})
		}
	}
	return out
}

// serving returns the eligible upstream whose requests the VM takes.
func (s *Service) serving(vm port.VMID) (string, bool) {
	st := s.vms[vm]
	if st.VM.Kind == port.KindPlain {
		return string(vm), true
	}
	u, ok := s.eligible[st.Report.Replica]
	return u.ID, ok && u.Address == st.VM.Address
}

// suspect takes an upstream out until its VMs have reported again.
func (s *Service) suspect(upstream string) {
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

// publish tells subscribers the eligible upstreams if they changed.
func (s *Service) publish(now time.Time) []kernel.Effect {
	before := s.eligible
	s.eligible = map[string]Upstream{}
	var broken []string
	for _, name := range s.candidates(before) {
		r, ok := s.replicas.Replica(name)
		if !ok {
			continue
		}
		u, result := s.judge(now, r)
		if result == complete {
			s.eligible[name] = u
		}
		if result == incomplete {
			broken = append(broken, name)
		}
	}
	s.addPlain(now)
	s.noteChanges(now)
	if same(before, s.eligible) {
		return s.renewed()
	}
	var out []kernel.Effect
	changed := Changed{Upstreams: s.Eligible(), Broken: lostSince(before, s.eligible, broken)}
	for _, name := range s.subscribers {
		out = append(out, kernel.Send{To: name, Msg: changed})
	}
	return out
}

// renewed tells subscribers how long the unchanged judgement holds.
func (s *Service) renewed() []kernel.Effect {
	msg := Renewed{FreshUntil: map[string]time.Time{}}
	for id, u := range s.eligible {
		msg.FreshUntil[id] = u.FreshUntil
	}
	var out []kernel.Effect
	for _, name := range s.subscribers {
		out = append(out, kernel.Send{To: name, Msg: msg})
	}
	return out
}

// candidates returns the replicas in this node's share and those that were
// eligible before, by name.
func (s *Service) candidates(before map[string]Upstream) []string {
	names := maps.Clone(s.assigned)
	for id, u := range before {
		if !u.Plain {
			names[id] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// lostSince returns the replicas that were eligible before and are broken or
// replaced now. A replica that was dissolved while all its VMs were there gets
// no new work, but finishes what it has.
func lostSince(before, now map[string]Upstream, broken []string) []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(before)) {
		was := before[name]
		is, still := now[name]
		replaced := still && is.Generation != was.Generation
		if replaced || (!still && slices.Contains(broken, name)) {
			out = append(out, name)
		}
	}
	return out
}

func same(a, b map[string]Upstream) bool {
	if len(a) != len(b) {
		return false
	}
	for id, u := range a {
		v, ok := b[id]
		if !ok || u.Generation != v.Generation || u.Address != v.Address || u.Slots != v.Slots {
			return false
		}
	}
	return true
}

// standing is the judgement of a replica.
type standing int

const (
	// complete replicas may take work.
	complete standing = iota
	// leaving replicas take no new work but finish what they have.
	leaving
	// incomplete replicas lack a VM.
	incomplete
)

// judge decides whether a replica may take work.
func (s *Service) judge(now time.Time, r ledger.Replica) (Upstream, standing) {
	result := complete
	oldest := now
	for _, id := range r.VMs {
		st, ok := s.vms[id]
		if !ok || !s.member(now, st, r) {
			return Upstream{}, incomplete
		}
		if st.HeardAt.Before(oldest) {
			oldest = st.HeardAt
		}
		if st.VM.Leaving || st.Report.State == port.EngineLeaving || st.suspected {
			result = leaving
		}
	}
	lead := s.vms[r.VMs[0]]
	return Upstream{
		ID:         r.Name,
		Generation: int64(r.Generation),
		Address:    lead.VM.Address,
		Pool:       r.Model,
		Zone:       lead.VM.Zone,
		Slots:      lead.Report.Slots,
		Report:     lead.Report,
		FreshUntil: oldest.Add(FreshFor),
	}, result
}

// member reports whether a VM has lately reported itself a working member of
// the replica.
func (s *Service) member(now time.Time, st *vmState, r ledger.Replica) bool {
	fresh := !st.HeardAt.IsZero() && now.Sub(st.HeardAt) <= FreshFor
	working := st.Report.State == port.EngineReady || st.Report.State == port.EngineLeaving
	obeys := st.Report.Replica == r.Name && st.Report.Generation == int64(r.Generation)
	return fresh && working && obeys
}

// addPlain adds the VMs of plain services that may take work.
func (s *Service) addPlain(now time.Time) {
	for id, st := range s.probing {
		fresh := !st.HeardAt.IsZero() && now.Sub(st.HeardAt) <= FreshFor
		ready := st.Report.State == port.EngineReady && !st.VM.Leaving && !st.suspected
		if st.VM.Kind != port.KindPlain || !fresh || !ready {
			continue
		}
		s.eligible[string(id)] = Upstream{
			ID:      string(id),
			Address: st.VM.Address,
			Pool:    st.VM.Service,
			Plain:   true,
			Zone:    st.VM.Zone,
			Slots:   st.Report.Slots,
			Report:  st.Report,

			FreshUntil: st.HeardAt.Add(FreshFor),
		}
	}
}

// observed tells the observers all VMs while this node holds the lease or may
// claim it.
func (s *Service) observed(now time.Time) []kernel.Effect {
	if !s.observes(now) {
		s.observedSince = time.Time{}
		return nil
	}
	if s.observedSince.IsZero() {
		s.observedSince = now
	}
	msg := Observed{VMs: s.Observations(), Models: s.models}
	s.dropSilent(now)
	var out []kernel.Effect
	for _, name := range s.observers {
		out = append(out, kernel.Send{To: name, Msg: msg})
	}
	return out
}

// Eligible returns the upstreams that may take work, by id.
func (s *Service) Eligible() []Upstream {
	out := make([]Upstream, 0, len(s.eligible))
	for _, id := range slices.Sorted(maps.Keys(s.eligible)) {
		out = append(out, s.eligible[id])
	}
	return out
}

// Watches reports whether a replica is in this node's share.
func (s *Service) Watches(replica string) bool { return s.assigned[replica] }

// Observations returns what is known of all VMs, by id.
func (s *Service) Observations() []Observation {
	out := make([]Observation, 0, len(s.vms))
	for _, id := range slices.Sorted(maps.Keys(s.vms)) {
		out = append(out, s.observation(s.vms[id]))
	}
	return out
}

// Models returns the weight store's models as last read.
func (s *Service) Models() port.ModelList { return s.models }
