package porthttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/tamarackcleat/tamarackcleat/bounded"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// Limits of responses from upstreams.
const (
	maxReportBytes       = 256 << 10
	maxCacheEventsBytes  = 8 << 20
	maxCallResponseBytes = 8 << 20
	// callResponsesMemoryBytes bounds the memory of all large responses to calls that
	// are being received together; the smallest entry VMs have less than 200 MB.
	callResponsesMemoryBytes = 16 << 20
	limitCallResponsesMemory = "call_responses_memory"
)

// reasonStaleFencing is the port.Refusal.Reason of an order whose generation is
// lower than the highest that the engine has seen.
const reasonStaleFencing = "stale_fencing_number"

// ErrStaleFencing means that an engine refused an order because it has already
// seen a higher generation. An error that wraps it also wraps a *verdict.Error.
var ErrStaleFencing = errors.New("order carries a stale fencing number")

// Upstream is a client of engine VMs and of the VMs of plain services. All errors
// of its methods are or wrap a *verdict.Error.
type Upstream struct {
	client *http.Client
	// callResponses bounds the memory of the responses to calls that are being
	// received.
	callResponses *bounded.Budget
}

// NewUpstream returns a client of upstream VMs. If client is nil, the client of
// NewHTTPClient is used.
func NewUpstream(client *http.Client) *Upstream {
	c := withoutRedirects(client)
	c.Transport = &tracedTransport{base: c.Transport}
	return &Upstream{
		client:        c,
		callResponses: bounded.NewBudget(limitCallResponsesMemory, callResponsesMemoryBytes),
	}
}

// Report fetches the report of a VM.
func (u *Upstream) Report(ctx context.Context, address string) (port.Report, error) {
	var report port.Report
	err := u.get(ctx, address, "/v1/report", maxReportBytes, &report)
	return report, err
}

// CacheEvents fetches the cache events of an engine whose sequence numbers are
// greater than after.
func (u *Upstream) CacheEvents(ctx context.Context, address string, after int64) (port.CacheEvents, error) {
	var events port.CacheEvents
	path := "/v1/cache-events?after=" + strconv.FormatInt(after, 10)
	err := u.get(ctx, address, path, maxCacheEventsBytes, &events)
	return events, err
}

// Order sends an order to an engine VM. If the engine refuses the order because
// of its generation, the error is ErrStaleFencing.
func (u *Upstream) Order(ctx context.Context, address string, order port.Order) error {
	resp, err := u.post(ctx, address, "/v1/order", order)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	refusal, failure := parseRefusal(resp)
	if refusal.NotRun && refusal.Reason == reasonStaleFencing {
		return fmt.Errorf("%w: %w", ErrStaleFencing, failure)
	}
	return failure
}

// Cancel ends a request on an engine. It succeeds if the engine doesn't know the
// request.
func (u *Upstream) Cancel(ctx context.Context, address, requestID string) error {
	resp, err := u.post(ctx, address, "/v1/cancel", port.CancelRequest{RequestID: requestID})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	_, failure := parseRefusal(resp)
	return failure
}

// Generate starts a generation on the VM of rank 0 of a replica. The stream ends
// when the context ends or Stream.Close is called.
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
		_, failure := parseRefusal(resp)
		return nil, failure
	}
	if !isEventStream(resp) {
		defer cancel()
		defer resp.Body.Close()
		return nil, lostError("the answer is not an event stream")
	}
	return newStream(req.RequestID, resp.Body, cancel), nil
}

