package bounded

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// firstBlockBytes is the size of an input's first block of memory. Each further
	// block is twice as large as the one before, up to maxBlockBytes.
	firstBlockBytes = 2 << 10
	// maxBlockBytes is the size of the blocks that count towards a Budget of a fixed size.
	// Smaller ones don't, so that large inputs can't keep small ones from being read.
	maxBlockBytes = 64 << 10
)

// Budget bounds the memory that inputs which are read at the same time hold together.
// It is safe for concurrent use.
type Budget struct {
	what string
	max  int64
	pool Pool
}

// Pool counts memory that is held.
type Pool interface {
	// Take counts n bytes before they are held. It reports false, and counts nothing, if
	// there is no room.
	Take(n int64) bool
	// Give gives bytes back that Take counted.
	Give(n int64)
}

// sum is a Pool of a fixed size.
type sum struct {
	max  int64
	used atomic.Int64
}

// Take implements Pool.
func (s *sum) Take(n int64) bool {
	if s.used.Add(n) > s.max {
		s.used.Add(-n)
		return false
	}
	return true
}

// Give implements Pool.
func (s *sum) Give(n int64) { s.used.Add(-n) }

// NewBudget returns a budget of max bytes; what names it in errors, as in Error.
func NewBudget(what string, max int64) *Budget {
	return &Budget{what: what, max: max, pool: &sum{max: max}}
}

// NewPooledBudget returns a budget whose memory p counts, that of small inputs too. max is
// the size that errors name.
func NewPooledBudget(what string, p Pool, max int64) *Budget {
	return &Budget{what: what, max: max, pool: p}
}

// counts reports whether memory of n bytes counts towards the budget.
func (b *Budget) counts(n int64) bool {
	_, fixed := b.pool.(*sum)
	return !fixed || n >= maxBlockBytes
}

// Input is an input that was read whole. Its memory counts towards a Budget until
// Release is called.
type Input struct {
	budget *Budget
	// taken is the part of the budget that the input uses, in bytes.
	taken  int64
	blocks [][]byte
	size   int64
}

// ReadAll reads r to its end. If r has more than limit bytes, or its data does not fit
// into the budget, the error is marked as ErrTooLong. The input must be released, also
// after an error; it is never nil.
func (b *Budget) ReadAll(r io.Reader, what string, limit int64) (*Input, error) {
	in := &Input{budget: b}
	for blockSize := int64(firstBlockBytes); ; blockSize = min(2*blockSize, maxBlockBytes) {
		if b.counts(blockSize) && !in.take(blockSize) {
			return in, TooLong(b.what, b.max)
		}
		block := make([]byte, blockSize)
		n, err := fill(r, block)
		in.blocks = append(in.blocks, block[:n])
		in.size += int64(n)
		switch {
		case in.size > limit:
			return in, TooLong(what, limit)
		case errors.Is(err, io.EOF):
			return in, nil
		case err != nil:
			return in, err
		}
	}
}

// ReadSized is ReadAll for an input that states its size. Its memory is taken out of the
// budget before the first byte is read: of inputs that are read at the same time and do
// not fit together, some fit.
func (b *Budget) ReadSized(r io.Reader, size int64, what string, limit int64) (*Input, error) {
	in := &Input{budget: b}
	if size > limit {
		return in, TooLong(what, limit)
	}
	// The input has no further byte, but only one more read shows that it ends.
	memory := size + 1
	if b.counts(memory-1) && !in.take(memory) {
		return in, TooLong(b.what, b.max)
	}
	for in.size < memory {
		block := make([]byte, min(maxBlockBytes, memory-in.size))
		n, err := fill(r, block)
		in.blocks = append(in.blocks, block[:n])
		in.size += int64(n)
		switch {
		case errors.Is(err, io.EOF):
			return in, nil
		case err != nil:
			return in, err
		}
	}
	return in, errors.Newf("input has more than the %d bytes that it stated", size)
}

// fill reads until the block is full or the read fails, and returns the error of that
// read. Unlike io.ReadFull it keeps io.EOF, which a reader of a body that is cut off
// tells apart from io.ErrUnexpectedEOF.
func fill(r io.Reader, block []byte) (int, error) {
	n := 0
	for n < len(block) {
		m, err := r.Read(block[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// take takes n bytes out of the budget unless fewer are left.
func (in *Input) take(n int64) bool {
	if !in.budget.pool.Take(n) {
		return false
	}
	in.taken += n
	return true
}

// Bytes returns the input in one piece. The copy does not count towards the Budget.
func (in *Input) Bytes() []byte { return bytes.Join(in.blocks, nil) }

// Len returns the size in bytes.
func (in *Input) Len() int64 { return in.size }

// WriteTo implements io.WriterTo.
func (in *Input) WriteTo(w io.Writer) (int64, error) {
	written := int64(0)
	for _, block := range in.blocks {
		n, err := w.Write(block)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Release gives the memory back to the budget. The input is empty then.
func (in *Input) Release() {
	in.budget.pool.Give(in.taken)
	*in = Input{budget: in.budget}
}
