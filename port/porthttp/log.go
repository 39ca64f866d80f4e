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

// Bounds of the log client.
const (
	// readEntries is the largest number of entries asked for in one read.
	readEntries = 64
	// maxReadBytes bounds the answer of one read.
	maxReadBytes = 80 << 20
	// maxSmallBytes bounds small answers, such as that of an append.
	maxSmallBytes = 64 << 10
	// longPollMargin is what a read leaves of its deadline for the answer.
	longPollMargin = 200 * time.Millisecond
	// readTimeout bounds a read that the service leaves hanging.
	readTimeout = 20 * time.Second
)

// Log is a port.Log over HTTP.
type Log struct {
	base   string
	client *http.Client
}

// NewLog returns a client of the log service at a base URL. A nil client means
// NewHTTPClient.
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
		return port.AppendResult{}, errors.Wrap(err, "append with unknown effect")
	}
	defer resp.Body.Close()
	return appendAnswer(resp)
}

// notAppended is the body of an answer that refuses an append before effect.
type notAppended struct {
	Appended *bool `json:"appended"`
}

// appendAnswer interprets the answer to an append.
func appendAnswer(resp *http.Response) (port.AppendResult, error) {
	if resp.StatusCode == http.StatusTooManyRequests {
		return port.AppendResult{}, errors.Wrap(port.ErrRateLimited, "append")
	}
	data, err := readAll(resp.Body, maxSmallBytes)
	if err != nil {
		return port.AppendResult{}, errors.Wrap(err, "append with unknown effect")
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		var body notAppended
		if json.Unmarshal(data, &body) == nil && body.Appended != nil && !*body.Appended {
			return port.AppendResult{}, errors.Wrap(port.ErrNotAppended, "refused by the log")
		}
	}
	if resp.StatusCode != http.StatusOK {
		return port.AppendResult{}, errors.Newf("append with unknown effect: status %d", resp.StatusCode)
	}
	return decodeAppendResult(data)
}

// decodeAppendResult parses the answer to a successful append.
func decodeAppendResult(data []byte) (port.AppendResult, error) {
	var body struct {
		Offset *int64 `json:"offset"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return port.AppendResult{}, errors.Wrap(err, "append with unknown effect")
	}
	if body.Offset == nil || *body.Offset < 0 {
		return port.AppendResult{}, errors.New("append with unknown effect: no offset in the answer")
	}
	return port.AppendResult{Offset: *body.Offset}, nil
}

// Read implements port.Log.
func (l *Log) Read(ctx context.Context, stream string, from int64, wait time.Duration) (port.ReadResult, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	query := url.Values{}
	query.Set("from", strconv.FormatInt(from, 10))
	query.Set("max", strconv.Itoa(readEntries))
	query.Set("wait_ms", strconv.FormatInt(readWait(ctx, wait).Milliseconds(), 10))
	var result port.ReadResult
	if err := getJSON(ctx, l.client, l.entriesURL(stream)+"?"+query.Encode(), maxReadBytes, &result); err != nil {
		return port.ReadResult{}, errors.Wrapf(err, "reading stream %s", stream)
	}
	if err := checkRead(result, from); err != nil {
		return port.ReadResult{}, errors.Wrapf(err, "reading stream %s", stream)
	}
	return result, nil
}

// readWait shortens a wait so that the answer arrives before the context ends.
func readWait(ctx context.Context, wait time.Duration) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return wait
	}
	return max(0, min(wait, time.Until(deadline)-longPollMargin))
}

// checkRead refuses an answer whose entries are not consecutive from the
// offset that was asked for.
func checkRead(r port.ReadResult, from int64) error {
	if r.First < 0 || r.Next < r.First {
		return errors.Newf("answer with first %d and next %d", r.First, r.Next)
	}
	for i, e := range r.Entries {
		if e.Offset != from+int64(i) || e.Offset < r.First || e.Offset >= r.Next {
			return errors.Newf("entry %d of the answer has offset %d", i, e.Offset)
		}
	}
	return nil
}
