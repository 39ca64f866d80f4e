package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// callerWriteTimeout limits each flush of a streamed answer; a caller that reads
// more slowly is cut off.
const callerWriteTimeout = 20 * time.Second

// errCallerDisconnected marks errors of writing to a caller that no longer reads
// its answer.
var errCallerDisconnected = errors.New("caller disconnected")

// chatWriter writes a completion to the caller, as a stream or as one body.
type chatWriter interface {
	// writeTokens writes the texts of further tokens.
	writeTokens(texts []string) error
	// writeEnd ends a complete answer. text is the whole answer.
	writeEnd(text, finish string, tokens int) error
	// writeFailure ends an answer that is not complete.
	writeFailure(e *verdict.Error)
}

// streamWriter writes a completion as server-sent events.
type streamWriter struct {
	w         http.ResponseWriter
	control   *http.ResponseController
	requestID string
	model     string
	created   int64
	started   bool
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

// writeTokens implements chatWriter.
func (s *streamWriter) writeTokens(texts []string) error {
	for _, t := range texts {
		if err := s.writeEvent(chatDelta{Role: s.nextRole(), Content: t}, nil); err != nil {
			return err
		}
	}
	return s.flush()
}

// nextRole returns the role for the first event and an empty string for later
// ones.
func (s *streamWriter) nextRole() string {
	if s.started {
		return ""
	}
	return "assistant"
}

// writeEnd implements chatWriter.
func (s *streamWriter) writeEnd(_, finish string, _ int) error {
	if err := s.writeEvent(chatDelta{Role: s.nextRole()}, &finish); err != nil {
		return err
	}
	if err := s.write([]byte("data: [DONE]\n\n")); err != nil {
		return err
	}
	return s.flush()
}

// writeFailure implements chatWriter. If no event has been sent, the failure is the
// whole response. Otherwise it is sent as the last event, and the stream ends
// without its end marker.
func (s *streamWriter) writeFailure(e *verdict.Error) {
	if !s.started {
		writeFailure(s.w, s.requestID, e)
		return
	}
	data, err := json.Marshal(errorBody(s.requestID, e))
	if err == nil && s.write([]byte("data: "+string(data)+"\n\n")) == nil {
		_ = s.flush()
	}
}

// writeEvent writes one chunk as an event.
func (s *streamWriter) writeEvent(d chatDelta, finish *string) error {
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
	if !s.started {
		s.started = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.w.WriteHeader(http.StatusOK)
	}
	if _, err := s.w.Write(line); err != nil {
		return errors.Mark(err, errCallerDisconnected)
	}
	return nil
}

func (s *streamWriter) flush() error {
	_ = s.control.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	if err := s.control.Flush(); err != nil {
		return errors.Mark(err, errCallerDisconnected)
	}
	return nil
}

// bodyWriter writes a completion as one JSON body.
type bodyWriter struct {
	w         http.ResponseWriter
	requestID string
	model     string
	created   int64
}

// writeTokens implements chatWriter. It does nothing: writeEnd sends all text.
func (b *bodyWriter) writeTokens([]string) error { return nil }

// writeEnd implements chatWriter.
func (b *bodyWriter) writeEnd(text, finish string, tokens int) error {
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

// writeFailure implements chatWriter.
func (b *bodyWriter) writeFailure(e *verdict.Error) { writeFailure(b.w, b.requestID, e) }
