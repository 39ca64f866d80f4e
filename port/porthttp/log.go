package porthttp

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/port"
)

// Limits of the log client.
const (
	// maxEntriesPerRead is the largest number of entries that one read requests.
	maxEntriesPerRead = 64
	// maxReadResponseBytes limits the size of the response to a read.
	maxReadResponseBytes = 80 << 20
	// maxSmallResponseBytes limits the size of small responses, such as that to
	// an append or a refusal.
	maxSmallResponseBytes = 64 << 10
	// longPollMargin is the part of the time until its deadline that a read
	// leaves for the transfer of the response.
	longPollMargin = 200 * time.Millisecond
	// readTimeout ends a read to which the log service doesn't respond.
	readTimeout = 20 * time.Second
)

// Log implements port.Log over HTTP.
type Log struct {
	base   string
	client *http.Client
}

// NewLog returns a client of the log service at the base URL. If client is nil,
// the client of NewHTTPClient is used.
func NewLog(base string, client *http.Client) *Log {
	return &Log{base: strings.TrimRight(base, "/"), client: withoutRedirects(client)}
}

var _ port.Log = (*Log)(nil)

// entriesURL returns the URL of a stream's entries.
func (l *Log) entriesURL(stream string) string {
	return l.base + "/v1/streams/" + url.PathEscape(stream) + "/entries"
}

// Append implements port.Log.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (port.AppendResult, error) {
	var trace connTrace
	req, err := postRequest(trace.attach(ctx), l.entriesURL(stream), bytes.NewReader(data), len(data))
	if err != nil {
		return port.AppendResult{}, errors.Wrapf(port.ErrNotAppended, "%v", err)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		if trace.neverConnected(err) {
			return port.AppendResult{}, errors.Wrapf(port.ErrNotAppended, "%v", err)
		}
		return port.AppendResult{}, errors.Wrap(err, "append with unknown outcome")
	}
	defer resp.Body.Close()
	return parseAppendResponse(resp)
}

// appendRefusal is the body of a response by which the log states whether it
// appended the entry.
type appendRefusal struct {
	Appended *bool `json:"appended"`
}

// parseAppendResponse returns the result of an append, or its error by the rules
// of port.Log.
func parseAppendResponse(resp *http.Response) (port.AppendResult, error) {
	if resp.StatusCode == http.StatusTooManyRequests {
		return port.AppendResult{}, errors.Wrap(port.ErrRateLimited, "append")
	}
	data, err := readAll(resp.Body, maxSmallResponseBytes)
	if err != nil {
		return port.AppendResult{}, errors.Wrap(err, "append with unknown outcome")
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		var body appendRefusal
		if json.Unmarshal(data, &body) == nil && body.Appended != nil && !*body.Appended {
			return port.AppendResult{}, errors.Wrap(port.ErrNotAppended, "refused by the log")
		}
	}
	if resp.StatusCode != http.StatusOK {
		return port.AppendResult{}, errors.Newf("append with unknown outcome: status %d", resp.StatusCode)
	}
	return decodeAppendResult(data)
}

// decodeAppendResult decodes the response to a successful append. A response
// without a valid offset leaves unknown whether the entry was appended.
func decodeAppendResult(data []byte) (port.AppendResult, error) {
	var body struct {
		Offset *int64 `json:"offset"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return port.AppendResult{}, errors.Wrap(err, "append with unknown outcome")
	}
	if body.Offset == nil || *body.Offset < 0 {
		return port.AppendResult{}, errors.New("append with unknown outcome: no offset in the answer")
	}
	return port.AppendResult{Offset: *body.Offset}, nil
}

// Read implements port.Log.
func (l *Log) Read(ctx context.Context, stream string, from int64, wait time.Duration) (port.ReadResult, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	query := url.Values{}
	query.Set("from", strconv.FormatInt(from, 10))
	query.Set("max", strconv.Itoa(maxEntriesPerRead))
	query.Set("wait_ms", strconv.FormatInt(limitWait(ctx, wait).Milliseconds(), 10))
	var result port.ReadResult
	if err := getJSON(ctx, l.client, l.entriesURL(stream)+"?"+query.Encode(), maxReadResponseBytes, &result); err != nil {
		return port.ReadResult{}, errors.Wrapf(err, "reading stream %s", stream)
	}
	if err := validateRead(result, from); err != nil {
		return port.ReadResult{}, errors.Wrapf(err, "reading stream %s", stream)
	}
	return result, nil
}

// limitWait shortens wait, so that the response arrives before the deadline of
// ctx.
func limitWait(ctx context.Context, wait time.Duration) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return wait
	}
	return max(0, min(wait, time.Until(deadline)-longPollMargin))
}

// validateRead returns an error unless the entries of a response are consecutive,
// start at the offset from and lie within the response's First and Next.
func validateRead(r port.ReadResult, from int64) error {
	if r.FirstOffset < 0 || r.NextOffset < r.FirstOffset {
		return errors.Newf("inconsistent response: first offset %d, next offset %d", r.FirstOffset, r.NextOffset)
	}
	for i, e := range r.Entries {
		if e.Offset != from+int64(i) || e.Offset < r.FirstOffset || e.Offset >= r.NextOffset {
			return errors.Newf("entry %d of the response has unexpected offset %d", i, e.Offset)
		}
	}
	return nil
}
