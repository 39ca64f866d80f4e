package keyed_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/bootclock"
	"github.com/tamarackcleat/tamarackcleat/keyed"
)

var _ = Describe("Stream", func() {
	var (
		applied    []keyed.Record
		freshTimes []time.Duration
		stream     *keyed.Stream
	)
	// batch returns a batch of records from an offset.
	batch := func(sentAt time.Duration, from int64, keys ...string) keyed.Batch {
		b := keyed.Batch{From: from, Next: from + int64(len(keys)), SentAt: sentAt}
		for i, k := range keys {
			b.Records = append(b.Records, keyed.Record{Key: k, Offset: from + int64(i)})
		}
		return b
	}
	keys := func() []string {
		var out []string
		for _, r := range applied {
			out = append(out, r.Key)
		}
		return out
	}
	BeforeEach(func() {
		applied, freshTimes = nil, nil
		stream = keyed.NewStream("s", func(b keyed.Batch) {
			applied = append(applied, b.Records...)
			freshTimes = append(freshTimes, b.SentAt)
		})
		Expect(stream.Apply(keyed.Batch{Snapshot: true, Next: 5, SentAt: 10})).To(BeTrue())
	})

	It("refuses records before the first whole batch", func() {
		fresh := keyed.NewStream("s", func(keyed.Batch) { Fail("applied") })
		Expect(fresh.Apply(batch(10, 5, "a"))).To(BeFalse())
		Expect(fresh.Staleness()).To(BeNumerically(">", time.Hour))
	})

	It("applies each record once when a peer and the log deliver the same records", func() {
		Expect(stream.Apply(batch(20, 5, "a", "b"))).To(BeTrue())
		Expect(stream.Apply(batch(21, 5, "a", "b", "c"))).To(BeTrue())
		Expect(stream.Apply(batch(22, 6, "b", "c"))).To(BeTrue())
		Expect(keys()).To(Equal([]string{"a", "b", "c"}))
	})

	It("refuses a batch that leaves a gap", func() {
		Expect(stream.Apply(batch(20, 6, "b"))).To(BeFalse())
		Expect(keys()).To(BeEmpty())
	})

	It("refuses a whole batch that is older than its copy", func() {
		Expect(stream.Apply(batch(20, 5, "a"))).To(BeTrue())
		Expect(stream.Apply(keyed.Batch{Snapshot: true, Next: 5, SentAt: 30})).To(BeFalse())
	})

	It("never moves the time at which the copy was complete backwards", func() {
		Expect(stream.Apply(batch(20, 5, "a"))).To(BeTrue())
		Expect(stream.Apply(batch(15, 6, "b"))).To(BeTrue())
		Expect(freshTimes).To(Equal([]time.Duration{10, 20, 20}))
	})

	It("applies a batch that does not reach the end of the stream, which proves nothing", func() {
		b := batch(20, 5, "a")
		b.More = true
		Expect(stream.Apply(b)).To(BeTrue())
		Expect(stream.Apply(batch(21, 6, "b"))).To(BeTrue())
		Expect(keys()).To(Equal([]string{"a", "b"}))
		Expect(freshTimes).To(Equal([]time.Duration{10, 10, 21}))
	})

	Describe("of a log that was restored from a backup", func() {
		var restored []bool
		// ofEra returns a batch with the era.
		ofEra := func(era int64, b keyed.Batch) keyed.Batch { b.Era = era; return b }
		BeforeEach(func() {
			restored = nil
			stream = keyed.NewStream("s", func(b keyed.Batch) {
				restored = append(restored, b.Restored)
				applied = append(applied, b.Records...)
			})
			Expect(stream.Apply(keyed.Batch{Era: 1, Snapshot: true, Next: 5, SentAt: 10})).To(BeTrue())
		})

		It("goes on from a snapshot of the later era, whatever its offset", func() {
			Expect(stream.Apply(ofEra(2, batch(20, 5, "a")))).To(BeFalse())
			_, ok := stream.Next()
			Expect(ok).To(BeFalse())
			Expect(stream.Apply(keyed.Batch{Era: 2, Snapshot: true, Next: 3, SentAt: 30})).To(BeTrue())
			Expect(stream.Apply(ofEra(2, batch(40, 3, "b")))).To(BeTrue())
			next, ok := stream.Next()
			Expect(ok).To(BeTrue())
			Expect(next).To(Equal(keyed.Position{Era: 2, Offset: 4}))
			Expect(keys()).To(Equal([]string{"b"}))
			Expect(restored).To(Equal([]bool{false, true, false}))
		})

		It("applies nothing of an earlier era that comes late", func() {
			stream.RecordEra(2)
			Expect(stream.Apply(ofEra(1, batch(20, 5, "a")))).To(BeFalse())
			Expect(stream.Apply(keyed.Batch{Era: 1, Snapshot: true, Next: 9, SentAt: 20})).To(BeFalse())
			Expect(stream.Apply(keyed.Batch{Era: 2, Snapshot: true, Next: 5, SentAt: 30})).To(BeTrue())
			Expect(stream.Apply(ofEra(1, batch(40, 5, "b")))).To(BeFalse())
			Expect(keys()).To(BeEmpty())
		})

		It("returns no records for a position of another era", func() {
			Expect(stream.Apply(keyed.Batch{Era: 2, Snapshot: true, Next: 5, SentAt: 30})).To(BeTrue())
			Expect(stream.Apply(ofEra(2, batch(40, 5, "a")))).To(BeTrue())
			_, ok := stream.Tail(keyed.Position{Era: 1, Offset: 5})
			Expect(ok).To(BeFalse())
			b, ok := stream.Tail(keyed.Position{Era: 2, Offset: 5})
			Expect(ok).To(BeTrue())
			Expect(b.Era).To(Equal(int64(2)))
		})
	})

	It("returns its newest records, and false for records that it does not keep", func() {
		changed := stream.Changed()
		for i := range int64(300) {
			Expect(stream.Apply(batch(bootclock.Now(), 5+i, "k"))).To(BeTrue())
		}
		Expect(changed).To(BeClosed())
		b, ok := stream.Tail(keyed.Position{Offset: 303})
		Expect(ok).To(BeTrue())
		Expect(b.Records).To(HaveLen(2))
		Expect(b.Next).To(Equal(int64(305)))
		_, ok = stream.Tail(keyed.Position{Offset: 6})
		Expect(ok).To(BeFalse())
		_, ok = stream.Tail(keyed.Position{Offset: 306})
		Expect(ok).To(BeFalse())
	})
})
