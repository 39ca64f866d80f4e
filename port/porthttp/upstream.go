package porthttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// Bounds of answers from upstreams.
const (
	maxReportBytes      = 256 << 10
	maxCacheEventsBytes = 8 << 20
	maxCallAnswerBytes  = 8 << 20
	maxRetryAfter       = time.Hour
)

// reasonStaleFencing is the Refusal.Reason of an order with an old generation.
const reasonStaleFencing = "stale_fencing_number"

// ErrStaleFencing means that an engine refused an order because it has seen a
// higher generation. The error also holds a *verdict.Error.
var ErrStaleFencing = errors.New("order carries a stale fencing number")

// Upstream talks to engine VMs and to the VMs of plain services. All errors of
// its methods hold a *verdict.Error.
type Upstream struct {
	client *http.Client
}

// NewUpstream returns a client of upstream VMs. A nil client means
// NewHTTPClient.
func NewUpstream(client *http.Client) *Upstream {
	return &Upstream{client: withoutRedirects(client)}
}

// Report returns a VM's own report.
func (u *Upstream) Report(ctx context.Context, address string) (port.Report, error) {
	var report port.Report
	err := u.get(ctx, address, "/v1/report", maxReportBytes, &report)
	return report, err
}

// CacheEvents returns the cache events of an engine after a sequence number.
func (u *Upstream) CacheEvents(ctx context.Context, address string, after int64) (port.CacheEvents, error) {
	var events port.CacheEvents
	path := "/v1/cache-events?after=" + strconv.FormatInt(after, 10)
	err := u.get(ctx, address, path, maxCacheEventsBytes, &events)
	return events, err
}

// Order gives an engine VM an order. A stale generation is ErrStaleFencing.
func (u *Upstream) Order(ctx context.Context, address string, order port.Order) error {
	resp, err := u.post(ctx, address, "/v1/order", order)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	refusal, failure := refused(resp)
	if refusal.NotRun && refusal.Reason == reasonStaleFencing {
		return fmt.Errorf("%w: %w", ErrStaleFencing, failure)
	}
	return failure
}

// Cancel ends a request on an engine. Canceling an unknown request succeeds.
func (u *Upstream) Cancel(ctx context.Context, address, requestID string) error {
	resp, err := u.post(ctx, address, "/v1/cancel", port.CancelRequest{RequestID: requestID})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	_, failure := refused(resp)
	return failure
}

// Generate starts a generation on the rank 0 VM of a replica. The stream ends
// with the context or with Close, whichever comes first.
func (u *Upstream) Generate(ctx context.Context, address string, req port.GenerateRequest) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	resp, err := u.post(ctx, address, "/v1/generate", req)
	if err != nil {
		cancel()
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		defer resp.Body.Close()
		_, failure := refused(resp)
		return nil, failure
	}
	if !isEventStream(resp) {
		defer cancel()
		defer resp.Body.Close()
		return nil, lost("the answer is not an event stream")
	}
	return newStream(req.RequestID, resp.Body, cancel), nil
}

// Call runs a call on a plain service's VM. An answer to another request is
// never passed on.
func (u *Upstream) Call(ctx context.Context, address string, req port.CallRequest) (port.CallResponse, error) {
	resp, err := u.post(ctx, address, "/v1/call", req)
	if err != nil {
		return port.CallResponse{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, failure := refused(resp)
		return port.CallResponse{}, failure
	}
	data, err := readAll(resp.Body, maxCallAnswerBytes)
	if err != nil {
		return port.CallResponse{}, lost("%v", err)
	}
	var answer port.CallResponse
	if err := json.Unmarshal(data, &answer); err != nil {
		return port.CallResponse{}, lost("the answer can't be decoded: %v", err)
	}
	if answer.RequestID != req.RequestID {
		return port.CallResponse{}, lost("the answer belongs to another request")
	}
	return answer, nil
}

// post sends a request with a JSON body at most once.
func (u *Upstream) post(ctx context.Context, address, path string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, verdict.Refuse(verdict.ReasonBadRequest, "encoding the request: %v", err)
	}
	var trace connTrace
	req, err := postRequest(trace.attach(ctx), "http://"+address+path, bytes.NewReader(data), len(data))
	if err != nil {
		return nil, verdict.Refuse(verdict.ReasonConnect, "%v", err)
	}
	resp, err := u.client.Do(req)
	if err != nil {
		return nil, sendFailure(&trace, err)
	}
	return resp, nil
}

// get decodes the answer of a GET with a verdict for its failure.
func (u *Upstream) get(ctx context.Context, address, path string, limit int64, into any) error {
	var trace connTrace
	err := getJSON(trace.attach(ctx), u.client, "http://"+address+path, limit, into)
	if err != nil {
		return sendFailure(&trace, err)
	}
	return nil
}

// sendFailure gives the verdict on a request that got no usable answer.
func sendFailure(trace *connTrace, err error) *verdict.Error {
	if trace.neverConnected(err) {
		return verdict.Refuse(verdict.ReasonConnect, "%v", err)
	}
	return lost("%v", err)
}

// lost returns the error of a request whose outcome is unknown.
func lost(format string, args ...any) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.ReasonUpstreamLost, format, args...)
}

// refused interprets an answer that is not a success. Only an upstream's own
// word in one of the agreed statuses proves that the request did not run.
func refused(resp *http.Response) (port.Refusal, *verdict.Error) {
	data, err := readAll(resp.Body, maxSmallBytes)
	if err != nil {
		return port.Refusal{}, lost("status %d: %v", resp.StatusCode, err)
	}
	var refusal port.Refusal
	if json.Unmarshal(data, &refusal) != nil || !refusal.NotRun || !mayRefuse(resp.StatusCode) {
		return port.Refusal{}, lost("status %d without a refusal", resp.StatusCode)
	}
	reason := verdict.ReasonUpstreamRefused
	if resp.StatusCode == http.StatusTooManyRequests {
		reason = verdict.ReasonUpstreamBusy
	}
	failure := verdict.Refuse(reason, "upstream refused: %s", refusal.Reason)
	return refusal, failure.WithRetryAfter(retryAfter(resp.Header))
}

// mayRefuse reports whether a status can carry a Refusal.
func mayRefuse(status int) bool {
	switch status {
	case http.StatusConflict, http.StatusUnprocessableEntity,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// retryAfter reads the advice of a refusal in seconds; zero if there is none.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds <= 0 {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}

// isEventStream reports whether an answer is a stream of server-sent events.
func isEventStream(resp *http.Response) bool {
	kind, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}