// Call runs a call on the VM of a plain service. A response to another request is
// an error and never returned as the answer.
func (u *Upstream) Call(ctx context.Context, address string, req port.CallRequest) (port.CallResponse, error) {
	resp, err := u.post(ctx, address, "/v1/call", req)
	if err != nil {
		return port.CallResponse{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, failure := parseRefusal(resp)
		return port.CallResponse{}, failure
	}
	answer, err := u.readCallResponse(resp.Body)
	if err != nil {
		return port.CallResponse{}, lostError("%v", err)
	}
	if answer.RequestID != req.RequestID {
		return port.CallResponse{}, lostError("the answer belongs to another request")
	}
	return answer, nil
}

// readCallResponse reads and decodes the response to a call.
func (u *Upstream) readCallResponse(body io.Reader) (port.CallResponse, error) {
	in, err := u.callResponses.ReadAll(body, limitResponse, maxCallResponseBytes)
	defer in.Release()
	if err != nil {
		return port.CallResponse{}, errors.Wrap(err, "reading the answer")
	}
	var data bytes.Buffer
	if _, err := in.WriteTo(&data); err != nil {
		return port.CallResponse{}, errors.Wrap(err, "copying the answer")
	}
	var answer port.CallResponse
	err = json.Unmarshal(data.Bytes(), &answer)
	return answer, errors.Wrap(err, "the answer can't be decoded")
}

// response is the response to a request that is not a GET.
type response struct {
	*http.Response
	// attributed is whether the response is proved to answer the request: it names the
	// request, or no other one was sent on the connection.
	attributed bool
}

// post sends a request with a JSON body at most once. A response that names another
// request is an error.
func (u *Upstream) post(ctx context.Context, address, path string, body any) (*response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, verdict.Refuse(verdict.ReasonBadRequest, "encoding the request: %v", err)
	}
	var trace connTrace
	req, err := postRequest(trace.attach(ctx), "http://"+address+path, bytes.NewReader(data), len(data))
	if err != nil {
		return nil, verdict.Refuse(verdict.ReasonConnect, "%v", err)
	}
	attempt := uuid.NewString()
	req.Header.Set(port.HeaderAttempt, attempt)
	resp, err := u.client.Do(req)
	if err != nil {
		return nil, sendError(&trace, err)
	}
	named := resp.Header.Get(port.HeaderAttempt)
	if named != "" && named != attempt {
		resp.Body.Close()
		return nil, lostError("status %d to another request", resp.StatusCode)
	}
	return &response{Response: resp, attributed: named != "" || !trace.reused.Load()}, nil
}

// get decodes the response to a GET request. Its error is a *verdict.Error.
func (u *Upstream) get(ctx context.Context, address, path string, limit int64, into any) error {
	var trace connTrace
	err := getJSON(trace.attach(ctx), u.client, "http://"+address+path, limit, into)
	if err != nil {
		return sendError(&trace, err)
	}
	return nil
}

// sendError returns the error, with its verdict, of a request that failed with
// err before there was a usable response.
func sendError(trace *connTrace, err error) *verdict.Error {
	var withheld *withheldError
	if errors.As(err, &withheld) {
		return withheld.reason
	}
	if trace.neverConnected(err) {
		return verdict.Refuse(verdict.ReasonConnect, "%v", err)
	}
	return lostError("%v", err)
}

// lostError returns the error of a request that may have run, but whose outcome
// is unknown.
func lostError(format string, args ...any) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.ReasonUpstreamLost, format, args...)
}

// parseRefusal returns the refusal in a response that is not a success, and the
// error of the request. Only a port.Refusal with NotRun set, in an attributed response
// whose status allows a refusal, proves that the request did not run.
func parseRefusal(resp *response) (port.Refusal, *verdict.Error) {
	data, err := readAll(resp.Body, maxSmallResponseBytes)
	if err != nil {
		return port.Refusal{}, lostError("status %d: %v", resp.StatusCode, err)
	}
	var refusal port.Refusal
	if json.Unmarshal(data, &refusal) != nil || !refusal.NotRun || !statusAllowsRefusal(resp.StatusCode) {
		return port.Refusal{}, lostError("status %d without a refusal", resp.StatusCode)
	}
	if !resp.attributed {
		return port.Refusal{}, lostError("status %d with a refusal that may be that of an earlier request", resp.StatusCode)
	}
	said := readSaid(resp.Response)
	return refusal, verdict.Refuse(refusalReason(resp.StatusCode, said), "upstream refused: %s%s", refusal.Reason, describePause(said))
}

// refusalReason returns the reason for the refusal of a request. What the upstream says
// of itself takes precedence over the status.
func refusalReason(status int, said Said) verdict.Reason {
	switch {
	case said.Pause > 0:
		return verdict.ReasonUpstreamPaused
	case said.Leaving:
		return verdict.ReasonUpstreamLeaving
	case status == http.StatusTooManyRequests:
		return verdict.ReasonUpstreamBusy
	}
	return verdict.ReasonUpstreamRefused
}

// describePause returns the part of a refusal's detail that names the pause that the
// upstream asks for; empty if it asks for none.
func describePause(said Said) string {
	if said.Pause == 0 {
		return ""
	}
	return fmt.Sprintf(", and wants no requests for %s", said.Pause)
}

// statusAllowsRefusal reports whether a response with this status may have a
// port.Refusal as its body.
func statusAllowsRefusal(status int) bool {
	switch status {
	case http.StatusConflict, http.StatusUnprocessableEntity,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// isEventStream reports whether a response is a stream of server-sent events.
func isEventStream(resp *response) bool {
	mediaType, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}
