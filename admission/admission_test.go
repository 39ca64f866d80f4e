package admission_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/admission"
	"github.com/tamarackcleat/tamarackcleat/config/dynamic"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

var start = time.Unix(1_000_000, 0)

func classes() []dynamic.Class {
	return []dynamic.Class{
		{Name: "draft", Kind: dynamic.KindGenerate, Model: "m",
			Targets: dynamic.Targets{AnsweredWithin: dynamic.Duration(60 * time.Second)}},
		{Name: "rewrite", Kind: dynamic.KindGenerate, Model: "m",
			Targets: dynamic.Targets{AnsweredWithin: dynamic.Duration(4 * time.Second)}},
	}
}

// driver sends messages to a Service and records its replies and timers.
type driver struct {
	*admission.Service
	next kernel.AskID
	// answers holds the last reply to each request, by request id.
	answers map[string]kernel.Message
	asks    map[kernel.AskID]string
	// order lists the request ids in the order of the replies.
	order  []string
	timers []kernel.SetTimer
}

func newDriver(slots int) *driver {
	d := &driver{Service: admission.New(nil), answers: map[string]kernel.Message{}, asks: map[kernel.AskID]string{}}
	d.send(start, admission.Configure{Classes: classes()})
	d.send(start, admission.Capacity{Pool: "m", Slots: slots})
	return d
}

func (d *driver) send(now time.Time, m kernel.Message) {
	for _, e := range d.Handle(now, m) {
		switch e := e.(type) {
		case kernel.Reply:
			d.answers[d.asks[e.ID]] = e.Msg
			d.order = append(d.order, d.asks[e.ID])
		case kernel.SetTimer:
			d.timers = append(d.timers, e)
		}
	}
}

func (d *driver) arrive(now time.Time, id, class, team string) {
	d.next++
	d.asks[d.next] = id
	d.send(now, admission.Arrive{Ask: d.next, RequestID: id, Class: class, Team: team})
}

// reason returns the outcome of a request: "admitted", "waiting" or the reason of
// its refusal.
func (d *driver) reason(id string) string {
	switch m := d.answers[id].(type) {
	case admission.Admitted:
		return "admitted"
	case *verdict.Error:
		Expect(m.Verdict).To(Equal(verdict.NotRun))
		return string(m.Reason)
	}
	return "waiting"
}

