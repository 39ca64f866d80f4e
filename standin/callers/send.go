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
	"github.com/tamarackcleat/tamarackcleat/standin/engine"
)

const (
	// requestTimeout bounds one request.
	requestTimeout = 2 * time.Minute
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// maxAnswerBytes bounds the answer to a call.
	maxAnswerBytes = 16 << 20
	// seed is the sampling seed of all requests.
	seed = 7
	// doneMarker ends a whole stream.
	doneMarker = "[DONE]"
	// callAttempts bounds how often a call is sent with the same key.
	callAttempts = 20
	// callPause is the time between two sends of a call.
	callPause = 500 * time.Millisecond
)

// client keeps connections to the entry nodes open.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

// event is what is read of a streamed chunk.
type event struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *api.ErrorDetail `json:"error"`
}

// send sends one request and checks its answer.
func send(ctx context.Context, entry string, k Kind, name string) outcome {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	started := time.Now()
	var o outcome
	if k.Tokens > 0 {
		o = chat(ctx, entry, k, name, started)
	} else {
		o = call(ctx, entry, k, name)
	}
	o.class = k.Class
	o.total = time.Since(started)
	return o
}

// chat asks for a streamed completion.
func chat(ctx context.Context, entry string, k Kind, name string, started time.Time) outcome {
	prompt := engine.Topic(name, k.Tokens)
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"seed":%d,"messages":[{"role":"user","content":%q}]}`,
		k.Class, k.Tokens, seed, prompt)
	resp, err := post(ctx, entry+"/v1/chat/completions", body, nil)
	if err != nil {
		return outcome{problem: err.Error()}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusal(resp)
	}
	return readStream(resp.Body, engine.AnswerTo(prompt, seed, k.Tokens).Text(k.Tokens), started)
}

// readStream compares a stream with the whole answer.
func readStream(body io.Reader, want string, started time.Time) outcome {
	var got strings.Builder
	var o outcome
	for e, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return outcome{problem: "stream: " + err.Error()}
		}
		if e.Data == doneMarker {
			o.whole = got.String() == want
			o.problem = "the answer differs from the engine's"
			return o
		}
		var ev event
		if err := json.Unmarshal([]byte(e.Data), &ev); err != nil {
			return outcome{problem: "event: " + err.Error()}
		}
		if ev.Error != nil {
			return outcome{refused: string(ev.Error.Reason)}
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

// call sends a call until it is answered; the key makes that safe.
func call(ctx context.Context, entry string, k Kind, name string) outcome {
	key := uuid.Must(uuid.NewV7()).String()
	var last outcome
	for range callAttempts {
		last = callOnce(ctx, entry, k, name, key)
		last.key = key
		if last.whole {
			return last
		}
		select {
		case <-time.After(callPause):
		case <-ctx.Done():
			return last
		}
	}
	return last
}

func callOnce(ctx context.Context, entry string, k Kind, name, key string) outcome {
	body := fmt.Sprintf(`{"commission":%q}`, name)
	resp, err := post(ctx, entry+"/v1/calls/"+k.Class, body, map[string]string{api.HeaderIdempotencyKey: key})
	if err != nil {
		return outcome{problem: err.Error()}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusal(resp)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	whole := err == nil && strings.Contains(string(data), name)
	return outcome{whole: whole, problem: fmt.Sprintf("answer to %q: %.200s", name, data)}
}

// refusal reads the reason of a refusal.
func refusal(resp *http.Response) outcome {
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	var body api.ErrorBody
	if json.Unmarshal(data, &body) != nil || body.Error.Reason == "" {
		return outcome{problem: fmt.Sprintf("status %d: %.200s", resp.StatusCode, data)}
	}
	return outcome{refused: string(body.Error.Reason)}
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
	return client.Do(req)
}
