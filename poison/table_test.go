package poison

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// bench is a table with a clock and numbered crashes.
type bench struct {
	*Table
	now     time.Time
	crashes CrashID
}

func newBench(node string) *bench {
	return &bench{Table: NewTable(node), now: time.Unix(1000, 0)}
}

// crash records a crash of another upstream and lets a second pass.
func (b *bench) crash(requests ...[]string) {
	b.crashes++
	for _, parts := range requests {
		b.RecordCrash(b.now, parts, b.crashes, false)
	}
	b.now = b.now.Add(time.Second)
}

// start records a start and lets a millisecond pass.
func (b *bench) start(parts ...string) {
	b.RecordStart(b.now, parts)
	b.now = b.now.Add(time.Millisecond)
}

func (b *bench) standing(part string) Standing { return b.Standing(b.now, part) }

// send passes a table's report on to another one, as encoded.
func (b *bench) send(to *bench) {
	data, err := json.Marshal(b.Report(b.now))
	Expect(err).NotTo(HaveOccurred())
	var r Findings
	Expect(json.Unmarshal(data, &r)).To(Succeed())
	to.Merge(to.now, r)
}

// Guards against a failure in which no two requests with a deadly part are alike, so that a count
// of whole contents never finds what they share.
var _ = Describe("A deadly part", func() {
	It("is convicted after two crashes, and the parts beside it are not", func() {
		b := newBench("n")
		b.start("common", "friend")
		b.crash([]string{"common", "deadly", Content("1")})
		Expect(b.standing("deadly")).To(Equal(Suspected))
		Expect(b.standing("common")).To(Equal(Sound))
		b.crash([]string{"common", "deadly", Content("2")}, []string{"common", "friend", Content("3")})
		b.start("common", "friend")
		Expect(b.standing("deadly")).To(Equal(Convicted))
		for _, part := range []string{"common", "friend", Content("1"), Content("2"), Content("3")} {
			Expect(b.standing(part)).To(Equal(Sound), part)
		}
	})

	It("is convicted after a third crash if answers began with it before", func() {
		b := newBench("n")
		b.start("common", "deadly")
		for range 3 {
			Expect(b.standing("deadly")).NotTo(Equal(Convicted))
			b.crash([]string{"common", "deadly"})
			b.start("common")
		}
		Expect(b.standing("deadly")).To(Equal(Convicted))
	})

	It("is convicted beside another deadly part", func() {
		b := newBench("n")
		b.start("common")
		for range 2 {
			b.crash([]string{"common", "one"})
			b.crash([]string{"common", "two"})
			b.start("common")
		}
		Expect(b.standing("one")).To(Equal(Convicted))
		Expect(b.standing("two")).To(Equal(Convicted))
		Expect(b.standing("common")).To(Equal(Sound))
	})

	It("is convicted with a part that is always beside it, after a third crash", func() {
		b := newBench("n")
		for range 3 {
			Expect(b.standing("deadly")).NotTo(Equal(Convicted))
			b.crash([]string{"deadly", "twin"})
		}
		Expect(b.standing("deadly")).To(Equal(Convicted))
		Expect(b.standing("twin")).To(Equal(Convicted))
	})

	// Guards against sound requests that are refused for minutes, because a part that they
	// share with the deadly ones had no answer before the first crash.
	It("lets a request run that tells it apart from a part that was convicted with it", func() {
		b := newBench("n")
		for range 3 {
			b.crash([]string{"common", "deadly"})
		}
		Expect(b.standing("common")).To(Equal(Convicted))
		_, convicted, _ := b.Judge(b.now, []string{"common", "deadly", Content("1")}, false)
		Expect(convicted).To(BeTrue())
		_, convicted, suspected := b.Judge(b.now, []string{"common", "friend", Content("2")}, false)
		Expect(convicted).To(BeFalse())
		Expect(suspected).To(ConsistOf("common"))
		b.start("common", "friend")
		Expect(b.standing("common")).To(Equal(Sound))
		Expect(b.standing("deadly")).To(Equal(Convicted))
		_, convicted, _ = b.Judge(b.now, []string{"common", "deadly", Content("3")}, false)
		Expect(convicted).To(BeTrue())
	})

	// Guards against a conviction that was lifted: of four crashes in quick succession only
	// two counted, and a bystander of two of them seemed as likely a cause.
	It("stays convicted beside a part that was on fewer of the upstreams", func() {
		b := newBench("n")
		at := b.now
		for i, after := range []time.Duration{0, 80, 240, 320} {
			b.now = at.Add(after * time.Millisecond)
			b.RecordCrash(b.now, []string{"deadly"}, CrashID(i), false)
			if i%2 == 0 {
				b.RecordCrash(b.now, []string{"bystander"}, CrashID(i), false)
			}
			if i >= 2 {
				Expect(b.standing("deadly")).To(Equal(Convicted))
				Expect(b.standing("bystander")).To(Equal(Sound))
			}
		}
	})

	// Guards against refused sound requests: a crash of a bystander made the first part
	// that it shares with the deadly ones explain one crash more than they do.
	It("stays convicted, and the part that it shares with bystanders sound, if a bystander's upstream crashes", func() {
		b := newBench("n")
		b.start("common")
		b.crash([]string{"common", "deadly"})
		b.crash([]string{"common", "deadly"})
		b.crash([]string{"common", Content("bystander")})
		Expect(b.standing("deadly")).To(Equal(Convicted))
		Expect(b.standing("common")).To(Equal(Sound))
	})

	It("is convicted beside another one with the same first part, which stays sound", func() {
		b := newBench("n")
		b.start("common")
		b.crash([]string{"common", "one"})
		b.crash([]string{"common", "two"})
		b.crash([]string{"common", "one"})
		b.crash([]string{"common", "two"})
		Expect(b.standing("one")).To(Equal(Convicted))
		Expect(b.standing("two")).To(Equal(Convicted))
		Expect(b.standing("common")).To(Equal(Sound))
	})

	// Guards against a conviction that is forgotten between bursts of requests, so that
	// each burst crashed two upstreams.
	It("crashes few upstreams however long the pauses between its requests are", func() {
		b := newBench("n")
		for burst := range 10 {
			for i := range 6 {
				b.start("common")
				parts := []string{"common", "deadly", Content(fmt.Sprint(burst, i))}
				if _, convicted, _ := b.Judge(b.now, parts, false); !convicted {
					b.crash(parts)
				}
			}
			b.now = b.now.Add(70 * time.Second)
		}
		Expect(b.crashes).To(BeNumerically("<=", 5))
	})

	It("may be tried after a time that grows with each crash, and is sound after a start", func() {
		b := newBench("n")
		b.crash([]string{"deadly"})
		b.crash([]string{"deadly"})
		b.now = b.now.Add(minHold)
		Expect(b.standing("deadly")).To(Equal(Suspected))
		b.crash([]string{"deadly"})
		b.now = b.now.Add(holdFactor*minHold - 2*time.Second)
		Expect(b.standing("deadly")).To(Equal(Convicted))
		b.now = b.now.Add(2 * time.Second)
		Expect(b.standing("deadly")).To(Equal(Suspected))
		b.start("deadly")
		Expect(b.standing("deadly")).To(Equal(Sound))
	})
})

