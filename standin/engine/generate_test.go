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
		m = startVM("vm-1", keepSettings)
		join(m)
	})

	verdictOf := func(err error) verdict.Verdict { return verdict.FromError(err).Verdict }

	DescribeTable("have the text, length and end that AnswerTo computes", func(prompt string, tokens int) {
		req := newRequest(prompt)
		expected := engine.AnswerTo(prompt, req.Seed, req.MaxTokens)
		chunks, err := m.generate(req)
		Expect(err).NotTo(HaveOccurred())
		Expect(textOf(chunks)).To(Equal(expected.Text(expected.Tokens)))
		Expect(chunks[len(chunks)-1]).To(Equal(port.Chunk{
			RequestID: "q1", Index: expected.Tokens, Final: true, FinishReason: expected.FinishReason,
		}))
		if tokens > 0 {
			Expect(expected.Tokens).To(Equal(tokens))
		}
	},
		Entry("plain prompt", "a sign for a bakery", 0),
		Entry("topic", "user: "+engine.Topic("id-1", 40)+"\n", 40),
		Entry("topic without its closing mark", "[[id-1 40", 0),
	)

	It("depend only on the topic, the seed and the bound on tokens", func() {
		a := engine.AnswerTo("user: "+engine.Topic("id", 30), 1, 0)
		b := engine.AnswerTo("other words "+engine.Topic("id", 30)+" and more", 1, 0)
		Expect(a.Text(30)).To(Equal(b.Text(30)))
		Expect(engine.AnswerTo(engine.Topic("id", 30), 2, 0).Text(30)).NotTo(Equal(a.Text(30)))
		Expect(engine.AnswerTo(engine.Topic("other", 30), 1, 0).Text(30)).NotTo(Equal(a.Text(30)))
		cut := engine.AnswerTo(engine.Topic("id", 30), 1, 10)
		Expect(cut.Tokens).To(Equal(10))
		Expect(cut.FinishReason).To(Equal("length"))
	})

	It("have the same remaining chunks when another VM resumes them at any position", func() {
		other := startVM("vm-2", keepSettings)
		join(other)
		req := newRequest("a long text")
		whole, err := m.generate(req)
		Expect(err).NotTo(HaveOccurred())
		for from := range len(whole) {
			resumed := req
			resumed.ResumeFrom = from
			resumed.AnswerPrefix = textOf(whole[:from])
			rest, err := other.generate(resumed)
			Expect(err).NotTo(HaveOccurred())
			Expect(rest).To(Equal(whole[from:]))
		}
	})

	DescribeTable("are refused as not run if the request does not fit the VM's replica or the answer", func(change func(*port.GenerateRequest)) {
		req := newRequest("p")
		change(&req)
		_, err := m.generate(req)
		Expect(verdictOf(err)).To(Equal(verdict.NotRun))
	},
		Entry("another replica", func(r *port.GenerateRequest) { r.Replica = "r2" }),
		Entry("another generation", func(r *port.GenerateRequest) { r.Generation++ }),
		Entry("a wrong prefix", func(r *port.GenerateRequest) { r.ResumeFrom, r.AnswerPrefix = 2, "wrong" }),
		Entry("a position beyond the answer's end", func(r *port.GenerateRequest) { r.ResumeFrom = 5000 }),
	)

	It("take free slots by priority, and a request is refused as not run while the queue is full", func() {
		occupying := []string{"a", "b"}
		for _, id := range occupying {
			req := newRequest("p")
			req.RequestID = id
			m.openStalled(req)
		}
		Expect(m.service.Faults.SetJSON(`{"stall_next":2,"break_after":1}`)).To(Succeed())
		started := make(chan string, 2)
		for i, id := range []string{"low", "high"} {
			req := newRequest("p")
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
		_, err := m.generate(newRequest("p"))
		Expect(verdictOf(err)).To(Equal(verdict.NotRun))
		var first, second string
		Expect(m.upstream.Cancel(ctx, m.address, "a")).To(Succeed())
		Eventually(started).Should(Receive(&first))
		Expect(m.upstream.Cancel(ctx, m.address, "high")).To(Succeed())
		Eventually(started).Should(Receive(&second))
		Expect([]string{first, second}).To(Equal([]string{"high", "low"}))
	})

	It("free their slot when the client closes the stream or cancels the request", func() {
		m.openStalled(newRequest("p")).Close()
		canceled := m.openStalled(newRequest("p"))
		Expect(m.upstream.Cancel(ctx, m.address, "q1")).To(Succeed())
		_, err := canceled.Next()
		Expect(verdictOf(err)).To(Equal(verdict.MayHaveRun))
		Eventually(func() int { m.clock.Add(int64(time.Minute)); return m.service.Report().Running }).Should(BeZero())
	})

	It("count in the VM's reported load only after the lag", func() {
		m.clock.Add(int64(time.Minute))
		m.openStalled(newRequest("p"))
		Expect(m.service.Report().Running).To(BeZero())
		m.clock.Add(int64(time.Second))
		Expect(m.service.Report()).To(And(HaveField("Running", 1),
			HaveField("LoadAt", time.Unix(60, 0).UnixMilli())))
	})

	DescribeTable("lose, repeat, swap or gain chunks, or are cut off, as the fault switches say", func(faults string, indexes []int) {
		Expect(m.service.Faults.SetJSON(faults)).To(Succeed())
		req := newRequest(engine.Topic("id", 4))
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
		Entry("final chunk dropped", `{"drop_every":5}`, []int{0, 1, 2, 3}),
		Entry("doubled", `{"duplicate_every":2}`, []int{0, 1, 1, 2, 3, 3, 4}),
		Entry("swapped", `{"swap_every":2}`, []int{0, 2, 1, 4, 3}),
		Entry("foreign", `{"foreign_every":3}`, []int{0, 1, -1, 2, 3, 4}),
		Entry("cut off", `{"cut_next":1,"break_after":2}`, []int{0, 1}),
	)

	It("are all cut off when one prompt crashes the VM, which restarts idle and without weights", func() {
		Expect(m.service.Faults.SetJSON(`{"crash_on":"poison"}`)).To(Succeed())
		before := m.service.Report()
		concurrent := m.openStalled(newRequest("p"))
		_, err := m.generate(newRequest("some poison"))
		Expect(verdictOf(err)).To(Equal(verdict.MayHaveRun))
		_, err = concurrent.Next()
		Expect(verdictOf(err)).To(Equal(verdict.MayHaveRun))
		after := m.service.Report()
		Expect(after.Boot).NotTo(Equal(before.Boot))
		Expect(after.State).To(Equal(port.EngineIdle))
		Expect(after.HeldWeights).To(BeEmpty())
	})

	It("wait while the VM is paused and continue after the pause", func() {
		Expect(m.service.Faults.SetJSON(`{"pause":true}`)).To(Succeed())
		done := make(chan error, 1)
		go func() {
			_, err := m.generate(newRequest("p"))
			done <- err
		}()
		Consistently(done, 50*time.Millisecond).ShouldNot(Receive())
		Expect(m.service.Faults.SetJSON(`{"pause":false}`)).To(Succeed())
		Eventually(done).Should(Receive(BeNil()))
	})

	It("publish prompt prefixes that are cached after a lag, drop prefixes over the limit and lose events on a fault", func() {
		Expect(m.service.Faults.SetJSON(`{"lose_cache_every":2}`)).To(Succeed())
		prompt := strings.Repeat("x", 3*port.PrefixBlockBytes)
		hashes := port.PrefixHashes(prompt)
		chunks, err := m.generate(newRequest(prompt))
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
		chunks, err = m.generate(newRequest(prompt + "and more"))
		Expect(err).NotTo(HaveOccurred())
		Expect(chunks[0].CachedTokens).To(BeNumerically(">", 0))
		Expect(m.service.Faults.SetJSON(`{"lose_cache_every":0}`)).To(Succeed())
		for i := range 2 {
			_, err := m.generate(newRequest(strings.Repeat(fmt.Sprint(i), 2*port.PrefixBlockBytes)))
			Expect(err).NotTo(HaveOccurred())
		}
		m.clock.Add(int64(time.Second))
		events, err = m.upstream.CacheEvents(ctx, m.address, 3)
		Expect(err).NotTo(HaveOccurred())
		Expect(events.Events).To(ContainElement(HaveField("Dropped", true)))
	})
})
