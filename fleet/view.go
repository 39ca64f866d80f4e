package fleet

import (
	"slices"
	"strings"
	"time"
)

// Target is an upstream that may take requests: a complete, open replica or a
// VM of a plain service.
type Target struct {
	// ID is the id of the VM that takes the requests.
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
	// EndingSince is since when a member other than the head has been leaving, by
	// the boot clock; 0 if none is. The replica serves until the member is gone.
	EndingSince time.Duration
}

// View is what a node believes at one moment.
type View struct {
	// Config is nil before the first configuration arrived.
	Config *Config
	// ConfigProvenAt is when the last read was sent that proved the
	// configuration to be current, by the boot clock.
	ConfigProvenAt time.Duration
	// VMs holds all known VMs by id.
	VMs map[string]VM
	// targets holds what may take requests by service and model.
	targets map[pool][]Target
}

// Instance tells the target from others and from former replicas of its VM.
func (t *Target) Instance() string { return t.ID + " " + t.Replica }

type pool struct{ service, model string }

// NewView derives the targets from the VMs.
func NewView(c *Config, provenAt time.Duration, vms map[string]VM) *View {
	v := &View{Config: c, ConfigProvenAt: provenAt, VMs: vms, targets: map[pool][]Target{}}
	if c == nil {
		return v
	}
	for _, r := range Replicas(vms) {
		v.addReplica(&r)
	}
	for _, vm := range vms {
		s, ok := c.Services[vm.Service]
		if ok && s.Engine == nil && !vm.Leaving && !vm.Lapsed {
			v.add(vm, Target{Slots: vm.Slots})
		}
	}
	for _, list := range v.targets {
		slices.SortFunc(list, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	}
	return v
}

// addReplica adds a replica if it is complete and open.
func (v *View) addReplica(r *Replica) {
	s, ok := v.Config.Services[r.Service]
	if !ok || s.Engine == nil {
		return
	}
	m, ok := s.Engine.Model(r.Model)
	if !ok || len(r.Members) != m.Size {
		return
	}
	head := r.Members[0]
	if head.Member.Rank != 0 || head.Member.State != MemberOpen || head.Lapsed {
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
		if vm.Leaving && (t.EndingSince == 0 || vm.LeavingSince < t.EndingSince) {
			t.EndingSince = vm.LeavingSince
		}
	}
	v.add(head, t)
}

// add completes a target by its VM.
func (v *View) add(vm VM, t Target) {
	t.ID, t.Service, t.Address, t.Zone, t.Boot = vm.ID, vm.Service, vm.Address, vm.Zone, vm.Boot
	p := pool{t.Service, t.Model}
	v.targets[p] = append(v.targets[p], t)
}

// TargetOf returns a replica that may take requests by its name.
func (v *View) TargetOf(replica string) (Target, bool) {
	for _, list := range v.targets {
		for _, t := range list {
			if t.Replica == replica {
				return t, true
			}
		}
	}
	return Target{}, false
}

// Targets returns what may take requests of a service for a model, by id. The
// model is empty for a plain service.
func (v *View) Targets(service, model string) []Target {
	return v.targets[pool{service, model}]
}
