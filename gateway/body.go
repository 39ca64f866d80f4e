package gateway

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/bounded"
	"github.com/tamarackcleat/tamarackcleat/callerlimit"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// Limits on the bodies of requests, and their names.
const (
	// defaultBodyBytes bounds one body if the configuration doesn't.
	defaultBodyBytes  = 4 << 20
	limitRequestBody  = "request_body"
	limitBodiesMemory = "request_bodies_memory"
)

// smallBodyBytes is the size up to which a body does not count towards the memory of all.
const smallBodyBytes = 62 << 10

// hasLargeBody reports whether a request's body may be larger than smallBodyBytes.
func hasLargeBody(r *http.Request) bool {
	return r.ContentLength < 0 || r.ContentLength > smallBodyBytes
}

// readBody reads the request's body; if keep is false, it drops what it reads. It refuses a
// body above the configured limit, one that does not arrive while the caller waits for the
// answer, and one for which there is no memory. In the last case it reads the body to its
// end all the same: a caller that is still writing would not read the refusal.
func (f *forwarder) readBody(r *http.Request, keep bool) *verdict.Error {
	limit := int64(f.view.Config.Limits.MaxBodyBytes)
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength == 0 {
		return nil
	}
	if r.ContentLength > limit {
		return verdict.Refuse(verdict.ReasonTooLarge, "the body of %d bytes is too large", r.ContentLength)
	}
	f.limitReadTime()
	body := http.MaxBytesReader(f.w, r.Body, limit)
	err := f.takeBody(body, r.ContentLength, limit, keep)
	noMemory := false
	if what, ok := bounded.Exceeded(err); ok && what == limitBodiesMemory {
		noMemory = true
		err = f.takeBody(body, r.ContentLength, limit, false)
	}
	if err != nil {
		// The server would otherwise wait for the rest of the body before it answers.
		f.w.Header().Set("Connection", "close")
		return f.refuseBody(err)
	}
	if !f.conn.BodyRead() {
		return f.refuseBody(callerlimit.ErrGaveWay)
	}
	// An error means that the connection is gone already, which the next read shows.
	_ = http.NewResponseController(f.w).SetReadDeadline(time.Time{})
	if noMemory {
		return verdict.Refuse(verdict.ReasonBodiesMemory, "no memory for the body of %d bytes", r.ContentLength).
			WithRetryAfter(noRoomRetryAfter())
	}
	return nil
}

// limitReadTime bounds the time in which the body must arrive by the time for which the
// caller waits for the answer.
func (f *forwarder) limitReadTime() {
	wait := defaultTimeout
	if f.req.Timeout > 0 {
		wait = min(wait, f.req.Timeout)
	}
	// An error means that the connection is gone already, which the read shows.
	_ = http.NewResponseController(f.w).SetReadDeadline(f.arrivedAt.Add(wait))
}

// takeBody reads a body to its end, and keeps it or not. size is the size that the caller
// stated, or negative.
func (f *forwarder) takeBody(body io.Reader, size, limit int64, keep bool) error {
	if !keep {
		return bounded.Discard(body, limitRequestBody, limit)
	}
	var in *bounded.Input
	var err error
	if size < 0 {
		in, err = f.bodyBudget().ReadAll(body, limitRequestBody, limit)
	} else {
		in, err = f.bodyBudget().ReadSized(body, size, limitRequestBody, limit)
	}
	if err != nil {
		in.Release()
		return err
	}
	f.body, f.req.Body = in, in
	return nil
}

// releaseBody gives the memory of the body back. The request must not be sent afterwards.
func (f *forwarder) releaseBody() {
	if f.body != nil {
		f.body.Release()
	}
}

// bodyBudget returns the budget for the memory of the request's body, which the account of
// what callers hold counts.
func (f *forwarder) bodyBudget() *bounded.Budget {
	return bounded.NewPooledBudget(limitBodiesMemory, f.conn, callerLimits(*f.node.Settings()).Bytes)
}

// refuseBody returns the refusal for a body that could not be read.
func (f *forwarder) refuseBody(err error) *verdict.Error {
	var tooLarge *http.MaxBytesError
	switch cause := f.conn.GaveWay(); {
	case cause == callerlimit.CauseSlow:
		return verdict.Refuse(verdict.ReasonSlowBody, "the body made too little progress")
	case cause != "":
		return verdict.Refuse(verdict.ReasonBodiesMemory, "%v (%s)", callerlimit.ErrGaveWay, cause).
			WithRetryAfter(noRoomRetryAfter())
	case errors.Is(err, os.ErrDeadlineExceeded):
		return verdict.Refuse(verdict.ReasonDeadline, "the body did not arrive in time")
	case errors.As(err, &tooLarge), errors.Is(err, bounded.ErrTooLong):
		return verdict.Refuse(verdict.ReasonTooLarge, "%v", err)
	}
	return verdict.Refuse(verdict.ReasonBadRequest, "reading the body: %v", err)
}
