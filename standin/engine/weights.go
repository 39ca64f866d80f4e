package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/port/porthttp"
	"github.com/tamarackcleat/tamarackcleat/standin/weightstore"
)

// reserveTimeout bounds one request to the weight store.
const reserveTimeout = 5 * time.Second

// httpClient sends the engine's requests to the weight store and to rank 0 of
// its replica.
var httpClient = porthttp.NewHTTPClient()

// reserveWeights reserves the transfer of a model's weights at the weight store
// and returns how long the transfer takes, including the wait for transfers that
// were reserved before.
func reserveWeights(ctx context.Context, store, model string) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	target := strings.TrimRight(store, "/") + "/v1/weights/" + url.PathEscape(model)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return 0, errors.Wrap(err, "building the request")
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "sending a request to the weight store")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, errors.Newf("weight store answered with status %d", resp.StatusCode)
	}
	var reservation weightstore.Reservation
	if err := json.NewDecoder(resp.Body).Decode(&reservation); err != nil {
		return 0, errors.Wrap(err, "decoding the reservation")
	}
	return time.Duration(reservation.WaitMillis) * time.Millisecond, nil
}
