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
