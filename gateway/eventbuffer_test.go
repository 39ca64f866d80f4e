package gateway

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func event(n int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", n) }

func events(ns ...int) string {
	var b strings.Builder
	for _, n := range ns {
		b.WriteString(event(n))
	}
	return b.String()
}

var _ = Describe("Events of a stream", func() {
	// feed adds pieces of a stream and returns the events to relay; it stops and
	// reports false at the first event that is out of sequence.
	feed := func(b *eventBuffer, pieces ...string) (string, bool) {
		var out strings.Builder
		for _, p := range pieces {
			got, err := b.add([]byte(p))
			out.Write(got)
			if err != nil {
				return out.String(), false
			}
		}
		return out.String(), true
	}

	It("relays complete events however the bytes are split", func() {
		all := events(1, 2, 3)
		for cut := range all {
			b := &eventBuffer{}
			got, inOrder := feed(b, all[:cut], all[cut:])
			Expect(inOrder).To(BeTrue())
			Expect(got).To(Equal(all))
			Expect(b.lastID).To(Equal("3"))
		}
	})

	It("holds back an incomplete event and drops it when another upstream resumes the stream", func() {
		b := &eventBuffer{}
		got, _ := feed(b, events(1), "id: 2\nda")
		Expect(got).To(Equal(events(1)))
		b.discardPending()
		got, inOrder := feed(b, events(2, 3))
		Expect(inOrder).To(BeTrue())
		Expect(got).To(Equal(events(2, 3)))
	})

	DescribeTable("checks the sequence of events",
		func(last string, in []int, out []int, inOrder bool) {
			b := &eventBuffer{lastID: last}
			got, ok := feed(b, events(in...))
			Expect(ok).To(Equal(inOrder))
			Expect(got).To(Equal(events(out...)))
		},
		Entry("a new stream", "", []int{1, 2}, []int{1, 2}, true),
		Entry("a resumed stream", "4", []int{5, 6}, []int{5, 6}, true),
		Entry("repeated events before new ones are dropped", "4", []int{3, 4, 5}, []int{5}, true),
		Entry("a missing event", "4", []int{6}, []int{}, false),
		Entry("a missing event in the middle", "4", []int{5, 7}, []int{5}, false),
		Entry("a repeated event in the middle", "", []int{1, 2, 2}, []int{1, 2}, false),
		Entry("a repeated event after a later one", "4", []int{5, 6, 5}, []int{5, 6}, false),
		Entry("repeated events with a gap between them", "4", []int{2, 4, 5}, []int{}, false),
		Entry("repeated events that go back", "4", []int{4, 3, 4, 5}, []int{}, false),
	)

	// Guards against a stream that loses an event and ends as complete: an upstream sent an
	// event twice in one write, and the events before it counted as relayed although they
	// were not.
	It("counts as relayed just what it returns, however the bytes are split", func() {
		for _, ids := range [][]int{{1, 2, 3, 3, 4}, {1, 2, 3, 2, 3, 4}, {1, 1, 2}, {1, 2, 4}, {1, 2, 1}} {
			all := events(ids...)
			want, _ := feed(&eventBuffer{}, strings.SplitAfter(all, "\n\n")...)
			for cut := range all {
				b := &eventBuffer{}
				got, inOrder := feed(b, all[:cut], all[cut:])
				Expect(inOrder).To(BeFalse())
				Expect(got).To(Equal(want), "%v cut at %d", ids, cut)
				Expect(got).To(HaveSuffix(event(b.count)))
				Expect(b.lastID).To(Equal(strconv.Itoa(b.count)))
			}
		}
	})

	// Guards against a stream that loses its last event and ends as complete: the id of that
	// event was lower than the one before, so the event was dropped as relayed before.
	DescribeTable("does not take an event of a first stream for one that was relayed before", func(last string) {
		b := &eventBuffer{}
		got, inOrder := feed(b, events(1, 2, 3), last)
		Expect(inOrder).To(BeFalse())
		Expect(got).To(Equal(events(1, 2, 3)))
		b.discardPending()
		got, inOrder = feed(b, events(4))
		Expect(inOrder).To(BeTrue())
		Expect(got).To(Equal(events(4)))
		Expect(b.checkEnd(true)).To(Succeed())
	},
		Entry("with the id of the one before", events(3)),
		Entry("with a lower id", events(1)),
		Entry("with a higher id", events(40)),
		Entry("with an id that is no number", "id: 4x\ndata: x\n\n"),
		Entry("without an id", "ix: 4\ndata: x\n\n"),
	)

	// Guards against a stream that is resumed after the wrong event: nothing shows which of
	// its first two events has the wrong id.
	It("can't be resumed after two first events that do not follow each other", func() {
		b := &eventBuffer{}
		got, inOrder := feed(b, events(7), events(2, 3))
		Expect(inOrder).To(BeFalse())
		Expect(got).To(Equal(events(7)))
		Expect(b.unresumable).To(BeTrue())

		b = &eventBuffer{}
		_, inOrder = feed(b, events(1, 2, 4))
		Expect(inOrder).To(BeFalse())
		Expect(b.unresumable).To(BeFalse())
	})

	// Guards against a stream that begins after its first event and ends as complete.
	It("does not begin with another event than streams of the service do, while it may be asked for elsewhere", func() {
		b := &eventBuffer{expectedFirst: "1", mayRefuseFirst: true}
		got, inOrder := feed(b, events(3, 4))
		Expect(inOrder).To(BeFalse())
		Expect(got).To(BeEmpty())
		b.discardPending()
		got, inOrder = feed(b, events(1, 2))
		Expect(inOrder).To(BeTrue())
		Expect(got).To(Equal(events(1, 2)))
	})

	It("begins with another event than before if a second stream does, and is confirmed by the next one", func() {
		b := &eventBuffer{expectedFirst: "1", mayRefuseFirst: true}
		_, inOrder := feed(b, events(0))
		Expect(inOrder).To(BeFalse())
		b.discardPending()
		got, inOrder := feed(b, events(0))
		Expect(inOrder).To(BeTrue())
		Expect(b.confirmedFirst).To(BeEmpty())
		more, inOrder := feed(b, events(1))
		Expect(inOrder).To(BeTrue())
		Expect(got + more).To(Equal(events(0, 1)))
		Expect(b.confirmedFirst).To(Equal("0"))
	})

	It("may begin with any event if it can't be asked for elsewhere", func() {
		got, inOrder := feed(&eventBuffer{expectedFirst: "1"}, events(3, 4))
		Expect(inOrder).To(BeTrue())
		Expect(got).To(Equal(events(3, 4)))
	})

	// Guards against an answer that ends as complete without its last event, which had too
	// low an id: the caller had asked for the events after an earlier one.
	DescribeTable("is not complete if a caller's resumption brought only repeated events", func(ids ...int) {
		b := &eventBuffer{lastID: "4"}
		got, inOrder := feed(b, events(ids...))
		Expect(inOrder).To(BeTrue())
		Expect(got).To(BeEmpty())
		Expect(b.checkEnd(true)).NotTo(Succeed())
	}, Entry("up to the last", 3, 4), Entry("up to an earlier one", 2))
})

func FuzzEvents(f *testing.F) {
	f.Add([]byte(events(1, 2, 3)), 7)
	f.Add([]byte("id: x\n\nid: 9223372036854775807\n\n"), 3)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		b := &eventBuffer{}
		cut = max(0, min(cut, len(data)))
		var got []byte
		for _, piece := range [][]byte{data[:cut], data[cut:]} {
			out, err := b.add(piece)
			got = append(got, out...)
			if err != nil {
				break
			}
		}
		if len(got) > len(data) {
			t.Fatalf("%d bytes relayed of %d", len(got), len(data))
		}
		uncut := &eventBuffer{}
		if want, _ := uncut.add(data); !bytes.Equal(got, want) || b.lastID != uncut.lastID || b.count != uncut.count {
			t.Fatalf("%q relayed up to event %q, and %q up to event %q if it comes at once", got, b.lastID, want, uncut.lastID)
		}
	})
}

