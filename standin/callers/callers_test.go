package callers_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/port/porthttp"
	"github.com/tamarackcleat/tamarackcleat/standin/callers"
	"github.com/tamarackcleat/tamarackcleat/standin/engine"
	"github.com/tamarackcleat/tamarackcleat/standin/plainservice"
)

// tokens is the length in tokens of the answers in the specs.
const tokens = 5

// chatRequest holds the fields of a request that streamHandler uses.
type chatRequest struct {
	Seed     int64 `json:"seed"`
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

// streamHandler stands in for an entry node. It streams the expected answer as
// one event for each token and an end marker, after corrupt has changed these
// events.
func streamHandler(corrupt func([]string) []string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req chatRequest
		if json.NewDecoder(r.Body).Decode(&req) != nil || len(req.Messages) == 0 {
			return
		}
		answer := engine.AnswerTo("user: "+req.Messages[0].Content, req.Seed, tokens)
		var events []string
		for i := range answer.Tokens {
			events = append(events, fmt.Sprintf(`{"choices":[{"delta":{"content":%q}}]}`, answer.Token(i)))
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for _, e := range corrupt(append(events, "[DONE]")) {
			_, _ = fmt.Fprintf(w, "data: %s\n\n", e)
		}
	}
}

var _ = Describe("the callers", func() {
	// run sends three requests of one kind to a handler and returns their
	// result.
	run := func(handler http.HandlerFunc, kind callers.RequestKind) *callers.Result {
		server := httptest.NewServer(handler)
		DeferCleanup(server.Close)
		return callers.Run(context.Background(), callers.Settings{
			EntryURLs: []string{server.URL}, Kinds: []callers.RequestKind{kind}, Requests: 3, PerSecond: 1000, Seed: 1,
		})[0]
	}
	generate := callers.RequestKind{Class: "drafting", Tokens: tokens, Share: 1}

	DescribeTable("count a streamed answer as whole only if all its events arrive in order up to the end marker", func(corrupt func([]string) []string, complete bool) {
		result := run(streamHandler(corrupt), generate)
		Expect(result.Sent).To(Equal(3))
		if complete {
			Expect(result.Whole).To(Equal(3))
			Expect(result.FirstToken.TotalCount()).To(BeEquivalentTo(3))
			return
		}
		Expect(result.Wrong).To(Equal(3))
		Expect(result.Problems).To(HaveLen(3))
	},
		Entry("whole", func(e []string) []string { return e }, true),
		Entry("without its end marker", func(e []string) []string { return e[:tokens] }, false),
		Entry("without a token", func(e []string) []string { return append(e[:1:1], e[2:]...) }, false),
		Entry("with a token twice", func(e []string) []string { return append(e[:1:1], e...) }, false),
		Entry("with tokens swapped", func(e []string) []string { e[0], e[4] = e[4], e[0]; return e }, false),
		Entry("with an event that is not JSON", func(e []string) []string { e[0] = "{"; return e }, false),
		Entry("empty", func([]string) []string { return nil }, false),
	)

	It("count refusals by their reason, also those that come within a stream", func() {
		const body = `{"error":{"reason":"queue_full","verdict":"not_run"}}`
		refused := run(func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, body, http.StatusTooManyRequests)
		}, generate)
		Expect(refused.Refused).To(Equal(map[string]int{"queue_full": 3}))
		broken := run(streamHandler(func(e []string) []string { e[2] = body; return e }), generate)
		Expect(broken.Refused).To(Equal(map[string]int{"queue_full": 3}))
	})

	It("also send each request for a streamed answer to an engine if Direct is set", func() {
		vm := engine.New(engine.Settings{VM: "vm", Slots: 4, MaxQueue: 4, MaxCachedPrefixes: 1, Clock: time.Now})
		server := httptest.NewServer(vm)
		DeferCleanup(server.Close)
		DeferCleanup(vm.Close)
		address := strings.TrimPrefix(server.URL, "http://")
		Expect(porthttp.NewUpstream(nil).Order(context.Background(), address,
			port.Order{Verb: port.OrderJoin, Replica: "r", Generation: 1, Model: "m"})).To(Succeed())
		Eventually(vm.Report).Should(HaveField("State", port.EngineReady))
		entry := httptest.NewServer(streamHandler(func(e []string) []string { return e }))
		DeferCleanup(entry.Close)
		results := callers.Run(context.Background(), callers.Settings{
			EntryURLs: []string{entry.URL}, Rank0Addresses: []string{address}, Kinds: []callers.RequestKind{generate},
			Requests: 3, PerSecond: 1000, Seed: 1,
		})
		Expect(results).To(HaveLen(2))
		Expect(results[0].Whole).To(Equal(3))
		Expect(results[1]).To(And(HaveField("Class", "drafting (direct)"), HaveField("Whole", 3)))
	})

	It("send a call again with the same key until it is answered", func() {
		var mu sync.Mutex
		sends := map[string]int{}
		result := run(func(w http.ResponseWriter, r *http.Request) {
			key := r.Header.Get("Idempotency-Key")
			mu.Lock()
			sends[key]++
			first := sends[key] == 1
			mu.Unlock()
			if first {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.Copy(w, r.Body)
		}, callers.RequestKind{Class: "confirm", Share: 1})
		Expect(result.Whole).To(Equal(3))
		mu.Lock()
		defer mu.Unlock()
		Expect(sends).To(HaveLen(3))
		for _, n := range sends {
			Expect(n).To(Equal(2))
		}
	})

	// Guards against a report of a malformed answer for one that was cut off at the limit.
	It("say of an answer that is too long that it is", func() {
		endless := func(status int) http.HandlerFunc {
			return func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(status)
				_, _ = io.WriteString(w, strings.Repeat(" ", 16<<20+1))
			}
		}
		refused := run(endless(http.StatusTooManyRequests), generate)
		Expect(refused.Problems).To(ContainElement(ContainSubstring("caller_answer")))
		server := httptest.NewServer(endless(http.StatusOK))
		DeferCleanup(server.Close)
		_, err := callers.CheckEffects(context.Background(), nil, []callers.EffectsSource{{Class: "confirm", URL: server.URL}})
		Expect(err).To(MatchError(ContainSubstring("caller_answer")))
	})

	DescribeTable("report answered calls without an effect and calls with more than one", func(effects string, problems int) {
		service := plainservice.New(plainservice.Settings{Clock: time.Now})
		server := httptest.NewServer(service)
		DeferCleanup(server.Close)
		result := &callers.Result{Class: "confirm", Calls: map[string]bool{"k": true, "unanswered": false}}
		for _, key := range strings.Fields(effects) {
			resp, err := http.Post(server.URL+"/v1/call", "application/json", strings.NewReader(`{"key":"team/`+key+`"}`))
			Expect(err).NotTo(HaveOccurred())
			resp.Body.Close()
		}
		found, err := callers.CheckEffects(context.Background(), []*callers.Result{result},
			[]callers.EffectsSource{{Class: "confirm", URL: server.URL}})
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(HaveLen(problems))
	},
		Entry("once", "k", 0),
		Entry("once, and once for an unanswered call", "k unanswered", 0),
		Entry("lost", "unanswered", 1),
		Entry("doubled", "k k", 1),
		Entry("twice for an unanswered call", "k unanswered unanswered", 1),
	)
})
