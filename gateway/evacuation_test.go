package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/bootclock"
	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/keyed"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// Guards against requests that are sent to an evacuated zone, and against zones that stay
// barred after the end of their evacuation.
var _ = Describe("The evacuated zones of a node", func() {
	var (
		n      *Node
		report func(...fleet.VM)
	)
	a := fleet.VM{ID: "a", Boot: 1, Address: "192.0.2.1:1", Zone: "za"}
	b := fleet.VM{ID: "b", Boot: 1, Address: "192.0.2.2:1", Zone: "zb"}
	read := func(snapshot bool, records ...keyed.Record) {
		n.state.applyConfig(keyed.Batch{Records: records, Snapshot: snapshot, SentAt: bootclock.Now()})
	}
	put := func(zone string) keyed.Record { return keyed.Record{Key: "evacuate/" + zone, Value: []byte("{}")} }
	usable := func() []string {
		var out []string
		for _, t := range forwarderFor(n, time.Second).allUsable() {
			out = append(out, t.ID)
		}
		return out
	}
	BeforeEach(func() {
		n, report = newPlainNode()
		n.state.evacuationPrefix = "evacuate/"
		report(a, b)
	})

	It("end with a removal record, or with a snapshot that lacks their key", func() {
		read(false, put("za"))
		Expect(usable()).To(Equal([]string{"b"}))
		read(false, keyed.Record{Key: "other"})
		Expect(usable()).To(Equal([]string{"b"}))
		read(false, keyed.Record{Key: "evacuate/za"}, put("zb"))
		Expect(usable()).To(Equal([]string{"a"}))
		read(true, put("za"))
		Expect(usable()).To(Equal([]string{"b"}))
		read(true)
		Expect(usable()).To(Equal([]string{"a", "b"}))
	})

	It("cause one view and one count for each change", func() {
		published := 0
		n.OnChange(func() { published++ })
		read(true, put("za"), put("zb"))
		read(true, put("za"), put("zb"))
		read(false, put("za"))
		Expect(published).To(Equal(1))
		read(false, keyed.Record{Key: "evacuate/za"})
		Expect(published).To(Equal(2))
		Expect(n.metricLines()).To(ContainElements(ContainSubstring("zone.evacuated 2"), ContainSubstring("zone.returned 1")))
	})

	It("get no request that was assigned before, which is placed again without a retry", func() {
		f := forwarderFor(n, time.Second)
		t, e := f.assign(context.Background(), []string{"b "}, false)
		Expect(e).To(BeNil())
		Expect(n.mayWrite(t)).To(Succeed())
		read(false, put("za"))
		err := n.mayWrite(t)
		Expect(errors.Is(err, errZoneEvacuated)).To(BeTrue())
		Expect(f.notSent(t, err).Reason).To(Equal(verdict.ReasonZoneEvacuated))
		Expect(t.withheld).To(BeTrue())
		moved, e := f.assign(context.Background(), nil, true)
		Expect(e).To(BeNil())
		Expect(moved.assignment.Target.ID).To(Equal("b"))
	})

	It("are the reason of the refusal if they are all zones", func() {
		read(false, put("za"), put("zb"))
		_, e := forwarderFor(n, time.Second).place(context.Background())
		Expect(e.Reason).To(Equal(verdict.ReasonZoneEvacuated))
		Expect(e.Verdict).To(Equal(verdict.NotRun))
		Expect(e.RetryAfter).To(BeNumerically(">", 0))
	})

	It("may be unknown to a node that is cut off from the log and most nodes, which sends nothing", func() {
		n.settings.Store(&Settings{Bounds: Bounds{EvacuateTime: 2 * time.Second}})
		f := forwarderFor(n, time.Second)
		t, e := f.assign(context.Background(), nil, false)
		Expect(e).To(BeNil())
		n.quorum.Observe(0, 5, true)
		n.state.configVerifiedAt.Store(int64(bootclock.Now() - 2*time.Second))
		Expect(n.mayWrite(t)).To(Succeed(), "an outage of the log")
		n.quorum.Observe(1, 2, false)
		Expect(errors.Is(n.mayWrite(t), errCutOff)).To(BeTrue())
		_, e = f.assign(context.Background(), nil, false)
		Expect(e.Reason).To(Equal(verdict.ReasonConfigStale))
		Expect(e.Verdict).To(Equal(verdict.NotRun))
		Expect(n.ready()).To(BeFalse())
		read(false)
		Expect(n.mayWrite(t)).To(Succeed())
	})
})
