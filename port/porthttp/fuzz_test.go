package porthttp

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/tamarackcleat/tamarackcleat/notice"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// maxFuzzChunks is a number of chunks that no input can hold: a stream that
// yields so many doesn't end.
const maxFuzzChunks = 1 << 20

// FuzzStream decodes arbitrary bytes as an answer stream. For all input the
// stream ends, and it ends with io.EOF only after the final chunk of its own
// request.
func FuzzStream(f *testing.F) {
	whole := `data: {"request_id":"r","index":0,"text":"a"}` + "\n\n" + `data: {"request_id":"r","index":1,"final":true}` + "\n\n"
	for _, seed := range []string{
		whole, whole[:len(whole)-1], whole[:50], "", "\n\n\n", "data", "data:\n\n", ": c\n\n",
		strings.ReplaceAll(whole, "\n", "\r\n"), strings.ReplaceAll(whole, "\n", "\r"),
		"\ufeff" + whole, "event: x\nid: 1\nretry: 2\n" + whole, "data: {\ndata: }\n\n",
		`data: {"request_id":"r","index":-1}` + "\n\n", "data: null\n\n", "data: [1]\n\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, body string) {
		s := newStream("r", io.NopCloser(strings.NewReader(body)), func() {})
		defer s.Close()
		finalSeen := false
		for range maxFuzzChunks {
			chunk, err := s.Next()
			if err == nil {
				finalSeen = finalSeen || (chunk.Final && chunk.RequestID == "r")
				continue
			}
			if errors.Is(err, io.EOF) && !finalSeen {
				t.Fatal("a stream without its final chunk ended with io.EOF")
			}
			if !errors.Is(err, io.EOF) && verdict.FromError(err).Verdict != verdict.MayHaveRun {
				t.Fatalf("unexpected error %v", err)
			}
			return
		}
		t.Fatal("the stream does not end")
	})
}

// FuzzSaid reads arbitrary headers of an answer. The pause is never negative nor longer
// than notice.MaxPause, and only a refusal with status 429 or 503 asks for one.
func FuzzSaid(f *testing.F) {
	for _, seed := range []string{"1", "1.5", "-1", "NaN", "Inf", "1e400", "0x1p-2", "", " 3 ", "1,2", "Fri, 04 Dec 2026 10:00:00 GMT"} {
		f.Add(503, seed, "2", "1")
		f.Add(200, "1", seed, seed)
	}
	f.Fuzz(func(t *testing.T, status int, first, second, leaving string) {
		said := readSaid(&http.Response{StatusCode: status, Header: http.Header{
			port.HeaderRetryAfter: {first, second}, port.HeaderLeaving: {leaving}, port.HeaderBoot: {first},
		}})
		if said.Pause < 0 || said.Pause > notice.MaxPause {
			t.Fatalf("pause %v", said.Pause)
		}
		if said.Pause > 0 && status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
			t.Fatalf("a pause with status %d", status)
		}
		if said.Leaving != (strings.TrimSpace(leaving) == "1") {
			t.Fatalf("leaving %v by %q", said.Leaving, leaving)
		}
	})
}
