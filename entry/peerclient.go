package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/api"
	"github.com/tamarackcleat/tamarackcleat/bounded"
	"github.com/tamarackcleat/tamarackcleat/logfollow"
	"github.com/tamarackcleat/tamarackcleat/peers"
)

// maxPeerBytes bounds the body of a peer's response; limitPeerResponse names the limit.
const (
	maxPeerBytes      = 64 << 20
	limitPeerResponse = "peer_response"
)

// peerClient sends requests to the other entry VMs.
type peerClient struct {
	client *http.Client
}

func (c *peerClient) heartbeat(ctx context.Context, address string, h peers.Heartbeat) (peers.Heartbeat, error) {
	var answer peers.Heartbeat
	body, err := json.Marshal(h)
	if err != nil {
		return answer, errors.Wrap(err, "encoding a heartbeat")
	}
	err = c.exchange(ctx, http.MethodPost, address, api.PathHeartbeat, body, &answer)
	return answer, err
}

func (c *peerClient) snapshots(ctx context.Context, address string) ([]logfollow.Snapshot, error) {
	var out []logfollow.Snapshot
	err := c.exchange(ctx, http.MethodGet, address, api.PathSnapshot, nil, &out)
	return out, err
}

// explain asks a peer to explain a request that the peer served.
func (c *peerClient) explain(ctx context.Context, address, requestID string) (api.RequestTrace, error) {
	var out api.RequestTrace
	err := c.exchange(ctx, http.MethodGet, address, api.PathRequests+requestID+"?"+localOnlyParam+"=1", nil, &out)
	return out, err
}

// exchange sends a JSON body, if there is one, to a peer and decodes the peer's
// JSON response into the value that into points to.
func (c *peerClient) exchange(ctx context.Context, method, address, path string, body []byte, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "creating a request to a peer")
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "sending a request to a peer")
	}
	defer resp.Body.Close()
	data, err := bounded.ReadAll(resp.Body, limitPeerResponse, maxPeerBytes)
	if err != nil {
		return errors.Wrap(err, "reading a peer's response")
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("peer responded with status %d", resp.StatusCode)
	}
	return errors.Wrap(json.Unmarshal(data, into), "decoding a peer's response")
}
