package callers

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/tmaxmax/go-sse"

	"github.com/tamarackcleat/tamarackcleat/api"
	"github.com/tamarackcleat/tamarackcleat/bounded"
	"github.com/tamarackcleat/tamarackcleat/standin/engine"
)

const (
	// requestTimeout bounds one request, including the repetitions of a call.
	requestTimeout = 2 * time.Minute
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// maxAnswerBytes bounds an answer that isn't a stream; limitAnswer names the limit.
	maxAnswerBytes = 16 << 20
	limitAnswer    = "caller_answer"
	// samplingSeed is the sampling seed of all requests.
	samplingSeed = 7
	// doneMarker is the last event of a complete stream.
	doneMarker = "[DONE]"
	// callAttempts bounds how often a call is sent with the same key.
	callAttempts = 20
	// callRetryInterval is the time from a failed attempt at a call to the next.
	callRetryInterval = 500 * time.Millisecond
)

// httpClient keeps up to 256 idle connections to each entry node open for reuse.
var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

// streamEvent holds the fields of a streamed event that are checked: a chunk of
// the answer or an error that ends the stream.
type streamEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *api.ErrorDetail `json:"error"`
}

// send sends one request to an entry node and checks its answer.
func send(ctx context.Context, entry string, k RequestKind, name string) outcome {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	started := time.Now()
	var o outcome
	if k.Tokens > 0 {
		o = streamChat(ctx, entry, k, name, started)
	} else {
		o = callUntilAnswered(ctx, entry, k, name)
	}
	o.class = k.Class
	o.total = time.Since(started)
	return o
}

// streamChat asks an entry node for a streamed chat completion and checks it.
func streamChat(ctx context.Context, entry string, k RequestKind, name string, started time.Time) outcome {
	prompt := engine.Topic(name, k.Tokens)
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"seed":%d,"messages":[{"role":"user","content":%q}]}`,
		k.Class, k.Tokens, samplingSeed, prompt)
	resp, err := post(ctx, entry+"/v1/chat/completions", body, nil)
	if err != nil {
		return outcome{problem: err.Error()}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp)
	}
	return readStream(resp.Body, engine.AnswerTo(prompt, samplingSeed, k.Tokens).Text(k.Tokens), started)
}

// readStream reads a stream of events to its end marker and compares its text
// with want. The time to the first token counts from started.
func readStream(body io.Reader, want string, started time.Time) outcome {
	var got strings.Builder
	var o outcome
	for e, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return outcome{problem: "stream: " + err.Error()}
		}
		if e.Data == doneMarker {
			o.complete = got.String() == want
			o.problem = "the answer differs from the engine's"
			return o
		}
		var ev streamEvent
		if err := json.Unmarshal([]byte(e.Data), &ev); err != nil {
			return outcome{problem: "event: " + err.Error()}
		}
		if ev.Error != nil {
			return outcome{refusalReason: string(ev.Error.Reason)}
		}
		for _, c := range ev.Choices {
			got.WriteString(c.Delta.Content)
		}
		if o.firstToken == 0 && got.Len() > 0 {
			o.firstToken = time.Since(started)
		}
	}
	return outcome{problem: "the stream ended without its end marker"}
}

// callUntilAnswered sends a call until it is answered, at most callAttempts
// times. All attempts have the same idempotency key, so that the call takes
// effect only once.
func callUntilAnswered(ctx context.Context, entry string, k RequestKind, name string) outcome {
	key := uuid.Must(uuid.NewV7()).String()
	var last outcome
	for range callAttempts {
		last = callOnce(ctx, entry, k, name, key)
		last.key = key
		if last.complete {
			return last
		}
		select {
		case <-time.After(callRetryInterval):
		case <-ctx.Done():
			return last
		}
	}
	return last
}

func callOnce(ctx context.Context, entry string, k RequestKind, name, key string) outcome {
	body := fmt.Sprintf(`{"commission":%q}`, name)
	resp, err := post(ctx, entry+"/v1/calls/"+k.Class, body, map[string]string{api.HeaderIdempotencyKey: key})
	if err != nil {
		return outcome{problem: err.Error()}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp)
	}
	data, err := bounded.ReadAll(resp.Body, limitAnswer, maxAnswerBytes)
	if err != nil {
		return outcome{problem: fmt.Sprintf("answer to %q: %v", name, err)}
	}
	complete := strings.Contains(string(data), name)
	return outcome{complete: complete, problem: fmt.Sprintf("answer to %q: %.200s", name, data)}
}

// readRefusal returns the reason of a refusal from its body, or a problem if the
// body gives none.
func readRefusal(resp *http.Response) outcome {
	data, err := bounded.ReadAll(resp.Body, limitAnswer, maxAnswerBytes)
	if err != nil {
		return outcome{problem: fmt.Sprintf("status %d: %v", resp.StatusCode, err)}
	}
	var body api.ErrorBody
	if json.Unmarshal(data, &body) != nil || body.Error.Reason == "" {
		return outcome{problem: fmt.Sprintf("status %d: %.200s", resp.StatusCode, data)}
	}
	return outcome{refusalReason: string(body.Error.Reason)}
}

func post(ctx context.Context, url, body string, headers map[string]string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	return httpClient.Do(req)
}
