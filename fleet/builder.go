package fleet

import (
	"hash/maphash"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// shardCount is the number of parts into which the VMs are divided. Views share the
// parts that did not change between them.
const shardCount = 256

// shards holds VMs by ID, divided by a hash of the ID.
type shards [shardCount]map[string]VM

var shardSeed = maphash.MakeSeed()

func shardOf(id string) int { return int(maphash.String(shardSeed, id) % shardCount) }

func (s *shards) get(id string) (VM, bool) {
	vm, ok := s[shardOf(id)][id]
	return vm, ok
}

// replicaKey identifies a formation of a replica.
type replicaKey struct {
	name       string
	generation int64
}

func keyOfMember(vm VM) replicaKey { return replicaKey{vm.Member.Replica, vm.Member.Generation} }

// Builder makes views of a deployment whose VMs change one at a time. The cost of a
// view follows from what changed since the one before, not from the number of VMs. A
// Builder is not safe for concurrent use; its views are.
type Builder struct {
	config *Config
	// evacuated holds the evacuated zones.
	evacuated map[string]bool
	// returnedAt holds when evacuations ended.
	returnedAt map[string]time.Duration
	vms        shards
	count      int
	// shared says for each shard that a view holds it, so that it must be copied
	// before it is changed.
	shared [shardCount]bool
	// members holds the IDs of the VMs that report a membership, by replica.
	members map[replicaKey]map[string]bool
	// dirtyReplicas and dirtyVMs name what changed since the last view: replicas, and
	// VMs that belong to none.
	dirtyReplicas map[replicaKey]bool
	dirtyVMs      map[string]bool
	// targets holds the targets by service and model, sorted by ID. Views share the
	// lists, which are replaced and never changed.
	targets map[poolKey][]Target
	// replicaTargets and plainTargets hold the same targets by replica and by VM.
	replicaTargets map[replicaKey]Target
	plainTargets   map[string]Target
}

// NewBuilder returns a Builder without a configuration and without VMs.
func NewBuilder() *Builder {
	b := &Builder{members: map[replicaKey]map[string]bool{}}
	b.resetTargets()
	return b
}

// resetTargets drops all targets and marks everything as changed.
func (b *Builder) resetTargets() {
	b.targets = map[poolKey][]Target{}
	b.replicaTargets, b.plainTargets = map[replicaKey]Target{}, map[string]Target{}
	b.dirtyReplicas, b.dirtyVMs = map[replicaKey]bool{}, map[string]bool{}
	for key := range b.members {
		b.dirtyReplicas[key] = true
	}
	for _, shard := range b.vms {
		for id := range shard {
			b.dirtyVMs[id] = true
		}
	}
}

// SetConfig replaces the configuration, on which all targets depend.
func (b *Builder) SetConfig(c *Config) {
	b.config = c
	b.resetTargets()
}

// Config returns the configuration; nil until SetConfig is called.
func (b *Builder) Config() *Config { return b.config }

// SetEvacuated replaces the evacuated zones, and the times of the boot clock at which the
// evacuations of others ended. Views share the maps, so they must not be changed afterwards.
func (b *Builder) SetEvacuated(zones map[string]bool, returnedAt map[string]time.Duration) {
	b.evacuated, b.returnedAt = zones, returnedAt
}

// VM returns the VM with the given ID.
func (b *Builder) VM(id string) (VM, bool) { return b.vms.get(id) }

// Len returns the number of VMs.
func (b *Builder) Len() int { return b.count }

// IDs returns the IDs of all VMs, in no order.
func (b *Builder) IDs() []string {
	out := make([]string, 0, b.count)
	for _, shard := range b.vms {
		for id := range shard {
			out = append(out, id)
		}
	}
	return out
}

// Put adds a VM or replaces the one with its ID.
func (b *Builder) Put(vm VM) {
	shard := b.ownShard(vm.ID)
	if was, known := shard[vm.ID]; known {
		b.forget(was)
	} else {
		b.count++
	}
	shard[vm.ID] = vm
	b.dirtyVMs[vm.ID] = true
	if vm.Member.Replica == "" {
		return
	}
	key := keyOfMember(vm)
	if b.members[key] == nil {
		b.members[key] = map[string]bool{}
	}
	b.members[key][vm.ID] = true
	b.dirtyReplicas[key] = true
}

// Touch replaces a VM by one that differs only in what targets don't depend on.
func (b *Builder) Touch(vm VM) { b.ownShard(vm.ID)[vm.ID] = vm }

// Remove removes the VM with the given ID, if there is one.
func (b *Builder) Remove(id string) {
	was, known := b.vms.get(id)
	if !known {
		return
	}
	b.forget(was)
	delete(b.ownShard(id), id)
	b.dirtyVMs[id] = true
	b.count--
}

// forget removes a VM from its replica.
func (b *Builder) forget(vm VM) {
	if vm.Member.Replica == "" {
		return
	}
	key := keyOfMember(vm)
	delete(b.members[key], vm.ID)
	if len(b.members[key]) == 0 {
		delete(b.members, key)
	}
	b.dirtyReplicas[key] = true
}

// ownShard returns the shard of a VM; no view holds it.
func (b *Builder) ownShard(id string) map[string]VM {
	i := shardOf(id)
	switch {
	case b.vms[i] == nil:
		b.vms[i] = map[string]VM{}
	case b.shared[i]:
		b.vms[i] = maps.Clone(b.vms[i])
	}
	b.shared[i] = false
	return b.vms[i]
}

// View returns a view of the present state. verifiedAt is View.ConfigVerifiedAt.
func (b *Builder) View(verifiedAt time.Duration) *View {
	b.updateTargets()
	for i := range b.shared {
		b.shared[i] = true
	}
	v := &View{Config: b.config, ConfigVerifiedAt: verifiedAt, evacuated: b.evacuated, returnedAt: b.returnedAt, vms: b.vms, count: b.count, targets: b.targets}
	v.all = sync.OnceValue(func() map[string]VM { return v.vms.merge(v.count) })
	return v
}

// updateTargets brings the targets in line with the VMs and the configuration.
func (b *Builder) updateTargets() {
	if b.config == nil {
		return
	}
	changes := targetChanges{}
	for key := range b.dirtyReplicas {
		t, serves := b.replicaTarget(key)
		replaceTarget(changes, b.replicaTargets, key, t, serves)
	}
	for id := range b.dirtyVMs {
		t, serves := b.plainTarget(id)
		replaceTarget(changes, b.plainTargets, id, t, serves)
	}
	clear(b.dirtyReplicas)
	clear(b.dirtyVMs)
	if len(changes) == 0 {
		return
	}
	targets := maps.Clone(b.targets)
	for pool, change := range changes {
		targets[pool] = change.apply(targets[pool])
	}
	b.targets = targets
}

// replicaTarget returns the target that a replica is; false if it can't take requests.
func (b *Builder) replicaTarget(key replicaKey) (Target, bool) {
	ids := b.members[key]
	if len(ids) == 0 {
		return Target{}, false
	}
	members := make([]VM, 0, len(ids))
	for id := range ids {
		vm, _ := b.vms.get(id)
		members = append(members, vm)
	}
	r := newReplica(key, members)
	return servingTarget(b.config, &r)
}

// plainTarget returns the target that a VM of a plain service is; false if the VM is
// none or can't take requests.
func (b *Builder) plainTarget(id string) (Target, bool) {
	vm, known := b.vms.get(id)
	if !known || vm.Leaving || vm.Unlisted {
		return Target{}, false
	}
	s, ok := b.config.Services[vm.Service]
	if !ok || s.Engine != nil {
		return Target{}, false
	}
	return newTarget(vm, Target{Slots: vm.Slots}), true
}

// instance identifies a target in a list, like Target.InstanceKey.
type instance struct{ id, replica string }

func instanceOf(t Target) instance { return instance{t.ID, t.Replica} }

// targetChange holds the instances of the targets to remove from a list and the targets to
// add to it.
type targetChange struct {
	removed map[instance]bool
	added   []Target
}

// targetChanges holds changes by list.
type targetChanges map[poolKey]*targetChange

func (c targetChanges) of(t Target) *targetChange {
	pool := poolKey{t.Service, t.Model}
	if c[pool] == nil {
		c[pool] = &targetChange{removed: map[instance]bool{}}
	}
	return c[pool]
}

// replaceTarget notes the change from the target that current holds under a key to t,
// or to none if serves is false, and updates current.
func replaceTarget[K comparable](changes targetChanges, current map[K]Target, key K, t Target, serves bool) {
	was, served := current[key]
	if served == serves && was == t {
		return
	}
	if served {
		changes.of(was).removed[instanceOf(was)] = true
		delete(current, key)
	}
	if serves {
		change := changes.of(t)
		change.added = append(change.added, t)
		current[key] = t
	}
}

// apply returns a new list with the changes, sorted by ID like the old one.
func (c *targetChange) apply(list []Target) []Target {
	slices.SortFunc(c.added, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	out := make([]Target, 0, len(list)+len(c.added))
	added := c.added
	for _, t := range list {
		for len(added) > 0 && added[0].ID < t.ID {
			out, added = append(out, added[0]), added[1:]
		}
		if len(c.removed) == 0 || !c.removed[instanceOf(t)] {
			out = append(out, t)
		}
	}
	return append(out, added...)
}
