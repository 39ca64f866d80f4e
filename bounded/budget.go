package bounded

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// initialBytes is the first size of the buffer of an input, which doubles when it
	// is full.
	initialBytes = 512
	// freeBytes is the size up to which the buffer of an input does not count towards
	// a Budget, so that large inputs can't keep small ones from being read.
	freeBytes = 64 << 10
)

// Budget bounds the memory that inputs which are read at the same time hold together.
// It is safe for concurrent use.
type Budget struct {
	what string
	max  int64
	used atomic.Int64
}

// NewBudget returns a budget of max bytes; what names it in errors, as in Error.
func NewBudget(what string, max int64) *Budget { return &Budget{what: what, max: max} }

// take takes n bytes out of the budget unless fewer are left.
func (b *Budget) take(n int64) bool {
	if b.used.Add(n) > b.max {
		b.used.Add(-n)
		return false
	}
	return true
}

// ReadAll reads r to its end. If r has more than limit bytes, or a buffer for it does
// not fit into the budget, it returns no data and an error that is marked as
// ErrTooLong. The caller must call release once it no longer uses the data; release is
// never nil.
func (b *Budget) ReadAll(r io.Reader, what string, limit int64) (data []byte, release func(), err error) {
	taken := int64(0)
	release = func() { b.used.Add(-taken) }
	buf := make([]byte, 0, initialBytes)
	for {
		if len(buf) == cap(buf) {
			size := 2 * int64(cap(buf))
			if size > freeBytes {
				if !b.take(size - taken) {
					return nil, release, TooLong(b.what, b.max)
				}
				taken = size
			}
			buf = append(make([]byte, 0, size), buf...)
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case int64(len(buf)) > limit:
			return nil, release, TooLong(what, limit)
		case errors.Is(err, io.EOF):
			return buf, release, nil
		case err != nil:
			return nil, release, err
		}
	}
}
