package porthttp

import (
	"context"
	"encoding/json"
	"io"
	"iter"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/tamarackcleat/tamarackcleat/port"
)

// Limits of answer streams.
const (
	// maxEventBytes limits the size of one server-sent event.
	maxEventBytes = 64 << 10
	// drainTimeout and maxDrainBytes limit the time and the bytes that Close
	// spends on reading the rest of the body after the final chunk, which is
	// needed to reuse the connection.
	drainTimeout  = time.Second
	maxDrainBytes = 4 << 10
)

// errInvalidChunk marks the error of an event whose data is not a valid chunk.
var errInvalidChunk = errors.New("event is not a chunk")

// Stream is the answer stream of an engine. Only one goroutine may call Next; any
// goroutine may call Close.
type Stream struct {
	requestID string
	body      io.ReadCloser
	cancel    context.CancelFunc

	mu         sync.Mutex
	nextEvent  func() (sse.Event, error, bool)
	stopEvents func()
	finalSeen  bool
	endErr     error
	closed     bool
}

// newStream returns a stream that decodes chunks from body. Close calls cancel.
func newStream(requestID string, body io.ReadCloser, cancel context.CancelFunc) *Stream {
	events := sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes})
	next, stop := iter.Pull2(iter.Seq2[sse.Event, error](events))
	return &Stream{requestID: requestID, body: body, cancel: cancel, nextEvent: next, stopEvents: stop}
}

// Next returns the next chunk as the engine sent it. The caller must check it,
// because chunks may belong to another request, be repeated, be missing or come
// late. At the end of the body the error is io.EOF if the final chunk of the
// stream's own request was seen. All other errors are a *verdict.Error
// (MayHaveRun, upstream_lost). After an error, Next returns the same error again.
func (s *Stream) Next() (port.Chunk, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endErr != nil {
		return port.Chunk{}, s.endErr
	}
	chunk, err := s.nextChunk()
	if err != nil {
		s.endErr = err
		return port.Chunk{}, err
	}
	if chunk.Final && chunk.RequestID == s.requestID {
		s.finalSeen = true
	}
	return chunk, nil
}

// nextChunk reads one event and decodes its chunk.
func (s *Stream) nextChunk() (port.Chunk, error) {
	event, err, ok := s.nextEvent()
	if !ok && s.finalSeen {
		return port.Chunk{}, io.EOF
	}
	if !ok {
		return port.Chunk{}, lostError("the stream ended before its final chunk")
	}
	if err != nil {
		return port.Chunk{}, lostError("reading the stream: %v", err)
	}
	chunk, err := decodeChunk(event.Data)
	if err != nil {
		return port.Chunk{}, lostError("%v", err)
	}
	return chunk, nil
}

// decodeChunk decodes the data of one event.
func decodeChunk(data string) (port.Chunk, error) {
	var chunk port.Chunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return port.Chunk{}, errors.Mark(errors.Wrap(err, "chunk"), errInvalidChunk)
	}
	if chunk.RequestID == "" || chunk.Index < 0 {
		return port.Chunk{}, errors.Wrap(errInvalidChunk, "no request id or a negative index")
	}
	return chunk, nil
}

// Close ends the stream and unblocks Next. If the final chunk has not been read,
// Close ends the HTTP request, from which the engine learns to cancel the
// generation.
func (s *Stream) Close() {
	if !s.mu.TryLock() {
		s.cancel()
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	s.stopEvents()
	if s.endErr == nil {
		s.endErr = lostError("the stream was closed")
	}
	if s.finalSeen {
		go s.drain()
		return
	}
	s.cancel()
	s.body.Close()
}

// drain reads the rest of the body after the final chunk, so that the connection
// can be reused, and then closes the body.
func (s *Stream) drain() {
	timer := time.AfterFunc(drainTimeout, s.cancel)
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, s.body, maxDrainBytes)
	s.body.Close()
	s.cancel()
}
