package slowstart

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/quorum"
)

func TestSlowstart(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Slowstart Suite")
}

var _ = Describe("A limiter", func() {
	const bound = 17*1.5 + 5
	cold := fleet.Incarnation{ID: "u", Boot: 1}
	// joined returns the limiter of one of several nodes, which may send at once.
	joined := func(self string, others ...string) *Limiter {
		l := New(self, &quorum.Quorum{})
		for _, o := range others {
			l.Register(o, o+"/1")
		}
		l.Join(-joinDelay)
		l.Observe(0, 1+len(others), true)
		return l
	}
	takes := func(l *Limiter, now time.Duration) int {
		n := 0
		for l.Take(now, cold, bound) {
			n++
		}
		return n
	}

	It("lets a node alone send half of the bound in a window", func() {
		l := joined("a")
		Expect(takes(l, 0)).To(Equal(15))
		Expect(takes(l, Window)).To(BeZero())
		Expect(takes(l, Window+1)).To(Equal(15))
	})

	It("lets nothing be sent by a node that is new, cut off or not proved to know all others", func() {
		l := New("a", &quorum.Quorum{})
		l.Observe(0, 1, true)
		Expect(l.Open(time.Hour, cold, bound)).To(BeFalse(), "not registered")
		l.Join(time.Hour)
		Expect(l.Open(time.Hour+joinDelay-1, cold, bound)).To(BeFalse())
		Expect(l.Open(time.Hour+joinDelay, cold, bound)).To(BeTrue())
		l.Observe(time.Hour, 1, false)
		Expect(l.Open(2*time.Hour, cold, bound)).To(BeFalse())
		l.Observe(2*time.Hour, 9, true)
		l.Observe(2*time.Hour, 4, true)
		Expect(l.Open(2*time.Hour, cold, bound)).To(BeFalse())
	})

	It("divides few requests among fewer nodes, and never rounds the bound up", func() {
		names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
		for _, bound := range []float64{0, 0.9, 1, 2.5, 4, 7, 30.5, 1000} {
			total, senders := 0, 0
			for _, self := range names {
				l := joined(self, names...)
				n := 0
				for l.Take(0, cold, bound) {
					n++
				}
				total += n
				senders += min(1, n)
			}
			Expect(total).To(BeNumerically("<=", max(bound/2, min(1, bound))))
			Expect(senders).To(BeNumerically("<=", maxSenders))
			Expect(total > 0).To(Equal(bound >= 1))
		}
	})

	It("spreads the upstreams over the nodes", func() {
		var names []string
		for i := range 72 {
			names = append(names, fmt.Sprintf("edge-%d", i))
		}
		l, open := joined(names[0], names...), 0
		for i := range 1000 {
			if l.Open(0, fleet.Incarnation{ID: fmt.Sprintf("i-%d", i)}, bound) {
				open++
			}
		}
		Expect(open).To(BeNumerically("~", 1000*maxSenders/72, 40))
		l.Retain(0, func(fleet.Incarnation) bool { return false })
		Expect(l.upstreams).To(BeEmpty())
	})

	It("forgets a node only once another process has its address", func() {
		l := joined("a", "b")
		l.Register("b", "b/2")
		l.Remove("b", "b/1")
		Expect(l.nodes).To(HaveLen(2))
		l.Remove("b", "b/2")
		Expect(l.nodes).To(HaveLen(1))
	})
})

// Guards against a late report that makes a cold upstream count as warm, and against a view
// for each report of a cold upstream.
var _ = Describe("Marks", func() {
	i := fleet.Incarnation{ID: "u", Boot: 1}

	It("end later with a report, never sooner, and not by a report's delay", func() {
		m := Marks{}
		Expect(m.Record(time.Second, i, 0)).To(BeZero())
		until := m.Record(time.Second, i, 3*time.Second)
		Expect(until).To(BeNumerically(">=", 4*time.Second))
		Expect(m.Record(2*time.Second, i, time.Second)).To(Equal(until))
		Expect(m.Record(2*time.Second, i, 2100*time.Millisecond)).To(Equal(until))
		Expect(m.Record(3*time.Second, i, 0)).To(Equal(until))
		Expect(m.Record(3*time.Second, i, 3*time.Second)).To(BeNumerically(">", until))
		Expect(m.Record(3*time.Second, fleet.Incarnation{ID: "u", Boot: 2}, 0)).To(BeZero())
	})

	It("are dropped with their incarnation, once they are over", func() {
		m := Marks{}
		until := m.Record(0, i, time.Second)
		gone := func(fleet.Incarnation) bool { return false }
		m.Retain(until, gone)
		Expect(m).To(HaveLen(1))
		m.Retain(until+1, func(fleet.Incarnation) bool { return true })
		Expect(m).To(HaveLen(1))
		m.Retain(until+1, gone)
		Expect(m).To(BeEmpty())
	})
})
