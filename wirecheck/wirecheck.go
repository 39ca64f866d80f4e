// Package wirecheck checks the heads and trailers of HTTP/1 responses before a parser sees
// them.
//
// The parser of the standard library is lenient: it accepts a blank in the name of a field,
// takes a line that begins with a blank for the continuation of the one before it, and takes
// a line feed on its own for the end of a line. A damaged field then passes as another one
// or as a part of the body, and a damaged Content-Length or Transfer-Encoding as none at
// all. A proxy must not pass such a response on (RFC 9112, sections 2.2, 5.1 and 5.2). Nor
// must it take a status below 100 for that of an interim response.
//
// The guarantee: a Reader follows all responses on a connection, and no byte of a line that
// is malformed, in a head or in a trailer, or of what follows it, reaches the parser once
// the whole line is known to be malformed. Bodies are passed through without a look at them.
package wirecheck

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"

	"github.com/tamarackcleat/tamarackcleat/bounded"
)

// ErrMalformed marks the error of a response with a malformed line in its head or trailer.
var ErrMalformed = errors.New("malformed response")

const (
	// maxLineBytes bounds one line of a head, a trailer or a chunked body.
	maxLineBytes = 64 << 10
	// limitLine names the limit, as bounded.Exceeded returns it.
	limitLine = "response_line"
	// maxQuotedBytes bounds how much of a malformed line an error quotes.
	maxQuotedBytes = 40
)

// position is the part of a response to which the next byte belongs.
type position int

const (
	// inStatusLine and inFields are the parts of a head.
	inStatusLine position = iota
	inFields
	// inBody is a part of a body whose length is known: a whole body or the data of a chunk
	// with the line end after it.
	inBody
	inChunkSize
	inTrailer
	// inRest is all that follows on a connection on which no further response begins, or
	// which the parser will give up.
	inRest
)

// Reader reads the responses on a connection from another reader. It is not safe for
// concurrent use.
type Reader struct {
	source io.Reader
	at     position
	// line holds the beginning of a line that is not complete yet.
	line []byte
	// left is the number of bytes up to the end of the part; it counts only inBody.
	left int64
	// withoutBody says that the next responses have no body whatever their heads say.
	withoutBody bool
	head        head
	err         error
}

// head is what the head of the current response says of its framing.
type head struct {
	status int
	// mayChunk says that the version of HTTP knows Transfer-Encoding, and chunked that the
	// body has one.
	mayChunk, chunked bool
	// length is the Content-Length; -1 if there is none.
	length int64
}

// NewReader returns a reader of the responses that come from source.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// SetWithoutBody says whether the next responses have no body whatever their heads say, as
// those to HEAD requests.
func (r *Reader) SetWithoutBody(withoutBody bool) { r.withoutBody = withoutBody }

// Err returns the error for a malformed or too long line that was found; nil if there was
// none. Bytes before that line may not have been read yet.
func (r *Reader) Err() error { return r.err }

// Read implements io.Reader. The error for a malformed line is marked as ErrMalformed, that
// for one which is too long as bounded.ErrTooLong.
func (r *Reader) Read(b []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.source.Read(b)
	valid := 0
	for valid < n && r.err == nil {
		valid += r.follow(b[valid:n])
	}
	if r.err == nil {
		return n, err
	}
	if valid == 0 {
		return 0, r.err
	}
	return valid, nil
}

// follow takes some of the bytes that come next and returns their number. If they end a
// malformed line, it sets err and takes none.
func (r *Reader) follow(data []byte) int {
	switch r.at {
	case inRest:
		return len(data)
	case inBody:
		n := min(int64(len(data)), r.left)
		if r.left -= n; r.left == 0 {
			r.endPart()
		}
		return int(n)
	}
	end := bytes.IndexByte(data, '\n') + 1
	if end == 0 {
		end = len(data)
	}
	r.line = append(r.line, data[:end]...)
	switch {
	case r.at == inStatusLine && !beginsStatusLine(r.line):
		r.at = inRest
	case len(r.line) > maxLineBytes:
		r.err = bounded.TooLong(limitLine, maxLineBytes)
		return 0
	case data[end-1] != '\n':
		return end
	default:
		if r.err = r.takeLine(r.line); r.err != nil {
			return 0
		}
	}
	r.line = r.line[:0]
	return end
}

