package fleet

import (
	"iter"
	"maps"
	"time"
)

// Target is an upstream that may take requests: the head of a complete, open
// replica or a VM of a plain service.
type Target struct {
	// ID is the ID of the VM that receives the requests; for a replica, its
	// head.
	ID string
	// Replica is empty for a plain service.
	Replica    string
	Generation int64
	// Model is empty for a plain service.
	Model   string
	Service string
	Address string
	Zone    string
	Slots   int
	Boot    int64
	// MemberLeavingSince is the time, by the boot clock, at which the first of
	// the replica's members other than the head was known to be leaving; 0 if
	// none is. The replica serves until that member is gone.
	MemberLeavingSince time.Duration
	// ColdUntil is VM.ColdUntil of the VM that receives the requests.
	ColdUntil time.Duration
}

// View is what a node knows about the deployment at one moment.
type View struct {
	// Config is nil until the first configuration has arrived.
	Config *Config
	// ConfigVerifiedAt is the time, by the boot clock, at which the node sent
	// the last read that proved the configuration to be current.
	ConfigVerifiedAt time.Duration
	// evacuated holds the availability zones that are evacuated.
	evacuated map[string]bool
	// returnedAt holds when this node saw the evacuations of zones end, by the boot clock.
	returnedAt map[string]time.Duration
	// vms holds all known VMs, count of them; all is the same as one map, made when
	// it is first asked for.
	vms   shards
	count int
	all   func() map[string]VM
	// targets holds the targets by service and model.
	targets map[poolKey][]Target
}

// InstanceKey returns an identifier that differs between targets, and between
// successive replicas with the same head.
func (t *Target) InstanceKey() string { return t.ID + " " + t.Replica }

// Incarnation returns the run of the VM's process that takes the requests.
func (t *Target) Incarnation() Incarnation { return Incarnation{t.ID, t.Boot} }

type poolKey struct{ service, model string }

// NewView returns a view with the targets that follow from the VMs. It has none
// if the configuration is nil.
func NewView(c *Config, verifiedAt time.Duration, vms map[string]VM) *View {
	b := NewBuilder()
	b.SetConfig(c)
	for _, vm := range vms {
		b.Put(vm)
	}
	return b.View(verifiedAt)
}

// VM returns the VM with the given ID; false if there is none.
func (v *View) VM(id string) (VM, bool) { return v.vms.get(id) }

// Evacuated reports whether an availability zone is evacuated: upstreams in it get no new
// requests. A replica counts as in the zone of its head.
func (v *View) Evacuated(zone string) bool { return v.evacuated[zone] }

// ColdUntil returns until when a VM counts as cold, by the boot clock; 0 if it is not, or
// if VMs of its service never are. A VM whose zone returned from an evacuation counts as
// cold, because its process may have started again meanwhile.
func (v *View) ColdUntil(vm VM) time.Duration {
	if v.Config == nil {
		return 0
	}
	s := v.Config.Services[vm.Service]
	if s.ColdTime <= 0 || s.ColdPerSecond <= 0 {
		return 0
	}
	if at, returned := v.returnedAt[vm.Zone]; returned {
		return max(vm.ColdUntil, at+s.ColdTime)
	}
	return vm.ColdUntil
}

// TargetColdUntil is ColdUntil of the VM that receives the requests of a target.
func (v *View) TargetColdUntil(t Target) time.Duration {
	return v.ColdUntil(VM{Service: t.Service, Zone: t.Zone, ColdUntil: t.ColdUntil})
}

// Len returns the number of VMs.
func (v *View) Len() int { return v.count }

// All iterates over all VMs in no order.
func (v *View) All() iter.Seq[VM] {
	return func(yield func(VM) bool) {
		for _, shard := range v.vms {
			for _, vm := range shard {
				if !yield(vm) {
					return
				}
			}
		}
	}
}

// VMs returns all VMs by ID. The map must not be changed. The first call for a view
// takes a time that grows with the number of VMs.
func (v *View) VMs() map[string]VM { return v.all() }

// merge returns all VMs as one map.
func (s *shards) merge(count int) map[string]VM {
	out := make(map[string]VM, count)
	for _, shard := range s {
		maps.Copy(out, shard)
	}
	return out
}

// servingTarget returns the target that a replica is under a configuration. It returns
// false unless the replica is complete and open and its head is listed and not leaving.
func servingTarget(c *Config, r *Replica) (Target, bool) {
	s, ok := c.Services[r.Service]
	if !ok || s.Engine == nil {
		return Target{}, false
	}
	m, ok := s.Engine.Model(r.Model)
	if !ok || len(r.Members) != m.Size {
		return Target{}, false
	}
	head := r.Members[0]
	if head.Member.Rank != 0 || head.Member.State != MemberOpen || head.Unlisted || head.Leaving {
		return Target{}, false
	}
	t := Target{Replica: r.Name, Generation: r.Generation, Model: r.Model, Slots: s.Engine.Slots}
	for _, vm := range r.Members {
		if vm.Member.State == MemberJoining || vm.Member.State == MemberBroken {
			return Target{}, false
		}
		if vm.Leaving && (t.MemberLeavingSince == 0 || vm.LeavingSince < t.MemberLeavingSince) {
			t.MemberLeavingSince = vm.LeavingSince
		}
	}
	return newTarget(head, t), true
}

// newTarget returns t with the fields that come from its VM.
func newTarget(vm VM, t Target) Target {
	t.ID, t.Service, t.Address, t.Zone, t.Boot, t.ColdUntil = vm.ID, vm.Service, vm.Address, vm.Zone, vm.Boot, vm.ColdUntil
	return t
}

// TargetByReplica returns the target of the replica with the given name; false
// if that replica can't take requests.
func (v *View) TargetByReplica(replica string) (Target, bool) {
	for _, list := range v.targets {
		for _, t := range list {
			if t.Replica == replica {
				return t, true
			}
		}
	}
	return Target{}, false
}

// Targets returns the targets for a model of a service, sorted by ID. The model
// is empty for a plain service.
func (v *View) Targets(service, model string) []Target {
	return v.targets[poolKey{service, model}]
}
