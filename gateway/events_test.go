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
	// feed adds pieces and returns what was passed on.
	feed := func(b *eventBuffer, pieces ...string) (string, bool) {
		var out strings.Builder
		for _, p := range pieces {
			got, sound := b.add([]byte(p))
			out.Write(got)
			if !sound {
				return out.String(), false
			}
		}
		return out.String(), true
	}

	It("passes whole events on, however the bytes are cut", func() {
		all := events(1, 2, 3)
		for cut := range all {
			b := &eventBuffer{}
			got, sound := feed(b, all[:cut], all[cut:])
			Expect(sound).To(BeTrue())
			Expect(got).To(Equal(all))
			Expect(b.last).To(Equal("3"))
		}
	})

	It("holds the beginning of an event back, and forgets it when another upstream goes on", func() {
		b := &eventBuffer{}
		got, _ := feed(b, events(1), "id: 2\nda")
		Expect(got).To(Equal(events(1)))
		b.restart()
		got, sound := feed(b, events(2, 3))
		Expect(sound).To(BeTrue())
		Expect(got).To(Equal(events(2, 3)))
	})

	DescribeTable("checks the order of events",
		func(last string, in []int, out []int, sound bool) {
			b := &eventBuffer{last: last}
			got, ok := feed(b, events(in...))
			Expect(ok).To(Equal(sound))
			Expect(got).To(Equal(events(out...)))
		},
		Entry("from the start", "", []int{1, 2}, []int{1, 2}, true),
		Entry("goes on", "4", []int{5, 6}, []int{5, 6}, true),
		Entry("repeats in front are dropped", "4", []int{3, 4, 5}, []int{5}, true),
		Entry("a missing event", "4", []int{6}, []int{}, false),
		Entry("a missing event in the middle", "4", []int{5, 7}, []int{5}, false),
		Entry("a repeat in the middle", "", []int{1, 2, 2}, []int{}, false),
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
			out, sound := b.add(piece)
			passed += len(out)
			if !sound {
				return
			}
		}
		if passed > len(data) {
			t.Fatalf("%d bytes passed on of %d", passed, len(data))
		}
	})
}
