package processtest_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/api"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

const (
	// confirmSenders is the number of callers that send keys at the same time.
	confirmSenders = 6
	// callTimeout is how long a caller waits for one attempt. It is longer than
	// a node waits for the log.
	callTimeout = 4 * time.Second
	// attemptsPerKey bounds how often a caller sends a key until it is answered.
	attemptsPerKey = 10
	// attemptPause is how long a caller waits before it sends a key again.
	attemptPause = 200 * time.Millisecond
	// progressKeys is the number of further answered keys that count as progress.
	progressKeys = 8
)

// confirmations simulates callers that send calls of the class confirm, each with a
// new idempotency key, until it is stopped. It collects the answers.
type confirmations struct {
	w        *world
	stop     chan struct{}
	wg       sync.WaitGroup
	answered atomic.Int64

	mu sync.Mutex
	// sent holds all keys and whether each was answered.
	sent map[string]bool
	// reasons counts the refusals by reason.
	reasons map[verdict.Reason]int
	// problems describes the answers that contradict the effects.
	problems []string
}

// startConfirmations starts the callers. They are stopped at the latest at the end
// of the spec.
func (w *world) startConfirmations() *confirmations {
	c := &confirmations{w: w, stop: make(chan struct{}), sent: map[string]bool{}, reasons: map[verdict.Reason]int{}}
	for i := range confirmSenders {
		c.wg.Go(func() { c.run(i) })
	}
	DeferCleanup(c.finish)
	return c
}

// finish makes the callers take no new keys and waits until they are done with
// their present ones.
func (c *confirmations) finish() {
	select {
	case <-c.stop:
	default:
		close(c.stop)
	}
	c.wg.Wait()
}

func (c *confirmations) run(turn int) {
	for {
		select {
		case <-c.stop:
			return
		default:
			c.sendKey(turn)
			turn++
		}
	}
}

// attemptResult is the answer to one attempt, or the error if there was none.
type attemptResult struct {
	status int
	body   struct {
		Body  map[string]any   `json:"body"`
		Error *api.ErrorDetail `json:"error"`
	}
	err error
}

func (c *confirmations) attempt(n *node, key string) attemptResult {
	return c.attemptWithin(callTimeout, n, key)
}

func (c *confirmations) attemptWithin(timeout time.Duration, n *node, key string) attemptResult {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var r attemptResult
	header := http.Header{api.HeaderIdempotencyKey: {key}}
	r.status, r.err = doJSONContext(ctx, http.MethodPost, "http://"+n.address+"/v1/calls/"+confirmClass,
		map[string]string{"key": key}, header, &r.body)
	return r
}

// sendKey sends a new key through the nodes in turn until it is answered, and then
// once more. It gives up when a node reports the call as in doubt, and after
// attemptsPerKey attempts.
func (c *confirmations) sendKey(turn int) {
	key := uuid.Must(uuid.NewV7()).String()
	c.noteKey(key, false)
	unanswered := 0
	for i := range attemptsPerKey {
		n := c.w.nodes[(turn+i)%nodeCount]
		before := c.effectsOf(key)
		r := c.attempt(n, key)
		if r.err != nil {
			unanswered++
		}
		if r.err == nil && r.status == http.StatusOK {
			c.noteKey(key, true)
			c.resend(key, c.w.nodes[(turn+i+1)%nodeCount])
			return
		}
		if r.err == nil && c.checkRefusal(key, r, before, unanswered) == verdict.ReasonInDoubt {
			return
		}
		<-time.After(attemptPause)
	}
}

// resend sends an answered key again. It may get the recorded answer or a refusal,
// but the refusal must not have the verdict "not run".
func (c *confirmations) resend(key string, n *node) {
	r := c.attempt(n, key)
	if r.err == nil && r.status != http.StatusOK && r.body.Error != nil && r.body.Error.Verdict == verdict.NotRun {
		c.addProblem("%s was answered and then reported as not run", key)
	}
}

// checkRefusal returns the reason of a refusal. If the refusal has the verdict "not
// run", it checks that the key had not taken effect before the attempt and, unless an
// attempt with the key got no answer and may still run, has not taken effect since.
func (c *confirmations) checkRefusal(key string, r attemptResult, before, unanswered int) verdict.Reason {
	e := r.body.Error
	if e == nil {
		c.addProblem("%s: status %d without an error", key, r.status)
		return ""
	}
	c.mu.Lock()
	c.reasons[e.Reason]++
	c.mu.Unlock()
	if e.Verdict == verdict.NotRun && (before > 0 || (unanswered == 0 && c.effectsOf(key) > 0)) {
		c.addProblem("%s took effect but was reported as not run", key)
	}
	return e.Reason
}

