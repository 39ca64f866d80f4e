package fleet

import (
	"slices"
	"strings"
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
	// EndingSince is the time, by the boot clock, at which the first of the
	// replica's members other than the head was known to be leaving; 0 if none
	// is. The replica serves until that member is gone.
	MemberLeavingSince time.Duration
}

// View is what a node knows about the deployment at one moment.
type View struct {
	// Config is nil until the first configuration has arrived.
	Config *Config
	// ConfigProvenAt is the time, by the boot clock, at which the node sent the
	// last read that proved the configuration to be current.
	ConfigVerifiedAt time.Duration
	// VMs holds all known VMs by ID.
	VMs map[string]VM
	// targets holds the targets by service and model.
	targets map[poolKey][]Target
}

// Instance returns an identifier that differs between targets, and between
// successive replicas with the same head.
func (t *Target) InstanceKey() string { return t.ID + " " + t.Replica }

type poolKey struct{ service, model string }

// NewView returns a view with the targets that follow from the VMs. It has none
// if the configuration is nil.
func NewView(c *Config, verifiedAt time.Duration, vms map[string]VM) *View {
	v := &View{Config: c, ConfigVerifiedAt: verifiedAt, VMs: vms, targets: map[poolKey][]Target{}}
	if c == nil {
		return v
	}
	for _, r := range Replicas(vms) {
		v.addIfServing(&r)
	}
	for _, vm := range vms {
		s, ok := c.Services[vm.Service]
		if ok && s.Engine == nil && !vm.Leaving && !vm.Unlisted {
			v.addTarget(vm, Target{Slots: vm.Slots})
		}
	}
	for _, list := range v.targets {
		slices.SortFunc(list, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	}
	return v
}

// addIfServing adds a replica's head as a target if the replica is complete and
// open and its head is listed and not leaving.
func (v *View) addIfServing(r *Replica) {
	s, ok := v.Config.Services[r.Service]
	if !ok || s.Engine == nil {
		return
	}
	m, ok := s.Engine.Model(r.Model)
	if !ok || len(r.Members) != m.Size {
		return
	}
	head := r.Members[0]
	if head.Member.Rank != 0 || head.Member.State != MemberOpen || head.Unlisted {
		return
	}
	if head.Leaving {
		return
	}
	t := Target{Replica: r.Name, Generation: r.Generation, Model: r.Model, Slots: s.Engine.Slots}
	for _, vm := range r.Members {
		if vm.Member.State == MemberJoining || vm.Member.State == MemberBroken {
			return
		}
		if vm.Leaving && (t.MemberLeavingSince == 0 || vm.LeavingSince < t.MemberLeavingSince) {
			t.MemberLeavingSince = vm.LeavingSince
		}
	}
	v.addTarget(head, t)
}

// addTarget fills in the target's fields that come from its VM and adds it.
func (v *View) addTarget(vm VM, t Target) {
	t.ID, t.Service, t.Address, t.Zone, t.Boot = vm.ID, vm.Service, vm.Address, vm.Zone, vm.Boot
	p := poolKey{t.Service, t.Model}
	v.targets[p] = append(v.targets[p], t)
}

// TargetOf returns the target of the replica with the given name; false if that
// replica can't take requests.
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
