package porthttp

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/port"
)

// maxListBytes limits the size of a VM list or a model list.
const maxListBytes = 64 << 20

// Inventory is a client of the VM list and of the weight store's list of models.
// It sends the entity tag of the latest response with each request, so that an
// unchanged list is not transferred again. Its methods are safe for concurrent
// use.
type Inventory struct {
	// Logger logs what is wrong with the lists. NewInventory sets one that discards it.
	Logger *slog.Logger

	client *http.Client
	vms    *cachedList[vmList]
	models *cachedList[port.ModelList]
}

// NewInventory returns a client of the VM list and the weight store at their
// base URLs. A nil client means NewHTTPClient.
func NewInventory(vmListURL, weightStoreURL string, client *http.Client) *Inventory {
	return &Inventory{
		Logger: slog.New(slog.DiscardHandler),
		client: withoutRedirects(client),
		vms:    &cachedList[vmList]{url: strings.TrimRight(vmListURL, "/") + "/v1/vms", decode: decodeVMList},
		models: &cachedList[port.ModelList]{url: strings.TrimRight(weightStoreURL, "/") + "/v1/models", decode: decodeJSON[port.ModelList]},
	}
}

// VMs returns the platform's list of VMs, those that are leaving included. The
// list lags behind the real state of the VMs. Entries that name no VM are logged and
// left out.
func (i *Inventory) VMs(ctx context.Context) ([]port.VM, error) {
	list, changed, err := i.vms.get(ctx, i.client)
	if changed && list.rejected > 0 {
		i.Logger.Warn(decisions.UpstreamUnreadable, "entries", list.rejected, "of", list.rejected+len(list.vms), "error", list.firstProblem)
	}
	return list.vms, errors.Wrap(err, "reading the VM list")
}

// Models returns the models whose weights the weight store can serve.
func (i *Inventory) Models(ctx context.Context) (port.ModelList, error) {
	list, _, err := i.models.get(ctx, i.client)
	return list, errors.Wrap(err, "reading the models")
}

// cachedList holds the latest response to a GET request and its entity tag.
type cachedList[T any] struct {
	url    string
	decode func([]byte) (T, error)

	mu    sync.Mutex
	etag  string
	value T
}

// get fetches the list if it has changed, and returns the current one and whether it was
// fetched. With an error it returns the zero value.
func (c *cachedList[T]) get(ctx context.Context, client *http.Client) (list T, changed bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	data, etag, changed, err := getIfChanged(ctx, client, c.url, c.etag, maxListBytes)
	if err != nil {
		return list, false, err
	}
	if changed {
		fresh, err := c.decode(data)
		if err != nil {
			return list, false, err
		}
		c.etag, c.value = etag, fresh
	}
	return c.value, changed, nil
}

// getJSON decodes the response to a GET request. The client may repeat such a
// request, because it has no effect on the server.
func getJSON(ctx context.Context, client *http.Client, url string, limit int64, into any) error {
	data, _, _, err := getIfChanged(ctx, client, url, "", limit)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(data, into), "decoding the answer")
}

// decodeJSON decodes a response.
func decodeJSON[T any](data []byte) (T, error) {
	var out T
	err := json.Unmarshal(data, &out)
	return out, errors.Wrap(err, "decoding the answer")
}

// getIfChanged returns the response to a GET request, unless its entity tag is
// still the given one. It returns the entity tag of the response, which may be
// empty.
func getIfChanged(ctx context.Context, client *http.Client, url, etag string, limit int64) (data []byte, newETag string, changed bool, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, "", false, errors.Wrap(err, "building the request")
	}
	req.Header.Set("User-Agent", "")
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, "", false, errors.Wrap(err, "GET")
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified && etag != "" {
		return nil, etag, false, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, "", false, errors.Newf("status %d", resp.StatusCode)
	}
	if data, err = readAll(resp.Body, limit); err != nil {
		return nil, "", false, err
	}
	return data, resp.Header.Get("ETag"), true, nil
}
