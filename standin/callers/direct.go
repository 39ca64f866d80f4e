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

// engineClient sends requests to engine VMs without an entry node.
var engineClient = porthttp.NewUpstream(nil)

// sendDirect sends a request to the rank 0 VM of a replica and checks its
// answer. The comparison with send shows how much time the entry nodes add.
func sendDirect(ctx context.Context, address string, k RequestKind, name string) outcome {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	o := streamDirect(ctx, address, k, name)
	o.class = k.Class + directSuffix
	return o
}

// streamDirect asks an engine for a streamed answer and checks it.
func streamDirect(ctx context.Context, address string, k RequestKind, name string) outcome {
	report, err := engineClient.Report(ctx, address)
	if err != nil {
		return outcome{problem: err.Error()}
	}
	prompt := engine.Topic(name, k.Tokens)
	started := time.Now()
	stream, err := engineClient.Generate(ctx, address, port.GenerateRequest{
		RequestID:  name,
		Replica:    report.Replica,
		Generation: report.Generation,
		Prompt:     prompt,
		MaxTokens:  k.Tokens,
		Seed:       samplingSeed,
	})
	if err != nil {
		return outcome{problem: err.Error()}
	}
	defer stream.Close()
	o := readChunks(stream, engine.AnswerTo(prompt, samplingSeed, k.Tokens).Text(k.Tokens), started)
	o.total = time.Since(started)
	return o
}

// readChunks reads a stream of chunks to its end and compares its text with
// want. The time to the first token counts from started.
func readChunks(stream *porthttp.Stream, want string, started time.Time) outcome {
	var got strings.Builder
	var o outcome
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			o.complete = got.String() == want
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
