package callers

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/port/porthttp"
	"github.com/tamarackcleat/tamarackcleat/standin/engine"
)

// directSuffix marks the classes of requests that bypass the entry nodes.
const directSuffix = " (direct)"

// upstream reaches engine VMs without an entry node.
var upstream = porthttp.NewUpstream(nil)

// sendDirect sends a request to the rank 0 VM of a replica, to tell what the
// entry nodes add to the time of an answer.
func sendDirect(ctx context.Context, address string, k Kind, name string) outcome {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	o := generate(ctx, address, k, name)
	o.class = k.Class + directSuffix
	return o
}

// generate reads an answer stream of an engine.
func generate(ctx context.Context, address string, k Kind, name string) outcome {
	report, err := upstream.Report(ctx, address)
	if err != nil {
		return outcome{problem: err.Error()}
	}
	prompt := engine.Topic(name, k.Tokens)
	started := time.Now()
	stream, err := upstream.Generate(ctx, address, port.GenerateRequest{
		RequestID:  name,
		Replica:    report.Replica,
		Generation: report.Generation,
		Prompt:     prompt,
		MaxTokens:  k.Tokens,
		Seed:       seed,
	})
	if err != nil {
		return outcome{problem: err.Error()}
	}
	defer stream.Close()
	o := readChunks(stream, engine.AnswerTo(prompt, seed, k.Tokens).Text(k.Tokens), started)
	o.total = time.Since(started)
	return o
}

// readChunks compares a stream of chunks with the whole answer.
func readChunks(stream *porthttp.Stream, want string, started time.Time) outcome {
	var got strings.Builder
	var o outcome
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			o.whole = got.String() == want
			o.problem = "the answer differs from the engine's"
			return o
		}
		if err != nil {
			return outcome{problem: fmt.Sprintf("stream: %v", err)}
		}
		if o.firstToken == 0 {
			o.firstToken = time.Since(started)
		}
		got.WriteString(chunk.Text)
	}
}
