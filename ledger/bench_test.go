package ledger_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/tamarackcleat/tamarackcleat/ledger"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
)

// liveHeapBytes returns the size of the live heap after a garbage collection.
func liveHeapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// applyCall applies a claim and an outcome for the i-th idempotency key.
func applyCall(c *ledger.Calls, i int) {
	at := int64(1_700_000_000_000) + int64(i)
	key := fmt.Sprintf("team/019a0000-0000-7000-8000-%012d", i)
	attempt := fmt.Sprintf("019a0000-0000-7000-9000-%012d", i)
	pos := record.At(int64(2*i), 0)
	c.Apply(pos, record.Record{ID: "c" + key, AtMillis: at, Claim: &record.CallClaim{
		Key: key, KeyMillis: at, Digest: "0123456789abcdef0123456789abcdef", Class: "confirm", Attempt: attempt, Node: "0123456789ab",
	}})
	c.Apply(pos+1, record.Record{ID: "o" + key, AtMillis: at, Outcome: &record.CallOutcome{
		Key: key, Attempt: attempt, Body: []byte(`{"confirmation":"0123456789","state":"confirmed"}`),
	}})
}

// BenchmarkCalls applies a claim and an outcome per operation and reports the
// memory per key in the ledger.
func BenchmarkCalls(b *testing.B) {
	before := liveHeapBytes()
	c := ledger.NewCalls()
	n := 0
	for b.Loop() {
		applyCall(c, n)
		n++
	}
	b.ReportMetric(float64(liveHeapBytes()-before)/float64(max(1, c.Len())), "B/key")
	runtime.KeepAlive(c)
}

// controlWithReplicas returns a control ledger with a number of replicas of
// eight VMs each.
func controlWithReplicas(replicas int) *ledger.Control {
	c := ledger.NewControl()
	term := record.At(0, 0)
	c.Apply(term, record.Record{ID: "lease", Lease: &record.LeaseClaim{Holder: "n", TTLMillis: 5000}})
	for i := range replicas {
		vms := make([]port.VMID, 8)
		for v := range vms {
			vms[v] = port.VMID(fmt.Sprintf("vm-%06d", 8*i+v))
		}
		c.Apply(record.At(int64(i+1), 0), record.Record{ID: fmt.Sprintf("f%d", i), Form: &record.Formation{
			Term: term, Replica: fmt.Sprintf("replica-%06d", i), Model: "draft-70b", VMs: vms,
		}})
	}
	return c
}

// BenchmarkControl measures building a control ledger and reports its memory
// and the size of its checkpoint, both per replica.
func BenchmarkControl(b *testing.B) {
	for _, replicas := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			before := liveHeapBytes()
			var c *ledger.Control
			for b.Loop() {
				c = controlWithReplicas(replicas)
			}
			b.ReportMetric(float64(liveHeapBytes()-before)/float64(replicas), "B/replica")
			state, err := c.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(state))/float64(replicas), "checkpoint-B/replica")
		})
	}
}