// Guards against sound requests being held back after failures that no request causes.
var _ = Describe("A failure of upstreams without a deadly part", func() {
	It("convicts nothing if many upstreams end at once", func() {
		b := newBench("n")
		for i := range 6 {
			b.RecordCrash(b.now.Add(time.Duration(i)*sameOutageTime/6), []string{"common", "rare"}, CrashID(i), false)
		}
		b.now = b.now.Add(2 * time.Second)
		Expect(b.standing("common")).To(Equal(Suspected))
		b.start("common")
		Expect(b.standing("common")).To(Equal(Sound))
		Expect(b.standing("rare")).To(Equal(Suspected))
	})

	It("holds no part back that answers began with", func() {
		b := newBench("n")
		b.start("common")
		b.crash([]string{"common"})
		Expect(b.standing("common")).To(Equal(Sound))
	})

	It("does not count together with one long ago", func() {
		b := newBench("n")
		b.crash([]string{"rare"})
		b.now = b.now.Add(2 * suspicionTime)
		Expect(b.standing("rare")).To(Equal(Sound))
		b.crash([]string{"rare"})
		Expect(b.standing("rare")).To(Equal(Suspected))
	})

	It("clears a part by an answer to any request with it", func() {
		b := newBench("n")
		b.crash([]string{"rare"})
		Expect(b.standing("rare")).To(Equal(Suspected))
		b.start("rare")
		Expect(b.standing("rare")).To(Equal(Sound))
	})
})

