package processtest_test

import (
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/standin/link"

	"github.com/tamarackcleat/tamarackcleat/api"
)

var _ = Describe("Entry VMs", func() {
	var w *world
	BeforeEach(func() { w = newWorld() })

	// Guards against a former lease holder that continues after a pause.
	// expectOneReplicaPerVM fails if nodes accept the former holder's records
	// without a check of the term, or VMs obey its orders without a check of the
	// fencing number.
	It("replace a control lease holder that is paused past its lease", func() {
		former, others := w.leaseHolder()
		streams := w.streams("paused", nodeCount, longAnswerTokens, w.nodes...)
		expectInProgress(streams)
		members := w.busyReplica()
		broken, found := w.replicaOf(members[1])
		Expect(found).To(BeTrue())
		formerName := former.status().Node
		former.pause()
		members[1].Kill()
		for _, n := range others {
			Eventually(func() bool {
				s := n.status()
				return s.LeaseHolder != "" && s.LeaseHolder != formerName
			}).Should(BeTrue(), n.Name)
		}
		w.awaitConvergence(wantedReplicas, others...)
		for _, r := range w.readControl().live {
			Expect(r.Generation).NotTo(Equal(broken.Generation))
		}
		meanwhile := w.streams("meanwhile", 2*nodeCount, longAnswerTokens, others...)
		expectInProgress(meanwhile)
		former.resume()
		Eventually(func() bool {
			s := former.status()
			return s.LeaseHolder != "" && s.LeaseHolder != formerName
		}).Should(BeTrue())
		expectComplete(append(streams, meanwhile...))
		w.awaitConvergence(wantedReplicas, w.nodes...)
		expectComplete(w.streams("after", 2*nodeCount, shortAnswerTokens, w.nodes...))
		w.expectOneReplicaPerVM()
	})

	// Guards against a daemon that exits at SIGTERM without draining, which breaks
	// its streams.
	It("stop as planned without cutting a request off", func() {
		holder, others := w.leaseHolder()
		streams := w.streams("stop", 4, longAnswerTokens, holder)
		expectInProgress(streams)
		holder.signal(syscall.SIGTERM)
		Eventually(holder.ready).Should(BeFalse())
		expectComplete(streams)
		Expect(holder.exitCode()).To(BeZero())
		expectComplete(w.streams("after", nodeCount, shortAnswerTokens, others...))
		w.awaitConvergence(wantedReplicas, others...)
		w.expectOneReplicaPerVM()
	})

	It("are not ready while cut off from the log and their peers, and get ready with the newest version afterwards", func() {
		cut, others := w.nodes[2], w.without(w.nodes[2])
		cut.toLog.SetMode(link.Drop)
		for _, n := range w.nodes {
			n.inbound.SetMode(link.Refuse)
		}
		Eventually(cut.ready).Should(BeFalse())
		for _, n := range others {
			Expect(n.ready()).To(BeTrue(), n.Name)
		}
		view, failure := others[0].publish("while-cut", w.version, document(1001))
		Expect(failure).To(BeNil())
		Expect(view.Version).To(BeNumerically(">", w.version))
		for _, n := range others {
			Eventually(func() int64 { return n.status().ConfigVersion }).Should(Equal(view.Version))
		}
		Expect(cut.status().ConfigVersion).To(Equal(w.version))
		Expect(cut.ready()).To(BeFalse())
		cut.toLog.SetMode(link.Pass)
		for _, n := range w.nodes {
			n.inbound.SetMode(link.Pass)
		}
		Eventually(cut.ready).Should(BeTrue())
		Eventually(func() int64 { return cut.status().ConfigVersion }).Should(Equal(view.Version))
		w.awaitServing(wantedReplicas, cut)
		expectComplete(w.streams("after", nodeCount, shortAnswerTokens, w.nodes...))
	})

	It("give complete answers while the lease holder and a fabric domain are paused", func() {
		holder, others := w.leaseHolder()
		streams := w.streams("before", 4*nodeCount, longAnswerTokens, w.nodes...)
		expectInProgress(streams)
		holder.pause()
		for _, v := range w.vmsInDomain(0) {
			v.pause()
		}
		meanwhile := w.streams("meanwhile", nodeCount, shortAnswerTokens, others...)
		expectComplete(meanwhile)
		Eventually(func() int { return w.replicasInDomain(0) }).Should(BeZero())
		holder.resume()
		for _, v := range w.vmsInDomain(0) {
			v.resume()
		}
		expectComplete(streams)
		w.awaitConvergence(wantedReplicas, w.nodes...)
		expectComplete(w.streams("after", 2*nodeCount, shortAnswerTokens, w.nodes...))
		w.expectOneReplicaPerVM()
	})
})

// publish publishes a document through the node. It returns the node's refusal, or
// an ErrorDetail with only a message if the request failed, and nil if the document
// was accepted.
func (n *node) publish(id string, base int64, text string) (api.ConfigView, *api.ErrorDetail) {
	var answer struct {
		api.ConfigView
		Error *api.ErrorDetail `json:"error"`
	}
	_, err := doJSON("POST", "http://"+n.address+api.PathConfig,
		api.PublishRequest{ID: id, BaseVersion: base, Document: text, Author: n.Name}, &answer)
	if err != nil {
		return api.ConfigView{}, &api.ErrorDetail{Message: err.Error()}
	}
	return answer.ConfigView, answer.Error
}
