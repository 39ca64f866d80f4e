package processtest_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/standin/fault"
)

const (
	// noticeSenders is the number of callers that send streams one after the other to
	// each node while VMs pause and leave. They are within what the replicas run.
	noticeSenders = 6
	// pauseMillis is the length of a pause that a VM asks for.
	pauseMillis = 1500
	// leavingHeeded bounds the time, in milliseconds, from the first answer that
	// announces a leaving until requests stop.
	leavingHeeded = 500
	// maxInPause is the largest number of requests in a pause, from half a second after
	// its first refusal on.
	maxInPause = 2
)

// heeded returns what the VM at an address counted of the requests that it didn't want.
func heeded(address string) fault.Heeded {
	GinkgoHelper()
	var h fault.Heeded
	code, err := doJSON(http.MethodGet, "http://"+address+fault.NoticesPath, nil, &h)
	Expect(err).NotTo(HaveOccurred())
	Expect(code).To(Equal(http.StatusOK))
	return h
}

// load is a number of callers that send streams one after the other to one node.
type load struct {
	stop     chan struct{}
	wg       sync.WaitGroup
	answered atomic.Int64
	mu       sync.Mutex
	problems []string
}

// startLoad starts callers of a node. They are stopped at the latest at the end of the
// spec.
func (w *world) startLoad(n *node) *load {
	l := &load{stop: make(chan struct{})}
	for i := range noticeSenders {
		l.wg.Go(func() { l.send(n, i) })
	}
	DeferCleanup(l.finish)
	return l
}

func (l *load) send(n *node, caller int) {
	for turn := 0; ; turn++ {
		select {
		case <-l.stop:
			return
		default:
		}
		s := newStream(n.address, fmt.Sprintf("notices %d of %d", turn, caller), shortAnswerTokens, "")
		<-s.ended
		if s.problem == "" {
			l.answered.Add(1)
			continue
		}
		l.mu.Lock()
		l.problems = append(l.problems, s.problem)
		l.mu.Unlock()
	}
}

// finish ends the load and waits for its last answers.
func (l *load) finish() {
	select {
	case <-l.stop:
	default:
		close(l.stop)
	}
	l.wg.Wait()
}

// heads returns the VMs of rank 0 of all replicas.
func (w *world) heads() []*vm {
	var out []*vm
	for _, v := range w.vms {
		if r, ok := v.report(); ok && r.Rank == 0 && r.State == port.EngineReady {
			out = append(out, v)
		}
	}
	return out
}

// sum returns the sum of a counter over all nodes.
func (w *world) sum(counter string) (total int64) {
	for _, n := range w.nodes {
		total += n.counter(counter)
	}
	return total
}

// Guards against requests that reach a VM in a pause that it asked for, or after it has
// announced its leaving while its reports and the VM list don't say so. All requests
// pass one node, so what a VM counts is what that node sent.
var _ = Describe("VMs that pause in turn and one that announces its leaving", func() {
	var w *world
	BeforeEach(func() { w = newWorld() })

	It("get no request that they don't want, and callers get complete answers", func() {
		n := w.nodes[0]
		l := w.startLoad(n)
		Eventually(l.answered.Load).Should(BeNumerically(">", noticeSenders))
		heads := w.heads()
		Expect(heads).To(HaveLen(wantedReplicas))
		for _, v := range heads {
			before := heeded(v.address)
			setFault(v.address, map[string]any{"pause_ms": pauseMillis})
			Eventually(func() int { return heeded(v.address).Pauses }).Should(Equal(before.Pauses + 1))
			time.Sleep(pauseMillis * time.Millisecond)
			Eventually(func() int {
				h := heeded(v.address)
				return h.Requests - h.Refused
			}).Should(BeNumerically(">", before.Requests), "the VM must get requests again")
		}
		refused := 0
		for _, v := range heads {
			h := heeded(v.address)
			AddReportEntry(v.Name, fmt.Sprintf("%+v", h))
			refused += h.Refused
			Expect(h.MostInPause).To(BeNumerically("<=", maxInPause), v.Name)
		}
		Expect(refused).To(BeNumerically(">=", len(heads)))

		leaving := heads[0]
		setFault(leaving.address, map[string]any{"announce_leaving": true})
		Eventually(func() int64 { return w.sum("controller.dissolve.vm_leaving") }).Should(BeNumerically(">", 0))
		w.awaitConvergence(wantedReplicas, w.nodes...)
		l.finish()
		h := heeded(leaving.address)
		AddReportEntry("leaving "+leaving.Name, fmt.Sprintf("%+v", h.AfterLeavingMillis))
		Expect(h.AfterLeavingMillis).To(Or(BeEmpty(), HaveEach(BeNumerically("<", leavingHeeded))))
		AddReportEntry("callers", fmt.Sprintf("%d answered, problems %v", l.answered.Load(), l.problems))
		Expect(l.problems).To(BeEmpty())
		r, ok := leaving.report()
		Expect(ok).To(BeTrue())
		Expect(r.State).To(Equal(port.EngineIdle), "it has left its replica")
		Expect(w.sum("controller.dissolve.vm_leaving")).To(BeEquivalentTo(1))
		Expect(w.sum("controller.dissolve.vm_restarted")).To(BeZero())
		Expect(w.sum("suspect.crash")).To(BeZero())
	})
})