// Guards against the refusal of sound requests, as request_quarantined and without an end,
// because they ran beside a deadly one on two upstreams.
var _ = Describe("The whole content of a request", func() {
	It("is convicted after two crashes that no part explains", func() {
		b := newBench("n")
		b.start("common")
		b.crash([]string{"common", Content("x")})
		Expect(b.standing(Content("x"))).To(Equal(Sound))
		b.start("common")
		b.crash([]string{"common", Content("x")})
		b.start("common")
		Expect(b.standing(Content("x"))).To(Equal(Convicted))
		Expect(b.standing("common")).To(Equal(Sound))
	})

	It("is sound if a deadly part explains its crashes", func() {
		b := newBench("n")
		b.start("common")
		for i := range 2 {
			b.crash([]string{"common", "deadly", Content(fmt.Sprint(i))}, []string{"common", Content("bystander")})
		}
		b.start("common")
		Expect(b.standing(Content("bystander"))).To(Equal(Sound))
		Expect(b.standing("deadly")).To(Equal(Convicted))
	})
})

// Guards against each node having to lose upstreams of its own to a deadly part.
var _ = Describe("Evidence on parts at several nodes", func() {
	It("convicts at all nodes, also one that starts later, from one report", func() {
		a, b, late := newBench("a"), newBench("b"), newBench("late")
		a.start("common")
		a.crash([]string{"common", "deadly"})
		a.start("common")
		b.now = a.now
		b.RecordCrash(b.now, []string{"common", "deadly"}, 77, false)
		b.start("common")
		a.send(b)
		Expect(b.standing("deadly")).To(Equal(Convicted))
		late.now = b.now.Add(-300 * time.Hour)
		b.send(late)
		Expect(late.standing("deadly")).To(Equal(Convicted))
		Expect(late.standing("common")).To(Equal(Sound))
	})

	It("counts a crash that two nodes saw once", func() {
		a, b := newBench("a"), newBench("b")
		a.RecordCrash(a.now, []string{"rare"}, 5, false)
		b.now = b.now.Add(300 * time.Millisecond)
		b.RecordCrash(b.now, []string{"rare"}, 5, false)
		a.send(b)
		b.send(a)
		Expect(a.Crashes("rare")).To(Equal(1))
		Expect(b.Crashes("rare")).To(Equal(1))
	})

	It("clears at all nodes by a start at one", func() {
		a, b := newBench("a"), newBench("b")
		a.crash([]string{"rare"})
		b.now = a.now
		a.send(b)
		Expect(b.standing("rare")).To(Equal(Suspected))
		a.start("rare")
		a.send(b)
		Expect(b.standing("rare")).To(Equal(Sound))
	})
})

// Guards against upstreams lost to requests that are sent before the evidence of the ones
// before them has arrived.
var _ = Describe("Requests with a suspected part", func() {
	suspicious := func(node string) *bench {
		b := newBench(node)
		b.crash([]string{"rare"})
		return b
	}
	claim := func(b *bench, request string) bool { return b.Claim(b.now, request, []string{"rare"}) }

	It("run one at a time at a node", func() {
		b := suspicious("a")
		Expect(claim(b, "1")).To(BeFalse())
		b.now = b.now.Add(claimDelay)
		Expect(claim(b, "2")).To(BeFalse())
		Expect(claim(b, "1")).To(BeTrue())
		b.Release("1")
		Expect(claim(b, "2")).To(BeFalse())
		b.now = b.now.Add(claimDelay)
		Expect(claim(b, "2")).To(BeTrue())
	})

	It("run one at a time at many nodes, whatever the order of reports", func() {
		nodes := make([]*bench, 3*maxReportedClaims)
		for i := range nodes {
			nodes[i] = suspicious(fmt.Sprintf("node-%03d", i))
		}
		running := 0
		for range 80 {
			running = 0
			for i, n := range nodes {
				if claim(n, "r") {
					running++
				}
				n.send(nodes[(i+7)%len(nodes)])
				n.send(nodes[(i+11)%len(nodes)])
				n.now = n.now.Add(10 * time.Millisecond)
			}
			Expect(running).To(BeNumerically("<=", 1))
		}
		Expect(running).To(Equal(1))
	})

	It("run again at other nodes after the one that ran a request is gone", func() {
		a, b := suspicious("a"), suspicious("b")
		claim(a, "1")
		claim(b, "2")
		a.send(b)
		b.now = b.now.Add(2 * claimDelay)
		Expect(claim(b, "2")).To(BeFalse())
		b.now = b.now.Add(claimTTL)
		Expect(claim(b, "2")).To(BeTrue())
	})
})

