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

// Bounds of answer streams.
const (
	// maxEventBytes bounds one server-sent event.
	maxEventBytes = 64 << 10
	// drainTimeout and maxDrainBytes bound what Close reads after a finished
	// answer, so that the connection can be used again.
	drainTimeout  = time.Second
	maxDrainBytes = 4 << 10
)

// errIncompleteChunk marks an event that is not a chunk.
var errIncompleteChunk = errors.New("event is not a chunk")

// Stream is an answer stream of an engine. Next is for one goroutine; Close
// may be called from any.
type Stream struct {
	requestID string
	body      io.ReadCloser
	cancel    context.CancelFunc

	mu     sync.Mutex
	next   func() (sse.Event, error, bool)
	stop   func()
	final  bool
	ended  error
	closed bool
}

// newStream decodes chunks from a body.
func newStream(requestID string, body io.ReadCloser, cancel context.CancelFunc) *Stream {
	events := sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes})
	next, stop := iter.Pull2(iter.Seq2[sse.Event, error](events))
	return &Stream{requestID: requestID, body: body, cancel: cancel, next: next, stop: stop}
}

// Next returns the next chunk as the engine sent it: chunks may be foreign,
// late, repeated or missing, and the caller checks them. At the end of the body
// the error is io.EOF if the request's own final chunk was seen, and a
// *verdict.Error (MayHaveRun, upstream_lost) otherwise.
func (s *Stream) Next() (port.Chunk, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended != nil {
		return port.Chunk{}, s.ended
	}
	chunk, err := s.decode()
	if err != nil {
		s.ended = err
		return port.Chunk{}, err
	}
	if chunk.Final && chunk.RequestID == s.requestID {
		s.final = true
	}
	return chunk, nil
}

// decode reads one event and turns it into a chunk.
func (s *Stream) decode() (port.Chunk, error) {
	event, err, ok := s.next()
	if !ok && s.final {
		return port.Chunk{}, io.EOF
	}
	if !ok {
		return port.Chunk{}, lost("the stream ended before its final chunk")
	}
	if err != nil {
		return port.Chunk{}, lost("reading the stream: %v", err)
	}
	chunk, err := decodeChunk(event.Data)
	if err != nil {
		return port.Chunk{}, lost("%v", err)
	}
	return chunk, nil
}

// decodeChunk parses the data of one event.
func decodeChunk(data string) (port.Chunk, error) {
	var chunk port.Chunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return port.Chunk{}, errors.Mark(errors.Wrap(err, "chunk"), errIncompleteChunk)
	}
	if chunk.RequestID == "" || chunk.Index < 0 {
		return port.Chunk{}, errors.Wrap(errIncompleteChunk, "no request id or a negative index")
	}
	return chunk, nil
}

// Close ends the stream. The engine sees the connection close and cancels the
// request, unless its final chunk has been read. Close unblocks Next.
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
	s.stop()
	if s.ended == nil {
		s.ended = lost("the stream was closed")
	}
	if s.final {
		go s.drain()
		return
	}
	s.cancel()
	s.body.Close()
}

// drain reads the end of a finished answer, so that the connection can be used
// again.
func (s *Stream) drain() {
	timer := time.AfterFunc(drainTimeout, s.cancel)
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, s.body, maxDrainBytes)
	s.body.Close()
	s.cancel()
}
