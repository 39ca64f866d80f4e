package engine_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/standin/engine"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

var _ = Describe("an engine's answers", func() {
	ctx := context.Background()
	var m *vm

	BeforeEach(func() {
		m = start("vm-1", unchanged)
		join(m)
	})

	reason := func(err error) verdict.Verdict { return verdict.FromError(err).Verdict }

	DescribeTable("are a pure function of the request", func(prompt string, tokens int) {
		req := ask(prompt)
		expected := engine.AnswerTo(prompt, req.Seed, req.MaxTokens)
		chunks, err := m.generate(req)
		Expect(err).NotTo(HaveOccurred())
		Expect(textOf(chunks)).To(Equal(expected.Text(expected.Tokens)))
		Expect(chunks[len(chunks)-1]).To(Equal(port.Chunk{
			RequestID: "q1", Index: expected.Tokens, Final: true, Finish: expected.Finish,
		}))
		if tokens > 0 {
			Expect(expected.Tokens).To(Equal(tokens))
		}
	},
		Entry("plain prompt", "a sign for a bakery", 0),
		Entry("topic", "user: "+engine.Topic("id-1", 40)+"\n", 40),
		Entry("topic without an end", "[[id-1 40", 0),
	)

	It("depend on the topic alone, on the seed and on the bound", func() {
		a := engine.AnswerTo("user: "+engine.Topic("id", 30), 1, 0)
		b := engine.AnswerTo("other words "+engine.Topic("id", 30)+" and more", 1, 0)
		Expect(a.Text(30)).To(Equal(b.Text(30)))
		Expect(engine.AnswerTo(engine.Topic("id", 30), 2, 0).Text(30)).NotTo(Equal(a.Text(30)))
		Expect(engine.AnswerTo(engine.Topic("other", 30), 1, 0).Text(30)).NotTo(Equal(a.Text(30)))
		cut := engine.AnswerTo(engine.Topic("id", 30), 1, 10)
		Expect(cut.Tokens).To(Equal(10))
		Expect(cut.Finish).To(Equal("length"))
	})

	It("continue exactly when they are resumed at any position on another VM", func() {
		other := start("vm-2", unchanged)
		join(other)
		req := ask("a long text")
		whole, err := m.generate(req)
		Expect(err).NotTo(HaveOccurred())
		for from := range len(whole) {
			resumed := req
			resumed.ResumeFrom = from
			resumed.Prefix = textOf(whole[:from])
			rest, err := other.generate(resumed)
			Expect(err).NotTo(HaveOccurred())
			Expect(rest).To(Equal(whole[from:]))
		}
	})

	DescribeTable("are refused as not run", func(change func(*port.GenerateRequest)) {
		req := ask("p")
		change(&req)
		_, err := m.generate(req)
		Expect(reason(err)).To(Equal(verdict.NotRun))
	},
		Entry("another replica", func(r *port.GenerateRequest) { r.Replica = "r2" }),
		Entry("another generation", func(r *port.GenerateRequest) { r.Generation++ }),
		Entry("a wrong prefix", func(r *port.GenerateRequest) { r.ResumeFrom, r.Prefix = 2, "wrong" }),
		Entry("a position beyond the end", func(r *port.GenerateRequest) { r.ResumeFrom = 5000 }),
	)

	It("take slots by priority and refuse what does not fit the queue", func() {
		held := []string{"a", "b"}
		for _, id := range held {
			req := ask("p")
			req.RequestID = id
			m.open(req)
		}
		Expect(m.service.Faults.Set(`{"stall_next":2,"break_after":1}`)).To(Succeed())
		started := make(chan string, 2)
		for i, id := range []string{"low", "high"} {
			req := ask("p")
			req.RequestID = id
			req.Priority = i
			go func() {
				defer GinkgoRecover()
				stream, err := m.upstream.Generate(ctx, m.address, req)
				Expect(err).NotTo(HaveOccurred())
				DeferCleanup(stream.Close)
				started <- id
			}()
			Eventually(func() int { m.clock.Add(int64(time.Minute)); return m.service.Report().Queued }).Should(Equal(i + 1))
		}
		_, err := m.generate(ask("p"))
		Expect(reason(err)).To(Equal(verdict.NotRun))
		var first, second string
		Expect(m.upstream.Cancel(ctx, m.address, "a")).To(Succeed())
		Eventually(started).Should(Receive(&first))
		Expect(m.upstream.Cancel(ctx, m.address, "high")).To(Succeed())
		Eventually(started).Should(Receive(&second))
		Expect([]string{first, second}).To(Equal([]string{"high", "low"}))
	})

	It("free their slot when the caller goes away or cancels", func() {
		m.open(ask("p")).Close()
		canceled := m.open(ask("p"))
		Expect(m.upstream.Cancel(ctx, m.address, "q1")).To(Succeed())
		_, err := canceled.Next()
		Expect(reason(err)).To(Equal(verdict.MayHaveRun))
		Eventually(func() int { m.clock.Add(int64(time.Minute)); return m.service.Report().Running }).Should(BeZero())
	})

	It("report their load with a lag", func() {
		m.clock.Add(int64(time.Minute))
		m.open(ask("p"))
		Expect(m.service.Report().Running).To(BeZero())
		m.clock.Add(int64(time.Second))
		Expect(m.service.Report()).To(And(HaveField("Running", 1),
			HaveField("LoadAt", time.Unix(60, 0).UnixMilli())))
	})

	DescribeTable("are spoiled by fault switches", func(faults string, indexes []int) {
		Expect(m.service.Faults.Set(faults)).To(Succeed())
		req := ask(engine.Topic("id", 4))
		chunks, _ := m.generate(req)
		var got []int
		for _, c := range chunks {
			if c.RequestID != req.RequestID {
				got = append(got, -1)
				continue
			}
			got = append(got, c.Index)
		}
		Expect(got).To(Equal(indexes))
	},
		Entry("none", `{}`, []int{0, 1, 2, 3, 4}),
		Entry("dropped", `{"drop_every":2}`, []int{0, 2, 4}),
		Entry("final dropped", `{"drop_every":5}`, []int{0, 1, 2, 3}),
		Entry("doubled", `{"duplicate_every":2}`, []int{0, 1, 1, 2, 3, 3, 4}),
		Entry("swapped", `{"swap_every":2}`, []int{0, 2, 1, 4, 3}),
		Entry("foreign", `{"foreign_every":3}`, []int{0, 1, -1, 2, 3, 4}),
		Entry("cut off", `{"cut_next":1,"break_after":2}`, []int{0, 1}),
	)

	It("crash the VM, which comes back as if nothing had happened", func() {
		Expect(m.service.Faults.Set(`{"crash_on":"poison"}`)).To(Succeed())
		before := m.service.Report()
		bystander := m.open(ask("p"))
		_, err := m.generate(ask("some poison"))
		Expect(reason(err)).To(Equal(verdict.MayHaveRun))
		_, err = bystander.Next()
		Expect(reason(err)).To(Equal(verdict.MayHaveRun))
		after := m.service.Report()
		Expect(after.Boot).NotTo(Equal(before.Boot))
		Expect(after.State).To(Equal(port.EngineIdle))
		Expect(after.HeldWeights).To(BeEmpty())
	})

	It("freeze with the VM and go on after it", func() {
		Expect(m.service.Faults.Set(`{"pause":true}`)).To(Succeed())
		done := make(chan error, 1)
		go func() {
			_, err := m.generate(ask("p"))
			done <- err
		}()
		Consistently(done, 50*time.Millisecond).ShouldNot(Receive())
		Expect(m.service.Faults.Set(`{"pause":false}`)).To(Succeed())
		Eventually(done).Should(Receive(BeNil()))
	})

	It("publish cached prefixes late, within limits and with gaps", func() {
		Expect(m.service.Faults.Set(`{"lose_cache_every":2}`)).To(Succeed())
		prompt := strings.Repeat("x", 3*port.PrefixBlockBytes)
		hashes := port.PrefixHashes(prompt)
		chunks, err := m.generate(ask(prompt))
		Expect(err).NotTo(HaveOccurred())
		Expect(chunks[0].CachedTokens).To(BeZero())
		events, err := m.upstream.CacheEvents(ctx, m.address, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(events.Events).To(BeEmpty())
		m.clock.Add(int64(time.Second))
		events, err = m.upstream.CacheEvents(ctx, m.address, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(events.Events).To(Equal([]port.CacheEvent{
			{Seq: 1, PrefixHash: hashes[0]}, {Seq: 3, PrefixHash: hashes[2]},
		}))
		chunks, err = m.generate(ask(prompt + "and more"))
		Expect(err).NotTo(HaveOccurred())
		Expect(chunks[0].CachedTokens).To(BeNumerically(">", 0))
		Expect(m.service.Faults.Set(`{"lose_cache_every":0}`)).To(Succeed())
		for i := range 2 {
			_, err := m.generate(ask(strings.Repeat(fmt.Sprint(i), 2*port.PrefixBlockBytes)))
			Expect(err).NotTo(HaveOccurred())
		}
		m.clock.Add(int64(time.Second))
		events, err = m.upstream.CacheEvents(ctx, m.address, 3)
		Expect(err).NotTo(HaveOccurred())
		Expect(events.Events).To(ContainElement(HaveField("Dropped", true)))
	})
})
