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
	// requestTimeout bounds a request to a process that may be paused.
	requestTimeout = 5 * time.Second
	// streamTimeout bounds the time until a streamed answer has ended.
	streamTimeout = 2 * time.Minute
	// answerSeed is the sampling seed of all prompts.
	answerSeed = 7
)

// client keeps no connections open, so that each request connects anew and meets
// the present faults of the network.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// doJSON sends a request with an optional JSON body and returns the HTTP status
// code. It stores the decoded answer in into, unless into is nil.
func doJSON(method, url string, body, into any) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	return doJSONContext(ctx, method, url, body, nil, into)
}

// doJSONContext is doJSON with a context and additional headers.
func doJSONContext(ctx context.Context, method, url string, body any, header http.Header, into any) (int, error) {
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
	code, err := doJSON(http.MethodPost, "http://"+address+"/fault", switches, nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(code).To(Equal(http.StatusOK))
}

// stream is one streamed chat completion.
type stream struct {
	// name identifies the stream in failure messages.
	name string
	// tokens counts the tokens received so far.
	tokens atomic.Int64
	// ended is closed at the end of the stream. problem and refusal may be read
	// only then.
	ended chan struct{}
	// problem says why the answer is not complete; it is empty if it is.
	problem string
	// refusal is the error that the node answered or sent as an event, if any.
	refusal *api.ErrorDetail
}

// streamEvent holds the parts of a server-sent event that the tests read.
type streamEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *api.ErrorDetail `json:"error"`
}

// newStream requests a streamed answer with a number of tokens from an address. The
// text in extra comes first in the prompt, before the part that determines the
// answer.
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

// run sends the request and returns why the answer is not complete, or an empty
// string if it is.
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
		return s.readRefusal(resp.Body)
	}
	return s.read(resp.Body, want)
}

// readRefusal decodes the error of a refused request and describes it.
func (s *stream) readRefusal(body io.Reader) string {
	var e api.ErrorBody
	if err := json.NewDecoder(body).Decode(&e); err != nil {
		return "refusal: " + err.Error()
	}
	s.refusal = &e.Error
	return fmt.Sprintf("refused: %s, %s: %s", e.Error.Verdict, e.Error.Reason, e.Error.Message)
}

// read reads the stream to its end and returns how it differs from the complete
// answer in want, or an empty string if it does not.
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
			return fmt.Sprintf("ended by an error: %s, %s: %s", ev.Error.Verdict, ev.Error.Reason, ev.Error.Message)
		}
		for _, c := range ev.Choices {
			got.WriteString(c.Delta.Content)
			s.tokens.Add(1)
		}
	}
	return "the stream ended without its end marker"
}

// expectComplete waits until all streams have ended and requires that their answers
// are complete.
func expectComplete(streams []*stream) {
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

// expectInProgress waits until each stream has midStreamTokens and requires that
// none has ended, so that a fault that follows hits all of them in mid-stream.
func expectInProgress(streams []*stream) {
	GinkgoHelper()
	for _, s := range streams {
		Eventually(func() bool { return s.tokens.Load() >= midStreamTokens || hasEnded(s) }).Should(BeTrue(), s.name)
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
