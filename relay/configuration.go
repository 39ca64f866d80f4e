package relay

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/bounded"
)

const (
	// ConfigurationPath is the HTTP path at which a node serves the record of the
	// configuration that it has in force, for peers whose log has lost it.
	ConfigurationPath = "/v1/peers/configuration"
	// configurationTimeout bounds a fetch of a configuration, which may have megabytes.
	configurationTimeout = 2 * time.Second
	// limitConfiguration names the limit of a response, which has maxResponseBytes.
	limitConfiguration = "peer_configuration"
)

// serveConfiguration answers with the record that current returns, or with 404 if it is empty.
func (h *server) serveConfiguration(current func() []byte) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		value := current()
		if len(value) == 0 {
			http.Error(w, "no configuration is in force", http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A write error is ignored: the peer has closed the connection and asks again.
		_ = json.NewEncoder(w).Encode(encodeRecord("", value, h.values.compress))
	}
}

// ConfigurationClient fetches configurations from peers. It is safe for concurrent use.
type ConfigurationClient struct{ client *http.Client }

// NewConfigurationClient returns a ConfigurationClient.
func NewConfigurationClient() *ConfigurationClient {
	return &ConfigurationClient{newClient(configurationTimeout)}
}

// Fetch returns the record of the configuration that a peer has in force.
func (c *ConfigurationClient) Fetch(ctx context.Context, peer Peer) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer.Address.String()+ConfigurationPath, nil)
	if err != nil {
		return nil, errors.Wrap(err, "asking a peer for its configuration")
	}
	data, err := do(c.client, req, limitConfiguration)
	if err != nil {
		return nil, errors.Wrap(err, "asking a peer for its configuration")
	}
	return decodeConfiguration(data)
}

// decodeConfiguration returns the value of the record in a response.
func decodeConfiguration(data []byte) ([]byte, error) {
	var r record
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, errors.Wrap(err, "decoding the peer's configuration")
	}
	return r.value(maxValueBytes)
}

// do sends a request and returns the body of the response, whose limit of maxResponseBytes has
// a name. It fails for any status but 200.
func do(client *http.Client, req *http.Request, limit string) ([]byte, error) {
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := bounded.ReadAll(resp.Body, limit, maxResponseBytes)
	if err != nil {
		return nil, errors.Wrap(err, "reading the peer's response")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("the peer responded with HTTP status %d", resp.StatusCode)
	}
	return data, nil
}
