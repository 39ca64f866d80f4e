// Package bounded reads input of other processes up to a limit on its size.
//
// The guarantee: input above the limit is an error that is marked as ErrTooLong and
// names the limit. It is never cut off silently, so that it can't be mistaken for
// malformed or complete input, and no more than the limit is held in memory.
package bounded

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
)

// ErrTooLong marks the error of input above its limit.
var ErrTooLong = errors.New("input exceeds its limit")

// Error describes input above its limit. It matches ErrTooLong.
type Error struct {
	// What names the limit, in lower case and without spaces, for example
	// "response_head". It is part of counters' names.
	What string
	// Max is the limit, in bytes unless What says otherwise.
	Max int64
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s exceeds its limit of %d", e.What, e.Max)
}

// Is makes the error match ErrTooLong.
func (e *Error) Is(target error) bool { return target == ErrTooLong }

// TooLong returns the error of input above the named limit.
func TooLong(what string, limit int64) error { return &Error{What: what, Max: limit} }

// Exceeded returns the name of the limit that an error says was exceeded; false if the
// error has another cause.
func Exceeded(err error) (string, bool) {
	var e *Error
	if errors.As(err, &e) {
		return e.What, true
	}
	return "", false
}

// ReadAll reads r to its end. If r has more than limit bytes, it stops after one byte
// more and returns no data and an error that is marked as ErrTooLong.
func ReadAll(r io.Reader, what string, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, TooLong(what, limit)
	}
	return data, nil
}

// Discard reads r to its end and drops what it reads. If r has more than limit bytes,
// it stops after one byte more and returns an error that is marked as ErrTooLong.
func Discard(r io.Reader, what string, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(r, limit+1))
	if err == nil && n > limit {
		err = TooLong(what, limit)
	}
	return err
}

// Reader reads from another reader and fails when a limit on the number of bytes is
// exceeded. The zero value has no source; use NewReader. It is not safe for concurrent
// use.
type Reader struct {
	source io.Reader
	what   string
	max    int64
	// left is how many bytes may still be read; it is ignored while unlimited is
	// set.
	left      int64
	unlimited bool
	exceeded  error
}

// NewReader returns a reader of source without a limit.
func NewReader(source io.Reader) *Reader { return &Reader{source: source, unlimited: true} }

// SetLimit lets at most limit further bytes be read.
func (r *Reader) SetLimit(what string, limit int64) {
	r.what, r.max, r.left, r.unlimited = what, limit, limit, false
}

// Cause returns the error of a read above the limit if there was one, and else err. A
// parser between the reader and its user may hide that error, because the input that
// it got looks malformed.
func (r *Reader) Cause(err error) error {
	if r.exceeded != nil {
		return r.exceeded
	}
	return err
}

// RemoveLimit lets any number of further bytes be read.
func (r *Reader) RemoveLimit() { r.unlimited = true }

// Read implements io.Reader. The error for bytes above the limit is marked as
// ErrTooLong.
func (r *Reader) Read(b []byte) (int, error) {
	if r.unlimited {
		return r.source.Read(b)
	}
	if r.left <= 0 {
		r.exceeded = r.readBeyond()
		return 0, r.exceeded
	}
	if int64(len(b)) > r.left {
		b = b[:r.left]
	}
	n, err := r.source.Read(b)
	r.left -= int64(n)
	return n, err
}

// readBeyond returns the end of the source if it ends at the limit, and otherwise the
// error for bytes above it.
func (r *Reader) readBeyond() error {
	var next [1]byte
	if n, err := r.source.Read(next[:]); n == 0 && err != nil {
		return err
	}
	return TooLong(r.what, r.max)
}
