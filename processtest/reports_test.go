package processtest_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/ledger"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
)

// membership says that a VM belongs to a generation of a replica.
type membership struct {
	vm         port.VMID
	replica    string
	generation int64
}

// reportRecorder collects the reports of all VMs during a spec.
type reportRecorder struct {
	mu sync.Mutex
	// seen holds every membership that was reported.
	seen map[membership]bool
	// highestGeneration holds the highest generation reported during each boot
	// of a VM.
	highestGeneration map[string]int64
	// regressions describes the reports with a lower generation than an earlier
	// report of the same boot.
	regressions []string
}

// recordReports requests reports from all VMs until the end of the spec.
func recordReports(w *world) *reportRecorder {
	recorder := &reportRecorder{seen: map[membership]bool{}, highestGeneration: map[string]int64{}}
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, v := range w.vms {
		wg.Go(func() {
			for ctx.Err() == nil {
				recorder.poll(ctx, v)
				select {
				case <-time.After(pollInterval):
				case <-ctx.Done():
				}
			}
		})
	}
	DeferCleanup(func() {
		stop()
		wg.Wait()
	})
	return recorder
}

// poll requests one report from a VM and records it if the VM is in a replica.
func (w *reportRecorder) poll(ctx context.Context, v *vm) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var r port.Report
	code, err := doJSONContext(ctx, http.MethodGet, "http://"+v.address+"/v1/report", nil, nil, &r)
	if err != nil || code != http.StatusOK || r.Replica == "" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen[membership{r.VM, r.Replica, r.Generation}] = true
	if was := w.highestGeneration[r.Boot]; r.Generation < was {
		w.regressions = append(w.regressions, fmt.Sprintf("%s went back from generation %d to %d", r.VM, was, r.Generation))
	}
	w.highestGeneration[r.Boot] = max(w.highestGeneration[r.Boot], r.Generation)
}

// controlHistory is the result of the records in the control stream.
type controlHistory struct {
	// formed holds the memberships of all accepted formations.
	formed map[membership]bool
	// rejected counts the formations and dissolutions that were not accepted.
	rejected int
	// live holds the live replicas after the last record.
	live []ledger.Replica
	// sharedVMs describes the VMs that were in two live replicas at once.
	sharedVMs []string
}

// readControl reads the whole control stream and applies it to a new ledger.
func (w *world) readControl() controlHistory {
	GinkgoHelper()
	h := controlHistory{formed: map[membership]bool{}}
	control := ledger.NewControl()
	for _, e := range w.readStream(record.StreamControl) {
		group, err := record.Decode(e.Data)
		Expect(err).NotTo(HaveOccurred())
		for i, r := range group.Records {
			h.apply(control, record.At(e.Offset, i), r)
		}
	}
	h.live = control.Replicas()
	return h
}

// apply applies one record and records the VMs that are then in two live replicas.
func (h *controlHistory) apply(control *ledger.Control, pos record.Position, r record.Record) {
	result := control.Apply(pos, r)
	if !result.Accepted && (r.Form != nil || r.Dissolve != nil) {
		h.rejected++
	}
	if result.Accepted && r.Form != nil {
		for _, id := range r.Form.VMs {
			h.formed[membership{id, r.Form.Replica, int64(pos)}] = true
		}
	}
	owner := map[port.VMID]string{}
	for _, live := range control.Replicas() {
		for _, id := range live.VMs {
			if other, taken := owner[id]; taken {
				h.sharedVMs = append(h.sharedVMs, fmt.Sprintf("%s in %s and %s at %d", id, other, live.Name, pos))
			}
			owner[id] = live.Name
		}
	}
}

// readStream reads all entries of a stream of the log.
func (w *world) readStream(stream string) []port.Entry {
	GinkgoHelper()
	var all []port.Entry
	for {
		var part port.ReadResult
		url := fmt.Sprintf("http://%s/v1/streams/%s/entries?from=%d&max=1024", w.logAddress, stream, len(all))
		_, err := doJSON(http.MethodGet, url, nil, &part)
		Expect(err).NotTo(HaveOccurred())
		all = append(all, part.Entries...)
		if len(part.Entries) == 0 || int64(len(all)) >= part.NextOffset {
			return all
		}
	}
}

// expectOneReplicaPerVM requires that no VM was in two live replicas at once
// according to the log, that no VM reported a membership of which the log has no
// accepted formation, and that no VM went back to an older generation. The checks fail
// if a VM obeys an order with an old fencing number, or an order of a rejected
// formation.
func (w *world) expectOneReplicaPerVM() {
	GinkgoHelper()
	h := w.readControl()
	Expect(h.sharedVMs).To(BeEmpty())
	w.reports.mu.Lock()
	defer w.reports.mu.Unlock()
	Expect(w.reports.regressions).To(BeEmpty())
	Expect(w.reports.seen).NotTo(BeEmpty())
	for m := range w.reports.seen {
		Expect(h.formed).To(HaveKey(m), "a VM obeyed an order without an accepted formation in the log")
	}
}

// awaitConvergence waits until the log has count live replicas, each member reports
// that its replica is ready, and the nodes route to count replicas.
func (w *world) awaitConvergence(count int, nodes ...*node) {
	GinkgoHelper()
	Eventually(func() string { return w.reportMismatch(count) }).Should(BeEmpty())
	w.awaitServing(count, nodes...)
}

// reportMismatch describes the first difference between the live replicas in the
// log and the VMs' reports, or says that the number of live replicas is not count.
// It returns an empty string if there is no difference.
func (w *world) reportMismatch(count int) string {
	live := w.readControl().live
	if len(live) != count {
		return fmt.Sprintf("%d live replicas", len(live))
	}
	byID := map[port.VMID]*vm{}
	for _, v := range w.vms {
		byID[v.id] = v
	}
	for _, replica := range live {
		for rank, id := range replica.VMs {
			r, ok := byID[id].report()
			if !ok || r.Replica != replica.Name || r.Generation != int64(replica.Generation) ||
				r.Rank != rank || r.State != port.EngineReady {
				return fmt.Sprintf("%s reports %+v, the log says %+v", id, r, replica)
			}
		}
	}
	return ""
}

// replicaOf returns the live replica that a VM belongs to according to the log.
func (w *world) replicaOf(v *vm) (ledger.Replica, bool) {
	for _, r := range w.readControl().live {
		for _, id := range r.VMs {
			if id == v.id {
				return r, true
			}
		}
	}
	return ledger.Replica{}, false
}
