package gateway

import (
	"context"
	"net/http"
	"strconv"

	"github.com/tamarackcleat/tamarackcleat/bounded"
	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/exchange"
	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// failureAnswer is a failure that an upstream answered with, read to its end. It is kept
// while the request is tried elsewhere, and is the answer if no other upstream gives one.
type failureAnswer struct {
	status int
	header http.Header
	body   *bounded.Input
}

func (a *failureAnswer) release() {
	if a != nil {
		a.body.Release()
	}
}

// isFailure reports whether a response says that the upstream failed to run the request.
func isFailure(resp *exchange.Response) bool { return resp.Status >= http.StatusInternalServerError }

// readFailure reads the rest of a failure that an upstream answers with. It returns nil if
// the answer is cut off, malformed or too large, which proves nothing. It may be called
// while an attempt of the request runs.
func (f *forwarder) readFailure(t fleet.Target, resp *exchange.Response) *failureAnswer {
	body, err := f.node.answersMemory.ReadAll(resp, limitAnswer, maxAnswerBytes)
	if err != nil {
		// The move fails in any case; a malformed answer is logged and counted.
		_, _ = f.malformed(t, "the failure was cut off", err)
		body.Release()
		return nil
	}
	return &failureAnswer{status: resp.Status, header: resp.Header, body: body}
}

// keepFailure keeps a failure in place of an earlier one. a may be nil.
func (f *forwarder) keepFailure(a *failureAnswer) {
	if a == nil {
		return
	}
	f.failure.release()
	f.failure = a
}

// relayFailure ends a request that failed with e. If an upstream has answered with a
// failure, the caller gets that answer; otherwise relayFailure returns e.
func (f *forwarder) relayFailure(caller context.Context, e *verdict.Error) *verdict.Error {
	a := f.failure
	f.failure = nil
	defer a.release()
	if e == nil || a == nil || f.answerStarted || caller.Err() != nil {
		return e
	}
	f.node.count("retry.failure_relayed")
	f.node.logger.Info(decisions.RequestFailureRelayed, f.logFields("status", a.status, "reason", e.Reason, "detail", e.Detail)...)
	return f.writeAnswer(a.status, a.header, a.body)
}

// writeAnswer sends an answer that is not a stream to the caller.
func (f *forwarder) writeAnswer(status int, header http.Header, body *bounded.Input) *verdict.Error {
	h := f.w.Header()
	copyHeader(h, header)
	if status == http.StatusServiceUnavailable {
		f.replaceRetryAfter(h)
	}
	h.Set("Content-Length", strconv.FormatInt(body.Len(), 10))
	f.writeHeader(status)
	if _, err := body.WriteTo(f.w); err != nil {
		return verdict.New(verdict.Ran, verdict.ReasonCanceled, "%v", err)
	}
	return nil
}
