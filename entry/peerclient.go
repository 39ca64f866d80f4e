package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/api"
	"github.com/tamarackcleat/tamarackcleat/logfollow"
	"github.com/tamarackcleat/tamarackcleat/peers"
)

// maxPeerBytes bounds a peer's answer.
const maxPeerBytes = 64 << 20

// peerClient talks to the other entry VMs.
type peerClient struct {
	client *http.Client
}

func (c *peerClient) heartbeat(ctx context.Context, address string, h peers.Heartbeat) (peers.Heartbeat, error) {
	var answer peers.Heartbeat
	body, err := json.Marshal(h)
	if err != nil {
		return answer, errors.Wrap(err, "encoding a heartbeat")
	}
	err = c.do(ctx, http.MethodPost, address, api.PathHeartbeat, body, &answer)
	return answer, err
}

func (c *peerClient) snapshots(ctx context.Context, address string) ([]logfollow.Snapshot, error) {
	var out []logfollow.Snapshot
	err := c.do(ctx, http.MethodGet, address, api.PathSnapshot, nil, &out)
	return out, err
}

// explain asks a peer about a request that it served.
func (c *peerClient) explain(ctx context.Context, address, requestID string) (api.Explanation, error) {
	var out api.Explanation
	err := c.do(ctx, http.MethodGet, address, api.PathRequests+requestID+"?"+localOnly+"=1", nil, &out)
	return out, err
}

// do exchanges JSON with a peer.
func (c *peerClient) do(ctx context.Context, method, address, path string, body []byte, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "peer request")
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "peer request")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxPeerBytes))
	if err != nil {
		return errors.Wrap(err, "peer answer")
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("peer answered status %d", resp.StatusCode)
	}
	return errors.Wrap(json.Unmarshal(data, into), "peer answer")
}
