package entry

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/bounded"
	"github.com/tamarackcleat/tamarackcleat/callerlimit"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// Names of the limits on bodies.
const (
	limitRequestBody  = "request_body"
	limitBodiesMemory = "request_bodies_memory"
)

const (
	// bodyCost is what one byte of a body counts: it is held as it was read, in one piece,
	// decoded, and encoded for the upstream.
	bodyCost = 4
	// retryAfterNoRoom is the delay after which a caller may retry a request that was
	// refused for lack of memory.
	retryAfterNoRoom = time.Second
)

// bodyPool counts bytes of a body, with their cost, on the connection that brings it. The
// connection gives them back when the request ends.
type bodyPool struct{ conn *callerlimit.Conn }

// Take implements bounded.Pool.
func (p bodyPool) Take(n int64) bool { return p.conn.Take(bodyCost * n) }

// Give implements bounded.Pool.
func (p bodyPool) Give(n int64) { p.conn.Give(bodyCost * n) }

// readBody reads a body of at most limit bytes. If the body can't be read, the connection
// is closed after the response: the server would otherwise wait for the rest of the body
// before it responds. A body for which there is no memory is read to its end all the same:
// a caller that is still writing would not read the refusal.
func (n *Node) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *verdict.Error) {
	conn := callerlimit.FromContext(r.Context())
	reader := http.MaxBytesReader(w, r.Body, limit)
	in, err := n.takeBody(conn, reader, r.ContentLength, limit)
	noMemory := false
	if what, ok := bounded.Exceeded(err); ok && what == limitBodiesMemory {
		noMemory = true
		in.Release()
		err = bounded.Discard(reader, limitRequestBody, limit)
	}
	if err == nil && !conn.BodyRead() {
		err = callerlimit.ErrGaveWay
	}
	switch {
	case err != nil:
		in.Release()
		w.Header().Set("Connection", "close")
		return nil, refuseBody(conn, err, limit)
	case noMemory:
		return nil, verdict.Refuse(verdict.ReasonBodiesMemory, "no memory for the body of %d bytes", r.ContentLength).
			WithRetryAfter(retryAfterNoRoom)
	}
	return in.Bytes(), nil
}

// takeBody reads a body into memory that is counted. size is the size that the caller
// stated, or negative.
func (n *Node) takeBody(conn *callerlimit.Conn, body io.Reader, size, limit int64) (*bounded.Input, error) {
	budget := bounded.NewPooledBudget(limitBodiesMemory, bodyPool{conn}, callerLimits(n.settings.Limits).Bytes)
	if size < 0 {
		return budget.ReadAll(body, limitRequestBody, limit)
	}
	return budget.ReadSized(body, size, limitRequestBody, limit)
}

// refuseBody returns the refusal for a body that could not be read.
func refuseBody(conn *callerlimit.Conn, err error, limit int64) *verdict.Error {
	var tooLarge *http.MaxBytesError
	switch cause := conn.GaveWay(); {
	case cause == callerlimit.CauseSlow:
		return verdict.Refuse(verdict.ReasonSlowBody, "the body made too little progress")
	case cause != "":
		return verdict.Refuse(verdict.ReasonBodiesMemory, "%v (%s)", callerlimit.ErrGaveWay, cause).WithRetryAfter(retryAfterNoRoom)
	case errors.As(err, &tooLarge), errors.Is(err, bounded.ErrTooLong):
		return verdict.Refuse(verdict.ReasonTooLarge, "the body is larger than %d bytes", limit)
	}
	return verdict.Refuse(verdict.ReasonBadRequest, "reading the body: %v", err)
}
