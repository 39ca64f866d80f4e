package processtest_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/tmaxmax/go-sse"

	"github.com/tamarackcleat/tamarackcleat/api"
	"github.com/tamarackcleat/tamarackcleat/standin/engine"
)

const (
	// askTimeout ends a question to a process that may be paused.
	askTimeout = 5 * time.Second
	// streamTimeout ends an answer that does not come to its end.
	streamTimeout = 2 * time.Minute
	// answerSeed is the sampling seed of all prompts.
	answerSeed = 7
)

// client keeps no connection, so that each request meets the network as it is.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// ask sends a request with an optional JSON body and decodes the answer.
func ask(method, url string, body, into any) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	return askWithin(ctx, method, url, body, nil, into)
}

func askWithin(ctx context.Context, method, url string, body any, header http.Header, into any) (int, error) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return 0, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || into == nil {
		return resp.StatusCode, err
	}
	return resp.StatusCode, json.Unmarshal(text, into)
}

// setFault changes the fault switches of a stand-in.
func setFault(address string, switches map[string]any) {
	GinkgoHelper()
	code, err := ask(http.MethodPost, "http://"+address+"/fault", switches, nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(code).To(Equal(http.StatusOK))
}

// stream is one streamed chat completion.
type stream struct {
	// name says which it is in messages.
	name   string
	tokens atomic.Int64
	ended  chan struct{}
	// problem says after the end why the answer is not whole.
	problem string
	refusal *api.ErrorDetail
}

// streamEvent is what is read of an event.
type streamEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *api.ErrorDetail `json:"error"`
}

// newStream asks an address for an answer of a length. Extra text goes into
// the prompt before the part that decides the answer.
func newStream(address, name string, tokens int, extra string) *stream {
	s := &stream{name: name, ended: make(chan struct{})}
	prompt := extra + engine.Topic(name, tokens)
	want := engine.AnswerTo(prompt, answerSeed, tokens).Text(tokens)
	go func() {
		defer close(s.ended)
		s.problem = s.run(address, prompt, want, tokens)
	}()
	return s
}

// run returns why the answer is not whole; empty if it is.
func (s *stream) run(address, prompt, want string, tokens int) string {
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"seed":%d,"messages":[{"role":"user","content":%q}]}`,
		draftClass, tokens, answerSeed, prompt)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	resp, err := client.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s.refused(resp.Body)
	}
	return s.read(resp.Body, want)
}

func (s *stream) refused(body io.Reader) string {
	var e api.ErrorBody
	if err := json.NewDecoder(body).Decode(&e); err != nil {
		return "refusal: " + err.Error()
	}
	s.refusal = &e.Error
	return fmt.Sprintf("refused: %s, %s: %s", e.Error.Verdict, e.Error.Reason, e.Error.Message)
}

// read compares the stream with the engine's whole answer.
func (s *stream) read(body io.Reader, want string) string {
	var got strings.Builder
	for e, err := range sse.Read(body, nil) {
		if err != nil {
			return "stream: " + err.Error()
		}
		if e.Data == "[DONE]" {
			if got.String() != want {
				return fmt.Sprintf("got %q, want %q", got.String(), want)
			}
			return ""
		}
		var ev streamEvent
		if err := json.Unmarshal([]byte(e.Data), &ev); err != nil {
			return "event: " + err.Error()
		}
		if ev.Error != nil {
			s.refusal = ev.Error
			return fmt.Sprintf("broken off: %s, %s: %s", ev.Error.Verdict, ev.Error.Reason, ev.Error.Message)
		}
		for _, c := range ev.Choices {
			got.WriteString(c.Delta.Content)
			s.tokens.Add(1)
		}
	}
	return "the stream ended without its end marker"
}

// expectWhole waits for the ends of streams and requires whole answers.
func expectWhole(streams []*stream) {
	GinkgoHelper()
	var problems []string
	for _, s := range streams {
		select {
		case <-s.ended:
		case <-time.After(streamTimeout):
			Fail("no end of " + s.name)
		}
		if s.problem != "" {
			problems = append(problems, s.name+": "+s.problem)
		}
	}
	Expect(problems).To(BeEmpty())
}

// expectUnderWay waits until each stream has some tokens and requires that none
// has ended, so that what comes next happens in mid-stream.
func expectUnderWay(streams []*stream) {
	GinkgoHelper()
	for _, s := range streams {
		Eventually(func() bool { return s.tokens.Load() >= someTokens || hasEnded(s) }).Should(BeTrue(), s.name)
	}
	for _, s := range streams {
		if hasEnded(s) {
			Fail(s.name + " ended too early: " + s.problem)
		}
	}
}

func hasEnded(s *stream) bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}
