package poison

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// cutOff records a crash of another upstream, which had begun to answer these requests, and
// lets a second pass.
func (b *bench) cutOff(requests ...[]string) {
	b.crashes++
	for _, parts := range requests {
		b.RecordStart(b.now, parts)
		b.RecordCrash(b.now.Add(time.Millisecond), parts, b.crashes, true)
	}
	b.now = b.now.Add(time.Second)
}

// end records a whole answer and lets a millisecond pass.
func (b *bench) end(parts ...string) {
	b.RecordEnd(b.now, parts)
	b.now = b.now.Add(time.Millisecond)
}

// Guards against a failure in which crashes counted against nothing once the answer had begun,
// so that one part of prompts crashed its upstreams without an end.
var _ = Describe("A part that crashes upstreams in the middle of answers", func() {
	It("is convicted after three crashes, and what is beside it is not", func() {
		b := newBench("n")
		b.end("common")
		for i := range 3 {
			Expect(b.standing("deadly")).NotTo(Equal(Convicted))
			b.cutOff([]string{"common", "deadly", Content(fmt.Sprint(i))}, []string{"common", fmt.Sprint("friend", i), Content("x")})
			b.end("common")
		}
		Expect(b.standing("deadly")).To(Equal(Convicted))
		for _, part := range []string{"common", "friend0", "friend2", Content("x"), Content("1")} {
			Expect(b.standing(part)).NotTo(Equal(Convicted), part)
		}
		b.end("friend0")
		Expect(b.standing("friend0")).To(Equal(Sound))
	})

	It("runs one request at a time after its first crash, once whole answers show that others are sound", func() {
		b := newBench("n")
		b.end("common")
		b.cutOff([]string{"common", "deadly"})
		Expect(b.standing("deadly")).To(Equal(Sound))
		b.end("common")
		Expect(b.standing("deadly")).To(Equal(Suspected))
		Expect(b.standing("common")).To(Equal(Sound))
		Expect(b.CutsOff([]string{"deadly"})).To(BeTrue())
		Expect(b.CutsOff([]string{"common"})).To(BeFalse())
	})

	// Guards against a second upstream lost at once to the rest of an answer.
	It("is suspected of answers that were cut off before whole answers show anything", func() {
		b := newBench("n")
		b.cutOff([]string{"common", "deadly"})
		_, _, suspected := b.Judge(b.now, []string{"deadly"}, true)
		Expect(suspected).To(ConsistOf("deadly"))
		_, _, suspected = b.Judge(b.now, []string{"deadly"}, false)
		Expect(suspected).To(BeEmpty())
	})

	It("is convicted although some of its crashes come before the answer begins", func() {
		b := newBench("n")
		b.end("common")
		for range 2 {
			b.cutOff([]string{"common", "deadly"})
			b.crash([]string{"common", "deadly"})
			b.start("common", "deadly")
			b.end("common")
		}
		Expect(b.standing("deadly")).To(Equal(Convicted))
		Expect(b.standing("common")).To(Equal(Sound))
	})

	It("is convicted after five crashes if no other request comes", func() {
		b := newBench("n")
		for range 5 {
			Expect(b.standing("deadly")).NotTo(Equal(Convicted))
			b.cutOff([]string{"deadly"})
		}
		Expect(b.standing("deadly")).To(Equal(Convicted))
	})

	// Guards against a bystander that is refused in its place for half a minute, because it was
	// resumed where the deadly one was, and hit once more.
	It("is not told from a bystander of two crashes until the outcome of a request does", func() {
		b := newBench("n")
		b.end("common")
		b.cutOff([]string{"deadly"}, []string{"friend"})
		b.cutOff([]string{"deadly"}, []string{"friend"})
		b.cutOff([]string{"friend"}, []string{"other"})
		b.end("common")
		_, convicted, suspected := b.Judge(b.now, []string{"common", "friend"}, false)
		Expect(convicted).To(BeFalse())
		Expect(suspected).To(ConsistOf("friend"))
		b.end("common", "friend")
		Expect(b.standing("friend")).To(Equal(Sound))
		Expect(b.standing("deadly")).To(Equal(Suspected))
		b.cutOff([]string{"common", "deadly"})
		b.end("common")
		Expect(b.standing("deadly")).To(Equal(Convicted))
	})

	// Guards against trials without an end of two deadly parts that shared a crash.
	It("is convicted beside another one that it shares crashes with", func() {
		for shared := range 3 {
			b := newBench("n")
			b.end("common")
			for range shared {
				b.cutOff([]string{"common", "one"}, []string{"common", "two"})
				b.end("common")
			}
			for range convictCrashesUntold - shared {
				for _, part := range []string{"one", "two"} {
					if _, convicted, _ := b.Judge(b.now, []string{"common", part}, false); !convicted {
						b.cutOff([]string{"common", part})
						b.end("common")
					}
				}
			}
			for _, part := range []string{"one", "two"} {
				_, convicted, _ := b.Judge(b.now, []string{"common", part}, false)
				Expect(convicted).To(BeTrue(), "%s, %d shared", part, shared)
			}
		}
	})

	It("is convicted alone once it has crashed two upstreams more than a bystander's", func() {
		b := newBench("n")
		b.end("common")
		for i := range 4 {
			parts := [][]string{{"deadly"}}
			if i < 2 {
				parts = append(parts, []string{"friend"})
			}
			b.cutOff(parts...)
			b.end("common")
		}
		_, convicted, _ := b.Judge(b.now, []string{"common", "deadly"}, false)
		Expect(convicted).To(BeTrue())
		Expect(b.standing("friend")).To(Equal(Sound))
	})

	It("is convicted although other upstreams can end its answers, after five crashes", func() {
		b := newBench("n")
		b.end("common")
		for range 5 {
			Expect(b.standing("deadly")).NotTo(Equal(Convicted))
			b.cutOff([]string{"common", "deadly"})
			b.RecordRest(b.now, []string{"common", "deadly"})
			b.end("common")
		}
		Expect(b.standing("deadly")).To(Equal(Convicted))
	})

	// Guards against a deadly part that goes on for a third crash, because a bystander, whose
	// answers had begun, seemed as likely a cause.
	It("does not keep one from being convicted that crashes them before answers begin", func() {
		b := newBench("n")
		b.end("common")
		for range 2 {
			b.cutOff([]string{"common", "friend"})
			b.RecordCrash(b.now.Add(-time.Second), []string{"common", "deadly"}, b.crashes, false)
			b.end("common")
		}
		Expect(b.standing("deadly")).To(Equal(Convicted))
		Expect(b.standing("friend")).To(Equal(Sound))
	})

	It("is convicted if answers with it ended before it became deadly", func() {
		b := newBench("n")
		b.end("common", "deadly")
		for range 3 {
			b.cutOff([]string{"common", "deadly"})
			b.end("common")
		}
		Expect(b.standing("deadly")).To(Equal(Convicted))
		Expect(b.standing("common")).To(Equal(Sound))
	})

	It("is convicted beside others, which are convicted too", func() {
		b := newBench("n")
		b.end("common")
		for range 3 {
			for _, part := range []string{"one", "two", "three"} {
				b.cutOff([]string{"common", part})
			}
			b.end("common")
		}
		for _, part := range []string{"one", "two", "three"} {
			Expect(b.standing(part)).To(Equal(Convicted), part)
		}
		Expect(b.standing("common")).To(Equal(Sound))
	})

	It("is sound again after one whole answer, at all nodes", func() {
		a, b := newBench("a"), newBench("b")
		a.end("common")
		for range 3 {
			a.cutOff([]string{"common", "deadly"})
			a.end("common")
		}
		b.now = a.now
		a.send(b)
		Expect(b.standing("deadly")).To(Equal(Convicted))
		Expect(b.standing("common")).To(Equal(Sound))
		a.now = a.now.Add(holdFactor * minHold)
		Expect(a.standing("deadly")).To(Equal(Suspected))
		a.start("deadly")
		Expect(a.standing("deadly")).To(Equal(Suspected))
		a.end("deadly")
		b.now = a.now
		a.send(b)
		Expect(a.standing("deadly")).To(Equal(Sound))
		Expect(b.standing("deadly")).To(Equal(Sound))
	})

	It("is convicted by crashes that several nodes saw", func() {
		a, b := newBench("a"), newBench("b")
		a.end("common")
		a.cutOff([]string{"common", "deadly"})
		a.end("common")
		b.now, b.crashes = a.now, 10
		for range 2 {
			b.cutOff([]string{"common", "deadly"})
			b.end("common")
		}
		a.now = b.now
		a.send(b)
		Expect(b.standing("deadly")).To(Equal(Convicted))
	})
})

