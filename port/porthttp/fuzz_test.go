package porthttp

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// maxFuzzChunks bounds the chunks that one input can hold.
const maxFuzzChunks = 1 << 20

// FuzzStream decodes arbitrary bytes as an answer stream. Whatever they are,
// the stream ends, and it ends as whole only after its own final chunk.
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
		ownFinal := false
		for range maxFuzzChunks {
			chunk, err := s.Next()
			if err == nil {
				ownFinal = ownFinal || (chunk.Final && chunk.RequestID == "r")
				continue
			}
			if errors.Is(err, io.EOF) && !ownFinal {
				t.Fatal("a stream without its final chunk ended as whole")
			}
			if !errors.Is(err, io.EOF) && verdict.FromError(err).Verdict != verdict.MayHaveRun {
				t.Fatalf("unexpected error %v", err)
			}
			return
		}
		t.Fatal("the stream does not end")
	})
}
