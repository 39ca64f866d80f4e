package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/tamarackcleat/tamarackcleat/api"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// statusByReason maps the reasons of failures to HTTP statuses; reasons that are
// not in it map to 503.
var statusByReason = map[verdict.Reason]int{
	verdict.ReasonBadRequest:       http.StatusBadRequest,
	verdict.ReasonTooLarge:         http.StatusRequestEntityTooLarge,
	verdict.ReasonSlowBody:         http.StatusRequestTimeout,
	verdict.ReasonUnknownClass:     http.StatusNotFound,
	verdict.ReasonUnknownRequest:   http.StatusNotFound,
	verdict.ReasonDeadline:         http.StatusTooManyRequests,
	verdict.ReasonQueueFull:        http.StatusTooManyRequests,
	verdict.ReasonTeamLimit:        http.StatusTooManyRequests,
	verdict.ReasonQuarantined:      http.StatusUnprocessableEntity,
	verdict.ReasonKeyMissing:       http.StatusBadRequest,
	verdict.ReasonKeyInvalid:       http.StatusBadRequest,
	verdict.ReasonKeyOutsideWindow: http.StatusUnprocessableEntity,
	verdict.ReasonKeyReused:        http.StatusUnprocessableEntity,
	verdict.ReasonInDoubt:          http.StatusConflict,
	verdict.ReasonInProgress:       http.StatusConflict,
	verdict.ReasonConflict:         http.StatusConflict,
	verdict.ReasonInvalidConfig:    http.StatusUnprocessableEntity,
	verdict.ReasonInternal:         http.StatusInternalServerError,
	verdict.ReasonUpstreamLost:     http.StatusBadGateway,
	verdict.ReasonStalled:          http.StatusGatewayTimeout,
}

// statusIfSent maps the reasons of failures that have another HTTP status if the request was
// sent to an upstream: 429 and 503 tell callers that it has not run.
var statusIfSent = map[verdict.Reason]int{
	verdict.ReasonDeadline:  http.StatusGatewayTimeout,
	verdict.ReasonBadAnswer: http.StatusBadGateway,
}

// httpStatus returns the HTTP status of a failure.
func httpStatus(e *verdict.Error) int {
	if code, ok := statusIfSent[e.Reason]; ok && e.Verdict != verdict.NotRun {
		return code
	}
	if code, ok := statusByReason[e.Reason]; ok {
		return code
	}
	return http.StatusServiceUnavailable
}

// errorBody returns the JSON body that describes a failure.
func errorBody(requestID string, e *verdict.Error) api.ErrorBody {
	return api.ErrorBody{Error: api.ErrorDetail{
		Message:   e.Detail,
		Type:      string(e.Reason),
		Code:      httpStatus(e),
		RequestID: requestID,
		Verdict:   e.Verdict,
		Reason:    e.Reason,
	}}
}

// writeFailure responds to a request with a failure and, if the failure advises
// one, a Retry-After header in whole seconds.
func writeFailure(w http.ResponseWriter, requestID string, e *verdict.Error) {
	if e.RetryAfter > 0 {
		seconds := int(math.Ceil(e.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	writeJSON(w, httpStatus(e), errorBody(requestID, e))
}

// writeJSON responds with a JSON body. Write errors are ignored.
func writeJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}
