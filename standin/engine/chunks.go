package engine

import (
	"encoding/json"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/tamarackcleat/tamarackcleat/port"
)

// errStreamCut says that a fault switch cuts the stream off.
var errStreamCut = errors.New("stream cut by a fault")

// errStreamStalled says that a fault switch stops the stream but keeps the
// connection open.
var errStreamStalled = errors.New("stream stalled by a fault")

// foreignRequestID is the request ID of the chunks that Faults.ForeignEvery
// inserts.
const foreignRequestID = "foreign-request"

// chunkCounter counts the chunks of all streams of a VM.
type chunkCounter struct{ n atomic.Int64 }

// chunkWriter sends the chunks of one stream and applies the fault switches.
type chunkWriter struct {
	w       http.ResponseWriter
	faults  func() Faults
	counter *chunkCounter
	// delayed is a chunk that Faults.SwapEvery sends after its successor.
	delayed *port.Chunk
	sent    int
	// breakAfter is the number of chunks after which send returns breakErr, if
	// breakErr is set.
	breakAfter int
	breakErr   error
}

// newChunkWriter starts an event stream and decides by the fault switches
// whether it will be cut off or stall.
func (s *Service) newChunkWriter(w http.ResponseWriter) *chunkWriter {
	cw := &chunkWriter{w: w, faults: s.Faults.Get, counter: &s.chunks}
	s.Faults.Consume(func(f *Faults) bool {
		cw.breakAfter = f.BreakAfter
		switch {
		case f.CutNext > 0:
			f.CutNext--
			cw.breakErr = errStreamCut
		case f.StallNext > 0:
			f.StallNext--
			cw.breakErr = errStreamStalled
		}
		return true
	})
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	return cw
}

// send sends a chunk, changed as the fault switches say.
func (cw *chunkWriter) send(c port.Chunk) error {
	if cw.breakErr != nil && cw.sent >= cw.breakAfter {
		return cw.breakErr
	}
	cw.sent++
	for _, out := range cw.applyFaults(c) {
		if err := cw.write(out); err != nil {
			return err
		}
	}
	return errors.Wrap(http.NewResponseController(cw.w).Flush(), "flushing a chunk")
}

// applyFaults returns the chunks to send in place of a chunk: by default the
// chunk alone.
func (cw *chunkWriter) applyFaults(c port.Chunk) []port.Chunk {
	f := cw.faults()
	n := cw.counter.n.Add(1)
	var out []port.Chunk
	if isEveryNth(n, f.ForeignEvery) {
		out = append(out, port.Chunk{RequestID: foreignRequestID, Index: c.Index, Text: "foreign "})
	}
	switch {
	case isEveryNth(n, f.DropEvery):
	case isEveryNth(n, f.SwapEvery) && cw.delayed == nil && !c.Final:
		cw.delayed = &c
		return out
	case isEveryNth(n, f.DuplicateEvery):
		out = append(out, c, c)
	default:
		out = append(out, c)
	}
	if cw.delayed != nil {
		out = append(out, *cw.delayed)
		cw.delayed = nil
	}
	return out
}

// write sends one chunk as a server-sent event.
func (cw *chunkWriter) write(c port.Chunk) error {
	data, err := json.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "encoding a chunk")
	}
	event := &sse.Message{}
	event.AppendData(string(data))
	_, err = event.WriteTo(cw.w)
	return errors.Wrap(err, "sending a chunk")
}
