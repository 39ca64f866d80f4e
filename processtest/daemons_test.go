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

	// expectOneReplicaPerVM fails here if the paused holder's records count
	// without their term, or its orders without their fencing number.
	It("replace a control lease holder that is paused past its lease", func() {
		former, others := w.holder()
		streams := w.streams("paused", nodeCount, longAnswer, w.nodes...)
		expectUnderWay(streams)
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
		w.awaitFollowing(wantedReplicas, others...)
		for _, r := range w.control().live {
			Expect(r.Generation).NotTo(Equal(broken.Generation))
		}
		meanwhile := w.streams("meanwhile", 2*nodeCount, longAnswer, others...)
		expectUnderWay(meanwhile)
		former.resume()
		Eventually(func() bool {
			s := former.status()
			return s.LeaseHolder != "" && s.LeaseHolder != formerName
		}).Should(BeTrue())
		expectWhole(append(streams, meanwhile...))
		w.awaitFollowing(wantedReplicas, w.nodes...)
		expectWhole(w.streams("after", 2*nodeCount, shortAnswer, w.nodes...))
		w.expectOneReplicaPerVM()
	})

	// A daemon that exits at SIGTERM without draining breaks its streams.
	It("stop as planned without cutting a request off", func() {
		holder, others := w.holder()
		streams := w.streams("stop", 4, longAnswer, holder)
		expectUnderWay(streams)
		holder.signal(syscall.SIGTERM)
		Eventually(holder.ready).Should(BeFalse())
		expectWhole(streams)
		Expect(holder.exitCode()).To(BeZero())
		expectWhole(w.streams("after", nodeCount, shortAnswer, others...))
		w.awaitFollowing(wantedReplicas, others...)
		w.expectOneReplicaPerVM()
	})

	It("are not ready while cut off, and ready with the newest version after", func() {
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
		expectWhole(w.streams("after", nodeCount, shortAnswer, w.nodes...))
	})

	It("stay paused while a fabric domain goes dark, with whole answers elsewhere", func() {
		holder, others := w.holder()
		streams := w.streams("before", 4*nodeCount, longAnswer, w.nodes...)
		expectUnderWay(streams)
		holder.pause()
		for _, v := range w.domain(0) {
			v.pause()
		}
		meanwhile := w.streams("meanwhile", nodeCount, shortAnswer, others...)
		expectWhole(meanwhile)
		Eventually(func() int { return w.inDomain(0) }).Should(BeZero())
		holder.resume()
		for _, v := range w.domain(0) {
			v.resume()
		}
		expectWhole(streams)
		w.awaitFollowing(wantedReplicas, w.nodes...)
		expectWhole(w.streams("after", 2*nodeCount, shortAnswer, w.nodes...))
		w.expectOneReplicaPerVM()
	})
})

// publish publishes a document; it returns the failure that was answered.
func (n *node) publish(id string, base int64, text string) (api.ConfigView, *api.ErrorDetail) {
	var answer struct {
		api.ConfigView
		Error *api.ErrorDetail `json:"error"`
	}
	_, err := ask("POST", "http://"+n.address+api.PathConfig,
		api.PublishRequest{ID: id, BaseVersion: base, Document: text, Author: n.Name}, &answer)
	if err != nil {
		return api.ConfigView{}, &api.ErrorDetail{Message: err.Error()}
	}
	return answer.ConfigView, answer.Error
}