// Guards against foreign text in the middle of a caller's stream: a stream broke off, and
// the upstream that was to resume it sent an error as an event, or began elsewhere.
var _ = Describe("Events of a resumed stream", func() {
	// resume adds the first part of a stream, and after its upstream has failed a second
	// part. It returns what is relayed of the second part.
	resume := func(first, second string) (string, bool) {
		b := &eventBuffer{}
		_, err := b.add([]byte(first))
		Expect(err).NotTo(HaveOccurred())
		b.discardPending()
		out, err := b.add([]byte(second))
		return string(out), err == nil
	}

	DescribeTable("are relayed only if they continue the stream", func(first, second, want string, inOrder bool) {
		got, ok := resume(first, second)
		Expect(ok).To(Equal(inOrder))
		Expect(got).To(Equal(want))
	},
		Entry("the next event", events(1, 2), events(3), events(3), true),
		Entry("a comment before the next event", events(1, 2), ": wait\n\n"+events(3), ": wait\n\n"+events(3), true),
		Entry("an event without an id", events(1, 2), "event: error\ndata: overloaded\n\n"+events(3), "", false),
		Entry("an event without an id after the next event", events(1, 2), events(3)+"data: overloaded\n\n", events(3), false),
		Entry("an event with an id that is no number", events(1, 2), "id: x\ndata: y\n\n"+events(3), "", false),
		Entry("an event with an empty id", events(1, 2), "id:\ndata: y\n\n", "", false),
		Entry("text that is no event", events(1, 2), "upstream failed\n\n"+events(3), "", false),
		Entry("the head of an answer", events(1, 2), "HTTP/1.1 500 Internal Server Error\nContent-Length: 0\n\n", "", false),
		Entry("an event after a gap", events(1, 2), events(4), "", false),
		Entry("any event of a stream whose ids are no numbers", "id: a\ndata: x\n\n", "id: b\ndata: x\n\n", "", false),
		Entry("any event of a stream without ids", "data: x\n\n", "data: x\n\n", "", false),
		Entry("the first event after comments alone", ": wait\n\n", events(1), events(1), true),
	)

	It("are relayed as the upstream sends them in the first stream", func() {
		for _, whole := range []string{"data: x\n\ndata: y\n\n", "id: a\ndata: x\n\nid: b\ndata: x\n\n", events(1) + ": y\n\n" + events(2)} {
			b := &eventBuffer{}
			got, err := b.add([]byte(whole))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(got)).To(Equal(whole))
		}
	})

	// Guards against an answer that ends as if it were complete: the upstream that was to
	// resume a stream sent none of it.
	DescribeTable("are complete at the end of a stream", func(first, second string, framed, whole bool) {
		b := &eventBuffer{}
		if first != "" {
			_, _ = b.add([]byte(first))
			b.discardPending()
		}
		_, _ = b.add([]byte(second))
		Expect(b.checkEnd(framed) == nil).To(Equal(whole))
	},
		Entry("that continues them", events(1), events(2), false, true),
		Entry("that is the first", "", events(1), false, true),
		Entry("also after a further blank line", "", events(1)+"\n", true, true),
		Entry("but not within an event", "", events(1)+"id: 2\n", true, false),
		Entry("but not after a line of an event", "", events(1)+"id: 2\ndata: x\n", true, false),
		Entry("but not if a resumed stream brought none", events(1), "", true, false),
		Entry("but not if a resumed stream brought only a comment", events(1), ": wait\n\n", true, false),
		Entry("but not if a resumed stream brought only repeated ones", events(1, 2), events(1, 2), true, false),
		Entry("that is empty, the first, and states its end", "", "", true, true),
		Entry("but not if it is empty and ends with its connection", "", "", false, false),
	)

	// Guards against a whole answer that is broken off: the last events were relayed from
	// one upstream while another one was already asked for them.
	DescribeTable("are complete at the end of a stream that was asked for before they were relayed", func(second string, whole bool) {
		b := &eventBuffer{}
		_, _ = b.add([]byte(events(1, 2, 3)))
		b.overlaps = true
		b.discardPending()
		out, err := b.add([]byte(second))
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(BeEmpty())
		Expect(b.checkEnd(true) == nil).To(Equal(whole))
	},
		Entry("that repeats them to the last", events(2, 3), true),
		Entry("but not if it ends earlier", events(2), false),
		Entry("but not if it is empty", "", false),
	)
})
