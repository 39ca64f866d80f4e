package engine

import (
	"encoding/json"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/tamarackcleat/tamarackcleat/port"
)

// errCut means that a fault cuts the stream off here.
var errCut = errors.New("stream cut by a fault")

// errStalled means that a fault stops the stream here without ending it.
var errStalled = errors.New("stream stalled by a fault")

// foreignRequestID is the request of foreign chunks.
const foreignRequestID = "foreign-request"

// chunkCounter counts the chunks of a VM over all streams.
type chunkCounter struct{ n atomic.Int64 }

// chunkWriter sends the chunks of one stream and applies the fault switches.
type chunkWriter struct {
	w       http.ResponseWriter
	faults  func() Faults
	counter *chunkCounter
	// held is a chunk that goes out after its successor.
	held *port.Chunk
	sent int
	// breakAfter is the number of chunks after which broken is returned.
	breakAfter int
	broken     error
}

// newChunkWriter starts an event stream.
func (s *Service) newChunkWriter(w http.ResponseWriter) *chunkWriter {
	cw := &chunkWriter{w: w, faults: s.Faults.Get, counter: &s.chunks}
	s.Faults.Take(func(f *Faults) bool {
		cw.breakAfter = f.BreakAfter
		switch {
		case f.CutNext > 0:
			f.CutNext--
			cw.broken = errCut
		case f.StallNext > 0:
			f.StallNext--
			cw.broken = errStalled
		}
		return true
	})
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	return cw
}

// send sends a chunk, spoiled if a fault switch says so.
func (cw *chunkWriter) send(c port.Chunk) error {
	if cw.broken != nil && cw.sent >= cw.breakAfter {
		return cw.broken
	}
	cw.sent++
	for _, out := range cw.spoil(c) {
		if err := cw.write(out); err != nil {
			return err
		}
	}
	return errors.Wrap(http.NewResponseController(cw.w).Flush(), "flushing a chunk")
}

// spoil returns what goes out in place of a chunk.
func (cw *chunkWriter) spoil(c port.Chunk) []port.Chunk {
	f := cw.faults()
	n := cw.counter.n.Add(1)
	var out []port.Chunk
	if hits(n, f.ForeignEvery) {
		out = append(out, port.Chunk{RequestID: foreignRequestID, Index: c.Index, Text: "foreign "})
	}
	switch {
	case hits(n, f.DropEvery):
	case hits(n, f.SwapEvery) && cw.held == nil && !c.Final:
		cw.held = &c
		return out
	case hits(n, f.DuplicateEvery):
		out = append(out, c, c)
	default:
		out = append(out, c)
	}
	if cw.held != nil {
		out = append(out, *cw.held)
		cw.held = nil
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
