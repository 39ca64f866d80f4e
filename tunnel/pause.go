package tunnel

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/wirecheck"
)

// PausePath is the HTTP path at which the user of a tunnel tells the serving node that the
// upstream wants no requests for a while: the upstream has said so to that node, which does
// not read what passes.
const PausePath = "/v1/peers/tunnel/pause"

// paramPause names the parameter of a pause in milliseconds.
const paramPause = "pause_ms"

// pauseClient sends what TellPause sends. Pauses are rare, so it keeps no connections.
var pauseClient = &http.Client{Transport: &http.Transport{
	DialContext: wirecheck.Dial((&net.Dialer{}).DialContext), DisableKeepAlives: true, MaxResponseHeaderBytes: maxRefusalBytes,
}}

// TellPause tells the serving node at host:port of a pause.
func TellPause(ctx context.Context, address string, upstream fleet.Incarnation, pause time.Duration) error {
	query := url.Values{
		paramUpstream: {upstream.ID}, paramBoot: {strconv.FormatInt(upstream.Boot, 10)}, paramPause: {strconv.FormatInt(pause.Milliseconds(), 10)},
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+PausePath+"?"+query.Encode(), nil)
	if err != nil {
		return err
	}
	resp, err := pauseClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return errors.Newf("status %d", resp.StatusCode)
	}
	return nil
}

// PauseHandler returns the handler of what TellPause sends.
func PauseHandler(paused func(fleet.Incarnation, time.Duration)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		boot, bootErr := strconv.ParseInt(query.Get(paramBoot), 10, 64)
		pause, pauseErr := strconv.ParseInt(query.Get(paramPause), 10, 64)
		if err := errors.CombineErrors(bootErr, pauseErr); err != nil || pause <= 0 {
			http.Error(w, "decoding the pause", http.StatusBadRequest)
			return
		}
		paused(fleet.Incarnation{ID: query.Get(paramUpstream), Boot: boot}, time.Duration(min(pause, maxPause.Milliseconds()))*time.Millisecond)
		w.WriteHeader(http.StatusNoContent)
	})
}

// maxPause bounds a pause that a peer tells of, as package notice bounds those that upstreams
// ask for.
const maxPause = time.Hour