// effectKey returns the key under which the plain service counts the effects of a
// caller's key. The caller's team comes before the caller's key.
func effectKey(key string) string { return "default/" + key }

// effectsOf returns how often a key took effect so far.
func (c *confirmations) effectsOf(key string) int {
	var e struct {
		ByKey map[string]int `json:"by_key"`
	}
	if _, err := doJSON(http.MethodGet, "http://"+c.w.plainAddress+"/effects", nil, &e); err != nil {
		c.addProblem("effects: %v", err)
	}
	return e.ByKey[effectKey(key)]
}

// noteKey records that a key was sent and whether it was answered.
func (c *confirmations) noteKey(key string, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[key] = answered
	if answered {
		c.answered.Add(1)
	}
}

func (c *confirmations) addProblem(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.problems = append(c.problems, fmt.Sprintf(format, args...))
}

// awaitProgress waits until progressKeys more keys are answered.
func (c *confirmations) awaitProgress() {
	GinkgoHelper()
	target := c.answered.Load() + progressKeys
	Eventually(c.answered.Load).Should(BeNumerically(">=", target))
}

// refusals returns how many attempts were refused for a reason so far.
func (c *confirmations) refusals(reason verdict.Reason) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reasons[reason]
}

// claimTimeout is a little longer than a node waits until it has read a claim back.
const claimTimeout = 3500 * time.Millisecond

// failClaim starts outages of the log, of a kind of the log's stand-in, until at least
// one more attempt was refused because its claim was in flight when an outage began. An
// outage that begins while no claim is in flight has only refusals with another reason:
// a node whose reads of the log fail refuses calls before it claims their keys.
func (c *confirmations) failClaim(outage string) {
	GinkgoHelper()
	start := c.refusals(verdict.ReasonLogUnavailable)
	refused := func() int {
		return c.refusals(verdict.ReasonLogUnavailable) + c.refusals(verdict.ReasonNotCaughtUp)
	}
	Eventually(func() int {
		c.awaitProgress()
		before := refused()
		c.w.setLogOutage(outage)
		Eventually(refused).Should(BeNumerically(">", before), "no call was refused in the outage")
		// Claims that were in flight when the outage began are refused until then.
		for end := time.Now().Add(claimTimeout); c.refusals(verdict.ReasonLogUnavailable) == start && time.Now().Before(end); {
			time.Sleep(pollInterval)
		}
		c.w.setLogOutage("")
		return c.refusals(verdict.ReasonLogUnavailable)
	}).Should(BeNumerically(">", start))
}

var _ = Describe("Confirmations", func() {
	var w *world
	BeforeEach(func() { w = newWorld() })

	// Guards against calls that run twice. The nodes claim a call's idempotency
	// key in the log before they run the call. Without claims, calls with the same
	// key through two nodes would take effect twice; the plain service counts the
	// effects of each key, so the test would see it.
	It("take effect at most once, whatever fails", func() {
		c := w.startConfirmations()
		c.awaitProgress()
		setFault(w.logAddress, map[string]any{"lose_answers": 20})
		setFault(w.plainAddress, map[string]any{"refuse_next": 6})
		c.awaitProgress()
		w.nodes[0].pause()
		c.awaitProgress()
		c.failClaim("refuse")
		c.awaitProgress()
		w.nodes[1].Kill()
		w.nodes[0].resume()
		c.awaitProgress()
		w.nodes[1].start()
		setFault(w.plainAddress, map[string]any{"lose_answers": 3})
		c.failClaim("lose")
		c.awaitProgress()
		c.finish()
		c.expectAtMostOnce()
	})
})

// expectAtMostOnce requires that no key took effect twice, that each answered key
// took effect, and that no answer contradicted the effects.
func (c *confirmations) expectAtMostOnce() {
	GinkgoHelper()
	effects := c.w.effects()
	c.mu.Lock()
	defer c.mu.Unlock()
	Expect(c.problems).To(BeEmpty())
	known := map[string]bool{}
	for key, n := range effects {
		Expect(n).To(Equal(1), "effects of "+key)
		known[key] = true
	}
	for key, answered := range c.sent {
		delete(known, effectKey(key))
		if answered {
			Expect(effects).To(HaveKey(effectKey(key)), "answered without effect")
		}
	}
	Expect(known).To(BeEmpty(), "effects of keys that nobody sent")
	AddReportEntry("confirmations", fmt.Sprintf("%d sent, %d answered, %d effects, refusals %v",
		len(c.sent), c.answered.Load(), len(effects), c.reasons))
}
