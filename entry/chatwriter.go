package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// callerWriteTimeout ends the answer to a caller that reads too slowly.
const callerWriteTimeout = 20 * time.Second

// errCallerGone marks a caller that no longer takes its answer.
var errCallerGone = errors.New("caller went away")

// chatWriter writes a completion in the caller's form.
type chatWriter interface {
	// text writes the texts of further tokens.
	text(texts []string) error
	// whole ends a complete answer.
	whole(text, finish string, tokens int) error
	// fail ends an answer that is not complete.
	fail(e *verdict.Error)
}

// streamWriter writes server-sent events.
type streamWriter struct {
	w         http.ResponseWriter
	control   *http.ResponseController
	requestID string
	model     string
	created   int64
	begun     bool
}

func newStreamWriter(w http.ResponseWriter, requestID, model string, now time.Time) *streamWriter {
	return &streamWriter{
		w:         w,
		control:   http.NewResponseController(w),
		requestID: requestID,
		model:     model,
		created:   now.Unix(),
	}
}

// text implements chatWriter.
func (s *streamWriter) text(texts []string) error {
	for _, t := range texts {
		if err := s.chunk(chatDelta{Role: s.role(), Content: t}, nil); err != nil {
			return err
		}
	}
	return s.flush()
}

// role returns the role for the first chunk and nothing for later ones.
func (s *streamWriter) role() string {
	if s.begun {
		return ""
	}
	return "assistant"
}

// whole implements chatWriter.
func (s *streamWriter) whole(_, finish string, _ int) error {
	if err := s.chunk(chatDelta{Role: s.role()}, &finish); err != nil {
		return err
	}
	if err := s.write([]byte("data: [DONE]\n\n")); err != nil {
		return err
	}
	return s.flush()
}

// fail implements chatWriter. Once the stream has begun, the failure is an
// event and the stream ends without its end marker.
func (s *streamWriter) fail(e *verdict.Error) {
	if !s.begun {
		writeRefusal(s.w, s.requestID, e)
		return
	}
	data, err := json.Marshal(errorBody(s.requestID, e))
	if err == nil && s.write([]byte("data: "+string(data)+"\n\n")) == nil {
		_ = s.flush()
	}
}

// chunk writes one event.
func (s *streamWriter) chunk(d chatDelta, finish *string) error {
	data, err := json.Marshal(chatChunk{
		ID:      s.requestID,
		Object:  "chat.completion.chunk",
		Created: s.created,
		Model:   s.model,
		Choices: []chunkChoice{{Delta: d, FinishReason: finish}},
	})
	if err != nil {
		return errors.Wrap(err, "encoding a chunk")
	}
	line := make([]byte, 0, len(data)+len("data: \n\n"))
	line = append(line, "data: "...)
	line = append(line, data...)
	return s.write(append(line, "\n\n"...))
}

func (s *streamWriter) write(line []byte) error {
	if !s.begun {
		s.begun = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.w.WriteHeader(http.StatusOK)
	}
	if _, err := s.w.Write(line); err != nil {
		return errors.Mark(err, errCallerGone)
	}
	return nil
}

func (s *streamWriter) flush() error {
	_ = s.control.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	if err := s.control.Flush(); err != nil {
		return errors.Mark(err, errCallerGone)
	}
	return nil
}

// bodyWriter writes one JSON body.
type bodyWriter struct {
	w         http.ResponseWriter
	requestID string
	model     string
	created   int64
}

// text implements chatWriter.
func (b *bodyWriter) text([]string) error { return nil }

// whole implements chatWriter.
func (b *bodyWriter) whole(text, finish string, tokens int) error {
	writeJSON(b.w, http.StatusOK, chatCompletion{
		ID:      b.requestID,
		Object:  "chat.completion",
		Created: b.created,
		Model:   b.model,
		Choices: []completionChoice{{
			Message:      answerMessage{Role: "assistant", Content: text},
			FinishReason: finish,
		}},
		Usage: chatUsage{CompletionTokens: tokens},
	})
	return nil
}

// fail implements chatWriter.
func (b *bodyWriter) fail(e *verdict.Error) { writeRefusal(b.w, b.requestID, e) }
