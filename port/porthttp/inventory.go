package porthttp

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/port"
)

// maxListBytes limits the size of a VM list or a model list.
const maxListBytes = 64 << 20

// Inventory is a client of the VM list and of the weight store's list of models.
// It sends the entity tag of the latest response with each request, so that an
// unchanged list is not transferred again. Its methods are safe for concurrent
// use.
type Inventory struct {
	client *http.Client
	vms    *cachedList[port.VMList]
	models *cachedList[port.ModelList]
}

// NewInventory returns a client of the VM list and the weight store at their
// base URLs. A nil client means NewHTTPClient.
func NewInventory(vmListURL, weightStoreURL string, client *http.Client) *Inventory {
	return &Inventory{
		client: withoutRedirects(client),
		vms:    &cachedList[port.VMList]{url: strings.TrimRight(vmListURL, "/") + "/v1/vms"},
		models: &cachedList[port.ModelList]{url: strings.TrimRight(weightStoreURL, "/") + "/v1/models"},
	}
}

// VMs returns the platform's list of VMs, those that are leaving included. The
// list lags behind the real state of the VMs.
func (i *Inventory) VMs(ctx context.Context) ([]port.VM, error) {
	list, err := i.vms.get(ctx, i.client)
	return list.VMs, errors.Wrap(err, "reading the VM list")
}

// Models returns the models whose weights the weight store can serve.
func (i *Inventory) Models(ctx context.Context) (port.ModelList, error) {
	list, err := i.models.get(ctx, i.client)
	return list, errors.Wrap(err, "reading the models")
}

// cachedList holds the latest response to a GET request and its entity tag.
type cachedList[T any] struct {
	url string

	mu    sync.Mutex
	etag  string
	value T
}

// get fetches the list if it has changed and returns the current one. With an
// error it returns the zero value.
func (c *cachedList[T]) get(ctx context.Context, client *http.Client) (T, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var fresh T
	etag, changed, err := getIfChanged(ctx, client, c.url, c.etag, maxListBytes, &fresh)
	if err != nil {
		var none T
		return none, err
	}
	if changed {
		c.etag, c.value = etag, fresh
	}
	return c.value, nil
}

// getJSON decodes the response to a GET request. The client may repeat such a
// request, because it has no effect on the server.
func getJSON(ctx context.Context, client *http.Client, url string, limit int64, into any) error {
	_, _, err := getIfChanged(ctx, client, url, "", limit, into)
	return err
}

// getIfChanged decodes the response to a GET request, unless its entity tag is
// still the given one. It returns the entity tag of the response, which may be
// empty.
func getIfChanged(ctx context.Context, client *http.Client, url, etag string, limit int64, into any) (newETag string, changed bool, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", false, errors.Wrap(err, "building the request")
	}
	req.Header.Set("User-Agent", "")
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := client.Do(req)
	if err != nil {
		return "", false, errors.Wrap(err, "GET")
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified && etag != "" {
		return etag, false, nil
	}
	if resp.StatusCode != http.StatusOK {
		return "", false, errors.Newf("status %d", resp.StatusCode)
	}
	data, err := readAll(resp.Body, limit)
	if err != nil {
		return "", false, err
	}
	return resp.Header.Get("ETag"), true, errors.Wrap(json.Unmarshal(data, into), "decoding the answer")
}
