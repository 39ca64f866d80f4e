package formation

import (
	"container/heap"
	"math"
	"time"

	"github.com/tamarackcleat/tamarackcleat/port"
)

// strike starts a fault and schedules its end.
func (r *run) strike(f Fleet, x fault) {
	switch x.kind {
	case faultDeath, faultRestart:
		r.kill(r.vms[x.target], x.lasts)
	case faultReplace:
		r.replace(r.vms[x.target], x.lasts)
	case faultDomain:
		r.darken(func(v *vm) bool { return v.domain == x.target }, x.lasts)
	case faultZone:
		r.darken(func(v *vm) bool { return v.domain%f.Zones == x.target }, x.lasts)
	case faultPause:
		paused := r.vms[x.target]
		r.darken(func(v *vm) bool { return v == paused }, x.lasts)
	case faultStraggler:
		r.vms[x.target].slowUntil = r.now + x.lasts
	case faultLog:
		r.logDown++
		r.schedule(r.now+x.lasts, func() { r.logDown-- })
	}
}

// kill takes a VM down; it comes back empty.
func (r *run) kill(v *vm, lasts time.Duration) {
	r.goDark(v)
	v.state = port.EngineIdle
	v.holds = ""
	v.former = false
	v.restarted = v.replica != nil && v.joined
	v.joined = false
	r.schedule(r.now+lasts, func() { r.comeBack(v) })
}

// replace announces a VM's end, then takes it down.
func (r *run) replace(v *vm, lasts time.Duration) {
	if v.dark > 0 || v.vm.Leaving {
		return
	}
	v.vm.Leaving = true
	r.schedule(r.now+leaveNotice, func() {
		v.vm.Leaving = false
		r.kill(v, lasts)
	})
}

// darken puts VMs out of reach; they come back as if nothing had happened.
func (r *run) darken(hit func(*vm) bool, lasts time.Duration) {
	for _, v := range r.vms {
		if !hit(v) {
			continue
		}
		r.goDark(v)
		r.schedule(r.now+lasts, func() { r.comeBack(v) })
	}
}

// comeBack ends one fault of a VM. Once it is within reach it is ordered to
// follow the ledger.
func (r *run) comeBack(v *vm) {
	v.dark--
	switch {
	case v.dark > 0:
	case v.former:
		v.former = false
		r.leave(v, finishBroken)
	case v.replica != nil && !v.joined && !v.restarted:
		r.join(v)
	}
}

func (r *run) goDark(v *vm) {
	if v.dark == 0 {
		v.last = v.report()
		v.darkSince = r.now
		r.schedule(r.now+r.lostAfter, func() {})
	}
	v.dark++
}

// loadSpeeds returns the loading speed of each VM in bytes a second: an equal
// share of the store, at most what its link carries, less for a straggler.
func (r *run) loadSpeeds() map[*vm]float64 {
	speeds := map[*vm]float64{}
	for _, v := range r.vms {
		if v.state == port.EngineLoading && v.dark == 0 {
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

// nextLoaded returns when the next VM has loaded its weights.
func (r *run) nextLoaded(speeds map[*vm]float64) time.Duration {
	next := time.Duration(math.MaxInt64)
	for v, speed := range speeds {
		left := time.Duration(v.toLoad / speed * float64(time.Second))
		next = min(next, r.now+left+time.Millisecond)
	}
	return next
}

// load moves loading on by a time span.
func (r *run) load(speeds map[*vm]float64, span time.Duration) {
	for v, speed := range speeds {
		v.toLoad -= speed * span.Seconds()
		if v.toLoad > 0 {
			continue
		}
		v.state = port.EngineReady
		if v.replica != nil {
			v.holds = v.replica.Model
		}
		r.changed()
	}
}

// todo is something to do at a time; seq keeps equal times in order.
type todo struct {
	at  time.Duration
	seq int
	do  func()
}

func (r *run) schedule(at time.Duration, do func()) {
	r.seq++
	heap.Push(&r.todo, todo{at: at, seq: r.seq, do: do})
}

// todoHeap orders what is to be done by time.
type todoHeap []todo

func (h todoHeap) Len() int { return len(h) }
func (h todoHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h todoHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *todoHeap) Push(x any) { *h = append(*h, x.(todo)) }

// Pop implements heap.Interface.
func (h *todoHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (h *todoHeap) pop() todo { return heap.Pop(h).(todo) }