var _ = Describe("Service", func() {
	It("refuses an unknown class", func() {
		d := newDriver(1)
		d.arrive(start, "a", "nothing", "t")
		Expect(d.reason("a")).To(Equal("unknown_class"))
	})

	It("admits up to the capacity and starts waiting requests as slots become free", func() {
		d := newDriver(1)
		d.arrive(start, "a", "draft", "t")
		d.arrive(start, "b", "draft", "t")
		Expect(d.reason("a")).To(Equal("admitted"))
		Expect(d.reason("b")).To(Equal("waiting"))
		d.send(start.Add(time.Second), admission.Done{RequestID: "a", Service: time.Second})
		Expect(d.reason("b")).To(Equal("admitted"))
		Expect(d.Running("m")).To(Equal(1))
	})

	It("refuses a request that can't meet its target and advises when to retry", func() {
		d := newDriver(1)
		for i := range 10 {
			d.arrive(start, fmt.Sprint(i), "draft", "t")
		}
		Expect(d.reason("1")).To(Equal("waiting"))
		Expect(d.reason("9")).To(Equal("deadline_unreachable"))
		Expect(d.answers["9"].(*verdict.Error).RetryAfter).To(BeNumerically(">=", time.Second))
	})

	It("refuses a waiting request by timer when it can no longer meet its target", func() {
		d := newDriver(1)
		d.arrive(start, "a", "draft", "t")
		d.arrive(start, "b", "draft", "t")
		Expect(d.timers).NotTo(BeEmpty())
		t := d.timers[len(d.timers)-1]
		d.send(start.Add(t.After), t.Msg)
		Expect(d.reason("b")).To(Equal("deadline_unreachable"))
		Expect(d.Waiting("m")).To(Equal(0))
	})

	It("lets requests wait for a pool without slots and then refuses them as having no replica", func() {
		d := newDriver(0)
		d.arrive(start, "a", "draft", "t")
		Expect(d.reason("a")).To(Equal("waiting"))
		t := d.timers[0]
		d.send(start.Add(t.After), t.Msg)
		Expect(d.reason("a")).To(Equal("no_complete_replica"))
	})

	It("admits urgent requests first and keeps slots free for them", func() {
		d := newDriver(10)
		for i := range 30 {
			now := start.Add(time.Duration(i) * time.Second)
			d.arrive(now, fmt.Sprint("u", i), "rewrite", "t")
			d.send(now.Add(time.Second), admission.Done{RequestID: fmt.Sprint("u", i), Service: time.Second})
		}
		now := start.Add(time.Minute)
		for i := range 20 {
			d.arrive(now, fmt.Sprint("d", i), "draft", "t")
		}
		Expect(d.Running("m")).To(BeNumerically("<", 10))
		Expect(d.Waiting("m")).To(BeNumerically(">", 0))
		d.arrive(now, "u", "rewrite", "t")
		Expect(d.reason("u")).To(Equal("admitted"))
		Expect(d.answers["u"]).To(Equal(admission.Admitted{Priority: admission.PriorityUrgent}))
	})

	It("starts the request of a team with few requests before those of a team with many", func() {
		d := newDriver(10)
		for i := range 10 {
			d.arrive(start, fmt.Sprint("warm", i), "draft", "large")
			d.send(start, admission.Done{RequestID: fmt.Sprint("warm", i), Service: time.Second})
		}
		for i := range 200 {
			d.arrive(start, fmt.Sprint("l", i), "draft", "large")
		}
		d.arrive(start, "s", "draft", "small")
		Expect(d.reason("s")).To(Equal("waiting"))
		d.order = nil
		d.send(start.Add(time.Second), admission.Done{RequestID: "l0", Service: 20 * time.Second})
		Expect(d.order).To(Equal([]string{"s"}))
	})

	It("doesn't refuse a team with few requests for the queue of a team with many", func() {
		d := newDriver(10)
		for i := range 200 {
			d.arrive(start, fmt.Sprint("l", i), "draft", "large")
		}
		Expect(d.reason("l199")).NotTo(Equal("waiting"))
		d.arrive(start, "s", "draft", "small")
		Expect(d.reason("s")).To(Equal("waiting"))
	})

	It("refuses a team over its fair share when the queue is full, and gives that reason", func() {
		d := newDriver(0)
		for i := range 64 {
			d.arrive(start, fmt.Sprint("l", i), "draft", "large")
		}
		d.arrive(start, "s", "draft", "small")
		Expect(d.reason("s")).To(Equal("waiting"))
		d.arrive(start, "more", "draft", "large")
		Expect(d.reason("more")).To(Equal("team_over_fair_share"))
		Expect(d.Waiting("m")).To(Equal(64))
	})

	It("frees the queue place or the slot of a canceled request", func() {
		d := newDriver(1)
		d.arrive(start, "a", "draft", "t")
		d.arrive(start, "b", "draft", "t")
		d.arrive(start, "c", "rewrite", "t")
		d.send(start, admission.Cancel{RequestID: "b"})
		Expect(d.reason("b")).To(Equal("caller_canceled"))
		d.send(start, admission.Cancel{RequestID: "a"})
		Expect(d.reason("c")).To(Equal("admitted"))
		Expect(d.Running("m")).To(Equal(1))
	})

	It("gives the same answers to the same messages", func() {
		run := func() []string {
			d := newDriver(3)
			for i := range 300 {
				class := []string{"draft", "rewrite"}[i%2]
				d.arrive(start.Add(time.Duration(i)*10*time.Millisecond), fmt.Sprint(i), class, fmt.Sprint("t", i%7))
				if i%5 == 0 {
					d.send(start, admission.Done{RequestID: fmt.Sprint(i / 2), Service: time.Second})
				}
			}
			return d.order
		}
		Expect(run()).To(Equal(run()))
	})
})
