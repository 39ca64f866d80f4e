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

// groupClient reaches the weight store and other members.
var groupClient = porthttp.NewHTTPClient()

// reserveWeights asks the weight store how long the transfer of a model takes.
func reserveWeights(ctx context.Context, store, model string) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	target := strings.TrimRight(store, "/") + "/v1/weights/" + url.PathEscape(model)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return 0, errors.Wrap(err, "building the request")
	}
	resp, err := groupClient.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "asking the weight store")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, errors.Newf("weight store answers %d", resp.StatusCode)
	}
	var reservation weightstore.Reservation
	if err := json.NewDecoder(resp.Body).Decode(&reservation); err != nil {
		return 0, errors.Wrap(err, "decoding the reservation")
	}
	return time.Duration(reservation.WaitMillis) * time.Millisecond, nil
}
