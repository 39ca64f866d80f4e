package notice_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/notice"
)

var _ = DescribeTable("The time in a Retry-After header", func(want time.Duration, problem notice.Problem, values ...string) {
	pause, p := notice.ParseRetryAfter(values)
	Expect(pause).To(Equal(want))
	Expect(p).To(Equal(problem))
},
	Entry("none", time.Duration(0), notice.Problem("")),
	Entry("whole seconds", 2*time.Second, notice.Problem(""), "2"),
	Entry("a fraction", 1250*time.Millisecond, notice.Problem(""), " 1.25 "),
	Entry("zero", time.Duration(0), notice.Problem(""), "0"),
	Entry("negative", time.Duration(0), notice.Negative, "-1"),
	Entry("absurd", notice.MaxPause, notice.TooLong, "1e300"),
	Entry("beyond any number", notice.MaxPause, notice.TooLong, "1e999"),
	Entry("infinite", notice.MaxPause, notice.TooLong, "Inf"),
	Entry("not a number", time.Duration(0), notice.Unreadable, "NaN"),
	Entry("empty", time.Duration(0), notice.Unreadable, ""),
	Entry("a date", time.Duration(0), notice.Unreadable, "Fri, 04 Dec 2026 10:00:00 GMT"),
	Entry("the same twice", time.Second, notice.Problem(""), "1", "1"),
	Entry("two times, the longer first", 3*time.Second, notice.Repeated, "3", "1"),
	Entry("two times, the longer last", 3*time.Second, notice.Repeated, "1", "3"),
	Entry("an unreadable one first", time.Second, notice.Unreadable, "soon", "1"),
)

var _ = Describe("A pause of an upstream", func() {
	start := time.Now()
	var p *notice.Pauses[string]
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

	BeforeEach(func() { p = notice.NewPauses[string]() })

	It("lets no request run until its end, and then few at first", func() {
		Expect(p.Limit(start, "a")).To(Equal(notice.Unlimited))
		Expect(p.Record(start, "a", 2*time.Second)).To(BeTrue())
		Expect(p.Limit(at(0), "a")).To(Equal(0))
		Expect(p.Limit(at(1999), "a")).To(Equal(0))
		Expect(p.Limit(at(2000), "a")).To(Equal(1))
		Expect(p.Limit(at(2200), "a")).To(Equal(2))
		Expect(p.Limit(at(2400), "a")).To(Equal(4))
		Expect(p.Limit(at(2999), "a")).To(Equal(16))
		Expect(p.Limit(at(3000), "a")).To(Equal(notice.Unlimited))
		Expect(p.Len()).To(BeZero())
		Expect(p.Limit(start, "b")).To(Equal(notice.Unlimited))
	})

	It("is not made shorter by a later answer", func() {
		p.Record(start, "a", 2*time.Second)
		Expect(p.Record(at(500), "a", time.Second)).To(BeFalse())
		Expect(p.Record(at(500), "a", 0)).To(BeFalse())
		Expect(p.Limit(at(1999), "a")).To(Equal(0))
		Expect(p.Record(at(1500), "a", time.Second)).To(BeTrue())
		Expect(p.Limit(at(2499), "a")).To(Equal(0))
	})

	It("begins anew in the steps after an earlier one", func() {
		p.Record(start, "a", time.Second)
		Expect(p.Record(at(1300), "a", time.Second)).To(BeTrue())
		Expect(p.Limit(at(2299), "a")).To(Equal(0))
		Expect(p.Limit(at(2300), "a")).To(Equal(1))
	})

	It("tells when the first of several upstreams takes requests again", func() {
		p.Record(start, "a", 2*time.Second)
		_, all := p.Earliest(start, []string{"a", "b"})
		Expect(all).To(BeFalse())
		p.Record(start, "b", time.Second)
		earliest, all := p.Earliest(at(100), []string{"a", "b"})
		Expect(all).To(BeTrue())
		Expect(earliest).To(Equal(900 * time.Millisecond))
		_, all = p.Earliest(start, nil)
		Expect(all).To(BeFalse())
	})

	It("tells when one more request may run", func() {
		Expect(p.NextPlace(start, "a", 100)).To(BeZero())
		p.Record(start, "a", 2*time.Second)
		Expect(p.NextPlace(at(500), "a", 0)).To(Equal(1500 * time.Millisecond))
		Expect(p.NextPlace(at(500), "a", 1)).To(Equal(1700 * time.Millisecond))
		Expect(p.NextPlace(at(2050), "a", 0)).To(BeZero())
		Expect(p.NextPlace(at(2050), "a", 3)).To(Equal(350 * time.Millisecond))
		Expect(p.NextPlace(at(2050), "a", 1000)).To(Equal(950 * time.Millisecond))
		Expect(p.NextPlace(at(3000), "a", 1000)).To(BeZero())
	})

	It("is forgotten with its incarnation", func() {
		p.Record(start, "a", 2*time.Second)
		p.Record(start, "b", 2*time.Second)
		p.Retain(at(100), func(u string) bool { return u == "b" })
		Expect(p.Len()).To(Equal(1))
		Expect(p.Limit(at(100), "a")).To(Equal(notice.Unlimited))
		p.Retain(at(3000), func(string) bool { return true })
		Expect(p.Len()).To(BeZero())
	})
})
