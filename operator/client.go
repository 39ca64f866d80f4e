package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/tamarackcleat/tamarackcleat/api"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// maxAnswerBytes bounds what the client reads of one answer.
const maxAnswerBytes = 8 << 20

// client speaks the operators' interface of an entry VM.
type client struct {
	server  string
	timeout time.Duration
	http    *http.Client
}

// serverError is a refusal that an entry VM gave.
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

// errUnreachable marks a request that got no answer.
var errUnreachable = errors.New("the server can't be reached")

// errNotConnected marks an unreachable server that got no byte of the request.
var errNotConnected = errors.New("no connection was established")

// errGarbled marks an answer that is not understood.
var errGarbled = errors.New("the answer is not understood")

func (p *Program) client(cmd *cli.Command) *client {
	return &client{
		server:  strings.TrimRight(cmd.String(flagServer), "/"),
		timeout: cmd.Duration(flagTimeout),
		http:    p.HTTP,
	}
}

// config fetches the configuration and where it is in force.
func (c *client) config(ctx context.Context) (api.ConfigView, error) {
	return fetch[api.ConfigView](ctx, c, http.MethodGet, api.PathConfig, nil)
}

// publish sends a publication once.
func (c *client) publish(ctx context.Context, r api.PublishRequest) (api.ConfigView, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return api.ConfigView{}, errors.Wrap(err, "encoding the publication")
	}
	return fetch[api.ConfigView](ctx, c, http.MethodPost, api.PathConfig, body)
}

// status fetches the status of classes and nodes.
func (c *client) status(ctx context.Context) (api.Status, error) {
	return fetch[api.Status](ctx, c, http.MethodGet, api.PathStatus, nil)
}

// explain fetches the life of one request.
func (c *client) explain(ctx context.Context, id string) (api.Explanation, error) {
	return fetch[api.Explanation](ctx, c, http.MethodGet, api.PathRequests+url.PathEscape(id), nil)
}

// fetch performs one request and decodes its answer.
func fetch[T any](ctx context.Context, c *client, method, path string, body []byte) (T, error) {
	var answer T
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.server+path, bytes.NewReader(body))
	if err != nil {
		return answer, errors.Wrap(err, "building the request")
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer, unreachable(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return answer, errors.Mark(err, errUnreachable)
	}
	if resp.StatusCode != http.StatusOK {
		return answer, refusal(resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return answer, errors.Mark(errors.Wrapf(err, "%s %s", method, path), errGarbled)
	}
	return answer, nil
}

// unreachable marks a transport error.
func unreachable(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		err = errors.Mark(err, errNotConnected)
	}
	return errors.Mark(err, errUnreachable)
}

// refusal reads the body of a refusal; a body of another shape, such as a
// balancer's own page, leaves the reason empty.
func refusal(status int, data []byte) error {
	var body api.ErrorBody
	if err := json.Unmarshal(data, &body); err != nil {
		return &serverError{status: status}
	}
	return &serverError{status: status, detail: body.Error}
}

// failed turns the error of a request that changes nothing into a failure.
func (c *client) failed(err error) *Failure {
	var refused *serverError
	switch {
	case errors.As(err, &refused):
		return fail(ExitFailure, "%v", refused).advise("%s", adviceFor(refused.detail.Reason))
	case errors.Is(err, errUnreachable):
		return fail(ExitUnreachable, "%s can't be reached: %v", c.server, err).
			advise("check --server (or TAMARACKCLEAT_SERVER), or name another entry VM")
	}
	return fail(ExitFailure, "%v", err).advise("check that --server names an entry VM")
}

// adviceFor says what an operator does about a refused request.
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
