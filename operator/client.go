package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/tamarackcleat/tamarackcleat/api"
	"github.com/tamarackcleat/tamarackcleat/bounded"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// maxResponseBytes bounds the body of a response; limitResponse names the limit.
const (
	maxResponseBytes = 8 << 20
	limitResponse    = "response_body"
)

// client calls the HTTP interface that entry VMs offer to operators.
type client struct {
	server  string
	timeout time.Duration
	http    *http.Client
}

// serverError is a response with an error status. Its detail is empty if the
// body was not an api.ErrorBody.
type serverError struct {
	status int
	detail api.ErrorDetail
}

// Error implements the error interface.
func (e *serverError) Error() string {
	if e.detail.Reason == "" {
		return "the server answered " + http.StatusText(e.status)
	}
	return string(e.detail.Reason) + ": " + e.detail.Message
}

// errUnreachable marks the error of a request that got no complete response.
var errUnreachable = errors.New("the server can't be reached")

// errNotConnected marks the error of a request whose dial failed, so that the
// server received no byte of it.
var errNotConnected = errors.New("no connection was established")

// errInvalidResponse marks a response of status 200 whose body can't be decoded.
var errInvalidResponse = errors.New("the answer is not understood")

func (p *Program) client(cmd *cli.Command) *client {
	return &client{
		server:  strings.TrimRight(cmd.String(flagServer), "/"),
		timeout: cmd.Duration(flagTimeout),
		http:    p.HTTPClient,
	}
}

// config fetches the published configuration and the version in force on each
// live node.
func (c *client) config(ctx context.Context) (api.ConfigView, error) {
	return doJSON[api.ConfigView](ctx, c, http.MethodGet, api.PathConfig, nil)
}

// publish sends a publication once, without retries.
func (c *client) publish(ctx context.Context, r api.PublishRequest) (api.ConfigView, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return api.ConfigView{}, errors.Wrap(err, "encoding the publication")
	}
	return doJSON[api.ConfigView](ctx, c, http.MethodPost, api.PathConfig, body)
}

// status fetches the status of classes and nodes.
func (c *client) status(ctx context.Context) (api.Status, error) {
	return doJSON[api.Status](ctx, c, http.MethodGet, api.PathStatus, nil)
}

// explain fetches the recorded events of one request.
func (c *client) explain(ctx context.Context, id string) (api.RequestTrace, error) {
	return doJSON[api.RequestTrace](ctx, c, http.MethodGet, api.PathRequests+url.PathEscape(id), nil)
}

// doJSON sends one request and decodes the JSON body of its response. A body is
// sent as JSON; a nil body is not sent. A status other than 200 gives a
// *serverError.
func doJSON[T any](ctx context.Context, c *client, method, path string, body []byte) (T, error) {
	var result T
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.server+path, bytes.NewReader(body))
	if err != nil {
		return result, errors.Wrap(err, "building the request")
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return result, markUnreachable(err)
	}
	defer resp.Body.Close()
	data, err := bounded.ReadAll(resp.Body, limitResponse, maxResponseBytes)
	if err != nil {
		return result, errors.Mark(err, errUnreachable)
	}
	if resp.StatusCode != http.StatusOK {
		return result, parseRefusal(resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, &result); err != nil {
		return result, errors.Mark(errors.Wrapf(err, "%s %s", method, path), errInvalidResponse)
	}
	return result, nil
}

// markUnreachable marks a transport error with errUnreachable, and with
// errNotConnected if the dial failed.
func markUnreachable(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		err = errors.Mark(err, errNotConnected)
	}
	return errors.Mark(err, errUnreachable)
}

// parseRefusal decodes the body of an error response. A body of another format,
// such as the error page of a load balancer, leaves the detail empty.
func parseRefusal(status int, data []byte) error {
	var body api.ErrorBody
	if err := json.Unmarshal(data, &body); err != nil {
		return &serverError{status: status}
	}
	return &serverError{status: status, detail: body.Error}
}

// failure returns the Failure for the error of a request that changed nothing,
// with advice on what to do.
func (c *client) failure(err error) *Failure {
	var refused *serverError
	switch {
	case errors.As(err, &refused):
		return newFailure(ExitFailure, "%v", refused).withAdvice("%s", adviceFor(refused.detail.Reason))
	case errors.Is(err, errUnreachable):
		return newFailure(ExitUnreachable, "%s can't be reached: %v", c.server, err).
			withAdvice("check --server (or TAMARACKCLEAT_SERVER), or name another entry VM")
	}
	return newFailure(ExitFailure, "%v", err).withAdvice("check that --server names an entry VM")
}

// adviceFor returns what an operator can do about a request that was refused
// for reason.
func adviceFor(reason verdict.Reason) string {
	switch reason {
	case verdict.ReasonLogUnavailable:
		return "wait until the platform's log is back and repeat the command; what is in force stays in force"
	case verdict.ReasonNotCaughtUp, verdict.ReasonNoConfig:
		return "repeat the command in a few seconds, or name another entry VM with --server"
	case verdict.ReasonInvalidConfig:
		return "correct the document; nothing was published"
	}
	return "see the reason in docs/OPERATORS.md"
}
