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

// membership is what a VM reported about its replica.
type membership struct {
	vm         port.VMID
	replica    string
	generation int64
}

// reportWatch collects the VMs' reports during a spec.
type reportWatch struct {
	mu sync.Mutex
	// seen holds every membership that was reported.
	seen map[membership]bool
	// highest holds the highest generation by VM and boot.
	highest map[string]int64
	// stepsBack describes reports whose generation is lower than before.
	stepsBack []string
}

// watchReports asks all VMs for reports until the spec ends.
func watchReports(w *world) *reportWatch {
	watch := &reportWatch{seen: map[membership]bool{}, highest: map[string]int64{}}
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, v := range w.vms {
		wg.Go(func() {
			for ctx.Err() == nil {
				watch.look(ctx, v)
				select {
				case <-time.After(pollEvery):
				case <-ctx.Done():
				}
			}
		})
	}
	DeferCleanup(func() {
		stop()
		wg.Wait()
	})
	return watch
}

func (w *reportWatch) look(ctx context.Context, v *vm) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var r port.Report
	code, err := askWithin(ctx, http.MethodGet, "http://"+v.address+"/v1/report", nil, nil, &r)
	if err != nil || code != http.StatusOK || r.Replica == "" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen[membership{r.VM, r.Replica, r.Generation}] = true
	if was := w.highest[r.Boot]; r.Generation < was {
		w.stepsBack = append(w.stepsBack, fmt.Sprintf("%s went from generation %d back to %d", r.VM, was, r.Generation))
	}
	w.highest[r.Boot] = max(w.highest[r.Boot], r.Generation)
}

// controlHistory is what the control stream of the log says.
type controlHistory struct {
	// formed holds every membership of an accepted formation.
	formed map[membership]bool
	// rejected counts formations and dissolutions without effect.
	rejected int
	// live holds the replicas at the end.
	live []ledger.Replica
	// shared describes VMs that were in two live replicas.
	shared []string
}

// control reads the whole control stream.
func (w *world) control() controlHistory {
	GinkgoHelper()
	h := controlHistory{formed: map[membership]bool{}}
	control := ledger.NewControl()
	for _, e := range w.entries(record.StreamControl) {
		group, err := record.Decode(e.Data)
		Expect(err).NotTo(HaveOccurred())
		for i, r := range group.Records {
			h.apply(control, record.At(e.Offset, i), r)
		}
	}
	h.live = control.Replicas()
	return h
}

// apply applies one record and looks for VMs in two live replicas.
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
				h.shared = append(h.shared, fmt.Sprintf("%s in %s and %s at %d", id, other, live.Name, pos))
			}
			owner[id] = live.Name
		}
	}
}

// entries reads a stream of the log.
func (w *world) entries(stream string) []port.Entry {
	GinkgoHelper()
	var all []port.Entry
	for {
		var part port.ReadResult
		url := fmt.Sprintf("http://%s/v1/streams/%s/entries?from=%d&max=1024", w.logAddress, stream, len(all))
		_, err := ask(http.MethodGet, url, nil, &part)
		Expect(err).NotTo(HaveOccurred())
		all = append(all, part.Entries...)
		if len(part.Entries) == 0 || int64(len(all)) >= part.NextOffset {
			return all
		}
	}
}

// expectOneReplicaPerVM requires that no VM was in two live replicas by the
// log, that no VM obeyed an order of a replica that the log does not have, and
// that no VM went back to an older generation. The checks fail if a VM obeys
// an order with an old fencing number, or one of a rejected formation.
func (w *world) expectOneReplicaPerVM() {
	GinkgoHelper()
	h := w.control()
	Expect(h.shared).To(BeEmpty())
	w.watch.mu.Lock()
	defer w.watch.mu.Unlock()
	Expect(w.watch.stepsBack).To(BeEmpty())
	Expect(w.watch.seen).NotTo(BeEmpty())
	for m := range w.watch.seen {
		Expect(h.formed).To(HaveKey(m), "a VM obeyed an order that the log does not have")
	}
}

// awaitFollowing waits until the log has so many live replicas, each member
// reports its replica ready, and nodes route to all of them.
func (w *world) awaitFollowing(count int, nodes ...*node) {
	GinkgoHelper()
	Eventually(func() string { return w.disagreement(count) }).Should(BeEmpty())
	w.awaitServing(count, nodes...)
}

// disagreement says where the reports differ from the log.
func (w *world) disagreement(count int) string {
	live := w.control().live
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

// replicaOf returns the live replica of a VM by the log.
func (w *world) replicaOf(v *vm) (ledger.Replica, bool) {
	for _, r := range w.control().live {
		for _, id := range r.VMs {
			if id == v.id {
				return r, true
			}
		}
	}
	return ledger.Replica{}, false
}
