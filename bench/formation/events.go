package formation

import (
	"container/heap"
	"math"
	"time"

	"github.com/tamarackcleat/tamarackcleat/port"
)

// applyFault starts a fault and schedules its end.
func (r *run) applyFault(f Fleet, x fault) {
	switch x.kind {
	case faultVMFailure, faultRestart:
		r.stopVM(r.vms[x.target], x.duration)
	case faultReplace:
		r.replace(r.vms[x.target], x.duration)
	case faultDomainOutage:
		r.makeUnreachable(func(v *vm) bool { return v.domain == x.target }, x.duration)
	case faultZoneOutage:
		r.makeUnreachable(func(v *vm) bool { return v.domain%f.Zones == x.target }, x.duration)
	case faultPause:
		paused := r.vms[x.target]
		r.makeUnreachable(func(v *vm) bool { return v == paused }, x.duration)
	case faultStraggler:
		r.vms[x.target].slowUntil = r.now + x.duration
	case faultLogOutage:
		r.logOutages++
		r.schedule(r.now+x.duration, func() { r.logOutages-- })
	}
}

// stopVM makes a VM unreachable. The VM, or the one that replaces it, becomes
// reachable again after duration, without weights and without a replica.
func (r *run) stopVM(v *vm, duration time.Duration) {
	r.markUnreachable(v)
	v.state = port.EngineIdle
	v.heldModel = ""
	v.inDissolvedReplica = false
	v.restarted = v.replica != nil && v.joined
	v.joined = false
	r.schedule(r.now+duration, func() { r.endFault(v) })
}

// replace announces that a VM leaves, and stops it after leaveNotice. It ignores
// a VM that is unreachable or leaving.
func (r *run) replace(v *vm, duration time.Duration) {
	if v.unreachableFaults > 0 || v.vm.Leaving {
		return
	}
	v.vm.Leaving = true
	r.schedule(r.now+leaveNotice, func() {
		v.vm.Leaving = false
		r.stopVM(v, duration)
	})
}

// makeUnreachable makes the affected VMs unreachable for duration. Their state is
// kept.
func (r *run) makeUnreachable(affected func(*vm) bool, duration time.Duration) {
	for _, v := range r.vms {
		if !affected(v) {
			continue
		}
		r.markUnreachable(v)
		r.schedule(r.now+duration, func() { r.endFault(v) })
	}
}

// endFault ends one of the faults that make a VM unreachable. If it was the last of
// them, the VM leaves its replica if that was dissolved meanwhile, or joins the
// replica that was formed with the VM meanwhile.
func (r *run) endFault(v *vm) {
	v.unreachableFaults--
	switch {
	case v.unreachableFaults > 0:
	case v.inDissolvedReplica:
		v.inDissolvedReplica = false
		r.leave(v, brokenLeaveTime)
	case v.replica != nil && !v.joined && !v.restarted:
		r.join(v)
	}
}

func (r *run) markUnreachable(v *vm) {
	if v.unreachableFaults == 0 {
		v.lastObserved = v.report()
		v.unreachableSince = r.now
		r.schedule(r.now+r.lostAfter, func() {})
	}
	v.unreachableFaults++
}

// loadSpeeds returns the speed of each VM that loads weights, in bytes per
// second: an equal share of the store's rate, at most the rate of the VM's link,
// and stragglerSpeed times that for a straggler.
func (r *run) loadSpeeds() map[*vm]float64 {
	speeds := map[*vm]float64{}
	for _, v := range r.vms {
		if v.state == port.EngineLoading && v.unreachableFaults == 0 {
			speeds[v] = 0
		}
	}
	share := math.Min(vmBytesPerSecond, storeBytesPerSecond/float64(max(1, len(speeds))))
	for v := range speeds {
		speeds[v] = share
		if r.now < v.slowUntil {
			speeds[v] = share * stragglerSpeed
		}
	}
	return speeds
}

// nextLoaded returns the time at which the next VM completes its load at the
// given speeds.
func (r *run) nextLoaded(speeds map[*vm]float64) time.Duration {
	next := time.Duration(math.MaxInt64)
	for v, speed := range speeds {
		left := time.Duration(v.bytesToLoad / speed * float64(time.Second))
		next = min(next, r.now+left+time.Millisecond)
	}
	return next
}

// load advances all loads by a time span. A VM that completes its load is ready.
func (r *run) load(speeds map[*vm]float64, span time.Duration) {
	for v, speed := range speeds {
		v.bytesToLoad -= speed * span.Seconds()
		if v.bytesToLoad > 0 {
			continue
		}
		v.state = port.EngineReady
		if v.replica != nil {
			v.heldModel = v.replica.Model
		}
		r.planSoon()
	}
}

// event is a function to call at a simulated time. seq orders events of equal
// times by when they were scheduled.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

func (r *run) schedule(at time.Duration, do func()) {
	r.seq++
	heap.Push(&r.events, event{at: at, seq: r.seq, do: do})
}

// eventHeap is a heap of events, earliest first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (h *eventHeap) pop() event { return heap.Pop(h).(event) }
