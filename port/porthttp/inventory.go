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

// maxInventoryBytes bounds a VM list or a model list.
const maxInventoryBytes = 64 << 20

// Inventory reads the VM list and the weight store's models. It asks with the
// entity tag of the latest answer, so that an unchanged list is not sent again.
// Its methods are safe for concurrent use.
type Inventory struct {
	client *http.Client
	vms    *cached[port.VMList]
	models *cached[port.ModelList]
}

// NewInventory returns a client of the VM list and the weight store at their
// base URLs. A nil client means NewHTTPClient.
func NewInventory(vmListURL, weightStoreURL string, client *http.Client) *Inventory {
	return &Inventory{
		client: withoutRedirects(client),
		vms:    &cached[port.VMList]{url: strings.TrimRight(vmListURL, "/") + "/v1/vms"},
		models: &cached[port.ModelList]{url: strings.TrimRight(weightStoreURL, "/") + "/v1/models"},
	}
}

// VMs returns the platform's lagging list of live and leaving VMs.
func (i *Inventory) VMs(ctx context.Context) ([]port.VM, error) {
	list, err := i.vms.get(ctx, i.client)
	return list.VMs, errors.Wrap(err, "reading the VM list")
}

// Models returns the models that the weight store can serve.
func (i *Inventory) Models(ctx context.Context) (port.ModelList, error) {
	list, err := i.models.get(ctx, i.client)
	return list, errors.Wrap(err, "reading the models")
}

// cached is the latest answer of a GET with its entity tag.
type cached[T any] struct {
	url string

	mu    sync.Mutex
	tag   string
	value T
}

// get returns the current answer; the zero value with an error.
func (c *cached[T]) get(ctx context.Context, client *http.Client) (T, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var fresh T
	tag, changed, err := getIfChanged(ctx, client, c.url, c.tag, maxInventoryBytes, &fresh)
	if err != nil {
		var none T
		return none, err
	}
	if changed {
		c.tag, c.value = tag, fresh
	}
	return c.value, nil
}

// getJSON decodes the answer of a GET, which may be repeated at will.
func getJSON(ctx context.Context, client *http.Client, url string, limit int64, into any) error {
	_, _, err := getIfChanged(ctx, client, url, "", limit, into)
	return err
}

// getIfChanged decodes the answer of a GET unless it still has an entity tag.
// It returns the answer's tag, which may be empty.
func getIfChanged(ctx context.Context, client *http.Client, url, tag string, limit int64, into any) (newTag string, changed bool, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", false, errors.Wrap(err, "building the request")
	}
	req.Header.Set("User-Agent", "")
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	resp, err := client.Do(req)
	if err != nil {
		return "", false, errors.Wrap(err, "GET")
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified && tag != "" {
		return tag, false, nil
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
