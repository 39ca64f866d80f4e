package soak_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

var (
	firstSeed = flag.Uint64("soak.seed", 1, "first seed")
	seedCount = flag.Int("soak.seeds", 3, "number of seeds")
	forTime   = flag.Duration("soak.time", 0, "run seeds until this time is over, instead of a number of them")
	harmFor   = flag.Duration("soak.harm", 10*time.Second, "how long a run's faults begin")
)

// regressions are the seeds that ever failed.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{3, "a stand-in that was closed as planned cut its stream off, and the check took that for the stop of the node beside it"},
	{140, "all nodes were killed twice while the store was away for four seconds, and what they refused without a configuration counted as not served"},
}

// gatewayPath is the built daemon.
var gatewayPath string

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Soak Suite")
}

var _ = BeforeSuite(func() {
	path, err := gexec.Build("github.com/tamarackcleat/tamarackcleat/cmd/tamarackcleat-gateway")
	Expect(err).NotTo(HaveOccurred())
	gatewayPath = path
})

var _ = AfterSuite(gexec.CleanupBuildArtifacts)

var _ = Describe("The gateway under overlapping faults", func() {
	It("keeps its promises", func() {
		end := time.Now().Add(*forTime)
		for i := 0; *forTime > 0 && time.Now().Before(end) || *forTime == 0 && i < *seedCount; i++ {
			run(*firstSeed + uint64(i))
		}
	})

	for _, r := range regressions {
		It(fmt.Sprintf("keeps its promises under seed %d, which failed once: %s", r.seed, r.cause), func() { run(r.seed) })
	}
})

// run plays one seed.
func run(seed uint64) {
	GinkgoHelper()
	By(fmt.Sprintf("seed %d", seed))
	w := newWorld(seed)
	defer w.stop()
	started := time.Now()
	w.traffic()
	w.harm(faultsOf(seed), *harmFor)
	for _, n := range w.nodes {
		Eventually(func() bool { return w.serves(n, streamKind) && w.serves(n, onceKind) && n.inRotation.Load() }, recoverIn, pollPeriod).
			Should(BeTrue(), func() string { return fmt.Sprintf("seed %d: %s doesn't recover\n%s", seed, n.name, w.story(started)) })
	}
	problems := w.findings()
	w.stop()
	fmt.Println(w.summary(seed, len(problems)))
	Expect(problems).To(BeEmpty(), func() string {
		return fmt.Sprintf("seed %d, start %s\n%s", seed, started.Format("05.000"), w.story(started))
	})
}

// summary tells what a run was like in one line.
func (w *world) summary(seed uint64, findings int) string {
	counts := map[string]int{}
	for _, a := range w.log.list() {
		switch {
		case a.whole:
			counts[fmt.Sprint(a.status)]++
		case a.left:
			counts["left"]++
		case a.hung:
			counts["hung"]++
		default:
			counts["closed"]++
		}
	}
	return fmt.Sprintf("seed %d: %d nodes, %d upstreams, %d faults, %d attempts %v, %d runs, %d findings",
		seed, len(w.nodes), len(w.llms)+len(w.desks), len(w.notes.list(time.Now())), len(w.log.list()), counts, w.fleet.TotalRuns(), findings)
}

// story tells what was done to the system and what the nodes said last.
func (w *world) story(started time.Time) string {
	return strings.Join(w.notes.list(started), "\n") + "\n" + w.tails()
}