// beginsStatusLine reports whether a status line may begin with these bytes. Other
// protocols, TLS among them, and garbage don't; the parser above knows what to do with them.
func beginsStatusLine(line []byte) bool {
	const name = "HTTP/"
	n := min(len(line), len(name))
	return string(line[:n]) == name[:n]
}

// endPart goes on after the last byte of a body with a length or of a chunk.
func (r *Reader) endPart() {
	r.at = inStatusLine
	if r.head.chunked {
		r.at = inChunkSize
	}
}

// takeLine takes a line with its end.
func (r *Reader) takeLine(line []byte) error {
	content, ok := bytes.CutSuffix(line, []byte("\r\n"))
	switch {
	case r.at == inChunkSize:
		r.takeChunkSize(content, ok)
		return nil
	case !ok:
		return malformed("a line that ends with a line feed alone", line)
	case r.at == inStatusLine:
		return r.takeStatusLine(content)
	case len(content) == 0:
		r.endFields()
		return nil
	}
	return r.takeField(content)
}

// takeStatusLine takes a status line. The parser refuses one that it can't read, but reads a
// status below 100 as a number like any other.
func (r *Reader) takeStatusLine(line []byte) error {
	proto, rest, _ := strings.Cut(string(line), " ")
	code, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	status, err := strconv.Atoi(code)
	major, minor, ok := http.ParseHTTPVersion(proto)
	switch {
	case err != nil || !ok:
		r.at = inRest
		return nil
	case status < http.StatusContinue:
		return malformed("the status", line)
	}
	r.head = head{status: status, mayChunk: major > 1 || major == 1 && minor > 0, length: -1}
	r.at = inFields
	return nil
}

// takeField takes a field line, of a head or a trailer, without its end.
func (r *Reader) takeField(line []byte) error {
	name, value, ok := strings.Cut(string(line), ":")
	switch {
	case !ok:
		return malformed("a field line without a colon", line)
	case !httpguts.ValidHeaderFieldName(name):
		return malformed("the name of a field", line)
	case !httpguts.ValidHeaderFieldValue(value):
		return malformed("the value of a field", line)
	case r.at == inFields:
		r.noteFraming(name, strings.Trim(value, " \t"))
	}
	return nil
}

// noteFraming notes what a field says of the framing of the body. The parser refuses
// values that contradict each other or that it doesn't know.
func (r *Reader) noteFraming(name, value string) {
	switch http.CanonicalHeaderKey(name) {
	case "Transfer-Encoding":
		r.head.chunked = r.head.mayChunk
	case "Content-Length":
		if n, err := strconv.ParseInt(value, 10, 64); err == nil && n >= 0 {
			r.head.length = n
		}
	}
}

// endFields goes on after the empty line at the end of a head or a trailer.
func (r *Reader) endFields() {
	h := r.head
	switch {
	case r.at == inTrailer:
		r.at = inStatusLine
	case r.withoutBody, h.status/100 == 1, h.status == http.StatusNoContent, h.status == http.StatusNotModified:
		r.at = inStatusLine
	case h.chunked:
		r.at = inChunkSize
	case h.length > 0:
		r.at, r.left = inBody, h.length
	case h.length == 0:
		r.at = inStatusLine
	default:
		r.at = inRest
	}
}

// takeChunkSize takes the line before a chunk. The parser refuses one that it can't read.
func (r *Reader) takeChunkSize(line []byte, complete bool) {
	size, _, _ := strings.Cut(string(line), ";")
	n, err := strconv.ParseUint(strings.TrimRight(size, " \t"), 16, 62)
	switch {
	case err != nil || !complete:
		r.at = inRest
	case n == 0:
		r.at = inTrailer
	default:
		r.at, r.left = inBody, int64(n)+int64(len("\r\n"))
	}
}

// malformed returns the error for a line.
func malformed(what string, line []byte) error {
	return errors.Wrapf(ErrMalformed, "%s, in %q", what, line[:min(len(line), maxQuotedBytes)])
}