// Guards against an upstream lost to what waited at a frozen node: when it went on, it sent
// a request with a part that its peers knew to be deadly.
var _ = Describe("A node that stood still or just started", func() {
	judge := func(b *bench, part string) []string {
		_, convicted, suspected := b.Judge(b.now, []string{part, Content("x")}, false)
		Expect(convicted).To(BeFalse())
		return suspected
	}

	It("holds requests with parts that it knows nothing of until its peers may have told it", func() {
		b := newBench("n")
		b.start("common")
		Expect(judge(b, "new")).To(BeEmpty(), "without peers")
		b.Report(b.now)
		Expect(judge(b, "new")).To(ConsistOf("new"))
		Expect(judge(b, "common")).To(BeEmpty())
		for range 10 {
			b.now = b.now.Add(60 * time.Millisecond)
			b.Report(b.now)
		}
		Expect(judge(b, "new")).To(BeEmpty())
		b.now = b.now.Add(3 * time.Second)
		Expect(judge(b, "new")).To(ConsistOf("new"))
		b.Report(b.now)
		Expect(judge(b, "new")).To(ConsistOf("new"))
		Expect(judge(b, "common")).To(BeEmpty())
		b.now = b.now.Add(catchUpTime)
		Expect(judge(b, "new")).To(BeEmpty())
	})
})

// Guards against memory and messages that grow with what callers and peers send.
var _ = Describe("The table's bounds", func() {
	It("hold for any number of suspects, and convictions outlast a flood of bystanders", func() {
		b := newBench("n")
		b.crash([]string{"deadly"})
		b.crash([]string{"deadly"})
		for i := range 4 * maxSuspects {
			b.RecordCrash(b.now, []string{strings.Repeat("f", maxIDBytes-6) + fmt.Sprint(i), Content(fmt.Sprint(i))}, CrashID(1<<60+i), false)
			b.start(fmt.Sprint("s", i))
		}
		Expect(len(b.suspects)).To(BeNumerically("<=", maxSuspects))
		Expect(b.Dropped).To(BeNumerically(">", 0))
		Expect(b.standing("deadly")).To(Equal(Convicted))
		for i := range 2 * maxAnswered {
			b.start(fmt.Sprint("s", i))
		}
		Expect(len(b.answered)).To(BeNumerically("<=", maxAnswered))
		r := b.Report(b.now)
		Expect(len(r.Suspects)).To(And(BeNumerically(">=", 16), BeNumerically("<=", maxReported)))
		Expect(r.Suspects[0].Part).To(Equal("deadly"))
	})

	// Guards against a deadly part that no peer hears of, because the parts of many
	// bystanders of its crash came after it.
	It("leave a part that no answer began with in the report", func() {
		b := newBench("n")
		b.RecordCrash(b.now, []string{"deadly"}, 1, false)
		for i := range 3 * maxReported {
			part := fmt.Sprint("common", i)
			b.start(part)
			b.RecordCrash(b.now, []string{part, Content(part)}, 1, false)
		}
		Expect(b.Report(b.now).Suspects[0].Part).To(Equal("deadly"))
	})

	// Guards against a deadly part that peers don't hear of, because all that ran beside it was
	// new to them too.
	It("leave room in the report for what one crash makes suspects of", func() {
		b := newBench("n")
		for i := range 30 {
			b.RecordCrash(b.now, []string{fmt.Sprintf("%012d", i)}, 1<<60, true)
		}
		Expect(b.Report(b.now).Suspects).To(HaveLen(30))
	})

	// Guards against messages that carry all that a crash cut off for half a minute.
	It("leave out of most reports what a single crash cut off", func() {
		b := newBench("n")
		b.cutOff([]string{"common", "friend"})
		b.cutOff([]string{"common"})
		reported := map[string]int{}
		for range 100 {
			b.now = b.now.Add(60 * time.Millisecond)
			for _, s := range b.Report(b.now).Suspects {
				reported[s.Part]++
			}
		}
		Expect(reported["common"]).To(Equal(100))
		Expect(reported["friend"]).To(And(BeNumerically(">=", 6), BeNumerically("<=", 16)))
	})

	It("keep a report within its size", func() {
		b := newBench("n")
		id := func(i int) string { return fmt.Sprint(i) + strings.Repeat("f", maxIDBytes-3) }
		for i := 100; i < 140; i++ {
			for c := range 2 * maxCrashes {
				b.RecordCrash(b.now.Add(time.Duration(c)*time.Second), []string{id(i)}, CrashID(1<<63)+CrashID(i*100+c), true)
			}
			b.RecordEnd(b.now.Add(-24*time.Hour), []string{id(i)})
			b.RecordRest(b.now.Add(-24*time.Hour), []string{id(i)})
			for n := 100; n < 110; n++ {
				b.Merge(b.now, Findings{Claims: []ClaimReport{{Part: id(i), Node: id(n), Running: true}}})
			}
		}
		data, err := json.Marshal(b.Report(b.now))
		Expect(err).NotTo(HaveOccurred())
		AddReportEntry("bytes", len(data))
		Expect(len(data)).To(BeNumerically("<=", 9<<10))
	})
})
