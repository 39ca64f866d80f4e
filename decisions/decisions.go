// Package decisions writes one structured line for each decision on a request
// and each change of what the node believes.
//
// Lines pass through a buffer of fixed size. A writer that is slow or stuck
// holds nobody up: lines that find the buffer full are dropped and counted, and
// the count is logged once there is room.
package decisions

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
)

// bufferedLines is the number of lines that may wait for the writer; at about
// 300 bytes a line the buffer stays below a megabyte.
const bufferedLines = 2048

// Writer is an io.Writer that never blocks.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewWriter returns a Writer that passes lines on to w until the context ends.
func NewWriter(ctx context.Context, w io.Writer) *Writer {
	out := &Writer{lines: make(chan []byte, bufferedLines)}
	go out.run(ctx, w)
	return out
}

// Write implements io.Writer. It copies the line, or drops it if the buffer is
// full, and never fails.
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

// run writes waiting lines together.
func (w *Writer) run(ctx context.Context, out io.Writer) {
	report := slog.New(slog.NewJSONHandler(out, nil))
	var batch []byte
	for {
		select {
		case line := <-w.lines:
			batch = append(batch[:0], line...)
			batch = w.drain(batch)
			// There is no other place to report a failed write to.
			_, _ = out.Write(batch)
			if n := w.dropped.Swap(0); n > 0 {
				report.Warn(LogDropped, "lines", n)
			}
		case <-ctx.Done():
			_, _ = out.Write(w.drain(batch[:0]))
			return
		}
	}
}

// drain appends the lines that wait now, up to the size of one write.
func (w *Writer) drain(batch []byte) []byte {
	const maxWrite = 32 << 10
	for len(batch) < maxWrite {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}
