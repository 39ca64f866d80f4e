package gateway

import (
	"fmt"
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
			got, inOrder := b.add([]byte(p))
			out.Write(got)
			if !inOrder {
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
		Entry("a repeated event in the middle", "", []int{1, 2, 2}, []int{}, false),
	)
})

func FuzzEvents(f *testing.F) {
	f.Add([]byte(events(1, 2, 3)), 7)
	f.Add([]byte("id: x\n\nid: 9223372036854775807\n\n"), 3)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		b := &eventBuffer{}
		cut = max(0, min(cut, len(data)))
		passed := 0
		for _, piece := range [][]byte{data[:cut], data[cut:]} {
			out, inOrder := b.add(piece)
			passed += len(out)
			if !inOrder {
				return
			}
		}
		if passed > len(data) {
			t.Fatalf("%d bytes relayed of %d", passed, len(data))
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
		_, inOrder := b.add([]byte(first))
		Expect(inOrder).To(BeTrue())
		b.discardPending()
		out, inOrder := b.add([]byte(second))
		return string(out), inOrder
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
		for _, whole := range []string{"data: x\n\ndata: y\n\n", "id: a\ndata: x\n\nid: b\ndata: x\n\n", events(1) + "data: y\n\n" + events(2)} {
			b := &eventBuffer{}
			got, inOrder := b.add([]byte(whole))
			Expect(inOrder).To(BeTrue())
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
		out, inOrder := b.add([]byte(second))
		Expect(inOrder).To(BeTrue())
		Expect(out).To(BeEmpty())
		Expect(b.checkEnd(true) == nil).To(Equal(whole))
	},
		Entry("that repeats them to the last", events(2, 3), true),
		Entry("but not if it ends earlier", events(2), false),
		Entry("but not if it is empty", "", false),
	)
})