// Guards against a request that crashes upstreams for ever, as its answers begin.
var _ = It("A content that crashes upstreams in the middle of answers is convicted after three crashes", func() {
	b := newBench("n")
	b.end("common")
	for range 3 {
		Expect(b.standing(Content("x"))).NotTo(Equal(Convicted))
		b.cutOff([]string{"common", Content("x")})
		b.end("common")
	}
	Expect(b.standing(Content("x"))).To(Equal(Convicted))
	Expect(b.standing("common")).To(Equal(Sound))
})

// Guards against sound requests that are refused because upstreams crash for another reason
// while they answer them.
var _ = Describe("Crashes in the middle of sound answers", func() {
	It("don't hold back what all requests share before any answer has ended", func() {
		b := newBench("n")
		for range 3 {
			b.cutOff([]string{"common", "a"}, []string{"common", "b"})
			Expect(b.standing("common")).To(Equal(Sound))
		}
		b.end("common", "c")
		Expect(b.standing("common")).To(Equal(Sound))
	})

	// simulate plays requests of four parts and the common one on eight upstreams, one of
	// which crashes every two seconds, and counts the requests and those that are refused.
	// Suspected ones, which would wait for their turn, are left out.
	simulate := func(seed uint64, length time.Duration) (requests, refused int) {
		const upstreams, step = 8, 20 * time.Millisecond
		rng := rand.New(rand.NewPCG(seed, 0))
		b := newBench("n")
		type request struct {
			parts       []string
			upstream    int
			end         time.Time
			begun, rest bool
		}
		var running []*request
		nextCrash := b.now.Add(2 * time.Second)
		for until := b.now.Add(60 * time.Second); b.now.Before(until); b.now = b.now.Add(step) {
			if rng.IntN(4) == 0 {
				requests++
				parts := []string{"common", fmt.Sprint("doc", rng.IntN(4)), Content(fmt.Sprint(requests))}
				_, convicted, suspected := b.Judge(b.now, parts, false)
				switch {
				case convicted:
					refused++
				case len(suspected) == 0:
					running = append(running, &request{parts: parts, upstream: rng.IntN(upstreams), end: b.now.Add(length)})
				}
			}
			if b.now.After(nextCrash) {
				nextCrash = nextCrash.Add(2 * time.Second)
				b.crashes++
				for _, r := range running {
					if r.upstream == int(b.crashes)%upstreams {
						b.RecordCrash(b.now, r.parts, b.crashes, r.begun)
						r.upstream, r.rest = rng.IntN(upstreams), r.begun
					}
				}
			}
			var left []*request
			for _, r := range running {
				switch {
				case !r.begun:
					r.begun = true
					b.RecordStart(b.now, r.parts)
				case b.now.After(r.end) && r.rest:
					b.RecordRest(b.now, r.parts)
					continue
				case b.now.After(r.end):
					b.RecordEnd(b.now, r.parts)
					continue
				}
				left = append(left, r)
			}
			running = left
		}
		return requests, refused
	}

	DescribeTable("refuse no request", func(length time.Duration) {
		for seed := range uint64(20) {
			requests, refused := simulate(seed, length)
			Expect(requests).To(BeNumerically(">", 500))
			Expect(refused).To(BeZero(), "seed %d", seed)
		}
	},
		Entry("if answers take 300 ms", 300*time.Millisecond),
		Entry("if answers take a second", time.Second),
	)
})
