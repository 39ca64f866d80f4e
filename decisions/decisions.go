// Package decisions defines the events of the structured log, writes the log
// without blocking the node, and reads it back to trace a request.
//
// Each decision on a request and each change of the node's view of its
// upstreams, its peers and the log is one line. Lines pass through a buffer of
// fixed size, so a slow or blocked output never delays the caller of a logger:
// lines that don't fit into the buffer are dropped and counted, and the count is
// logged once there is room.
package decisions

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
)

// bufferedLines is the number of lines that may wait to be written. A line has
// about 300 bytes, so the buffer stays below a megabyte.
const bufferedLines = 2048

// Writer is an io.Writer that never blocks: it passes lines on to another writer
// in the background and drops them while its buffer is full. It is safe for
// concurrent use.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewWriter returns a Writer that passes lines on to w until ctx ends. Lines that
// wait at that time are still written, up to the size of one write.
func NewWriter(ctx context.Context, w io.Writer) *Writer {
	out := &Writer{lines: make(chan []byte, bufferedLines)}
	go out.run(ctx, w)
	return out
}

// Write implements io.Writer. It queues a copy of the line, or drops the line if
// the buffer is full. It never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped and not yet reported.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// run writes the waiting lines to out in batches and reports dropped lines,
// until ctx ends.
func (w *Writer) run(ctx context.Context, out io.Writer) {
	dropLogger := slog.New(slog.NewJSONHandler(out, nil))
	var batch []byte
	for {
		select {
		case line := <-w.lines:
			batch = append(batch[:0], line...)
			batch = w.appendWaiting(batch)
			// A failed write can't be reported: the log is where errors go.
			_, _ = out.Write(batch)
			if n := w.dropped.Swap(0); n > 0 {
				dropLogger.Warn(LogDropped, "lines", n)
			}
		case <-ctx.Done():
			_, _ = out.Write(w.appendWaiting(batch[:0]))
			return
		}
	}
}

// appendWaiting appends the lines that are waiting now to batch, until batch has at
// least maxWriteBytes.
func (w *Writer) appendWaiting(batch []byte) []byte {
	const maxWriteBytes = 32 << 10
	for len(batch) < maxWriteBytes {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}
