package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/poison"
)

// Guards against claims that outlive their reason: while a request ran as a sound one, its
// claim kept other nodes from trying the part.
var _ = Describe("The claim of a request", func() {
	const claimTime = 450 * time.Millisecond
	var (
		p   *partTable
		now time.Time
	)
	pass := func(d time.Duration) {
		const step = 50 * time.Millisecond
		for range d / step {
			now = now.Add(step)
			p.report(now)
		}
	}
	BeforeEach(func() {
		p, now = newPartTable("n"), time.Unix(1000, 0)
		p.report(now)
	})

	It("ends when nothing is suspected of the request any more", func() {
		_, standing, admitted := p.judge(now, "r", []string{"new"}, false)
		Expect(standing).To(Equal(poison.Suspected))
		Expect(admitted).To(BeFalse())
		Expect(p.report(now).Claims).To(HaveLen(1))
		pass(claimTime)
		_, standing, admitted = p.judge(now, "r", []string{"new"}, false)
		Expect(standing).To(Equal(poison.Sound))
		Expect(admitted).To(BeTrue())
		Expect(p.report(now).Claims).To(BeEmpty())
	})

	It("ends when its answer has begun", func() {
		pass(claimTime)
		p.table.RecordCrash(now, []string{"part"}, 1, false)
		p.judge(now, "r", []string{"part"}, false)
		pass(claimTime)
		_, _, admitted := p.judge(now, "r", []string{"part"}, false)
		Expect(admitted).To(BeTrue())
		Expect(p.report(now).Claims).To(HaveLen(1))
		recordStart(p.table, now, "r", []string{"part"})
		Expect(p.report(now).Claims).To(BeEmpty())
	})

	// Guards against several upstreams lost at once to a part that crashes them in the middle
	// of answers.
	It("ends with its answer if crashes have cut off answers that had begun", func() {
		pass(claimTime)
		p.table.RecordCrash(now, []string{"part"}, 1, true)
		pass(claimTime)
		p.table.RecordEnd(now, []string{"other"})
		p.judge(now, "r", []string{"part"}, false)
		pass(claimTime)
		_, _, admitted := p.judge(now, "r", []string{"part"}, false)
		Expect(admitted).To(BeTrue())
		recordStart(p.table, now, "r", []string{"part"})
		Expect(p.report(now).Claims).To(HaveLen(1))
		p.release("r")
		Expect(p.report(now).Claims).To(BeEmpty())
	})
})
