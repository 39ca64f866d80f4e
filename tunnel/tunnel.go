// Package tunnel carries one connection of a node to an upstream through another node, for
// a node that can't reach upstreams itself.
//
// The serving node decides for each tunnel whether it may be opened, and understands nothing
// of what passes. The package guarantees that the end of either side ends the other one at
// once, and that only the regular end of the upstream's connection looks like one: if the
// upstream's connection or the serving process breaks, the tunnel is reset, so that an answer
// which ends with its connection never looks whole when it was cut off.
package tunnel

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/bounded"
	"github.com/tamarackcleat/tamarackcleat/fleet"
)

// Path is the HTTP path at which a node serves tunnels.
const Path = "/v1/peers/tunnel"

// protocol is the protocol that a tunnel's connection is upgraded to.
const protocol = "tamarackcleat-tunnel"

// Reason is why a node does not serve a tunnel.
type Reason string

// Reasons of refusals.
const (
	// Malformed: the request can't be understood.
	Malformed Reason = "malformed"
	// Unreachable: the node can't reach upstreams itself.
	Unreachable Reason = "unreachable"
	// Stopping: the node is shutting down.
	Stopping Reason = "stopping"
	// Full: the node serves as many tunnels as it may.
	Full Reason = "full"
	// Stale: the node can't prove that its configuration is current.
	Stale Reason = "stale"
	// Gone: the node knows no such upstream.
	Gone Reason = "gone"
	// Leaving: the upstream is shutting down.
	Leaving Reason = "leaving"
	// Paused: the upstream wants no requests from the node now.
	Paused Reason = "paused"
	// Evacuated: the zone of the upstream is evacuated.
	Evacuated Reason = "evacuated"
	// NotConnected: the upstream accepted no connection.
	NotConnected Reason = "not_connected"
)

// Refusal is the error of a tunnel that the serving node refused to open. No byte has
// reached the upstream.
type Refusal struct {
	Reason Reason `json:"reason"`
	// PauseMs is for how long the upstream wants no requests from the serving node, in
	// milliseconds.
	PauseMs int64 `json:"pause_ms,omitempty"`
	// PortClosed says, with NotConnected, that no process listens at the upstream's port.
	PortClosed bool   `json:"port_closed,omitempty"`
	Detail     string `json:"detail,omitempty"`
}

func (r *Refusal) Error() string {
	return "the tunnel was refused: " + string(r.Reason) + " " + r.Detail
}

// Request asks for a tunnel to an upstream.
type Request struct {
	Upstream fleet.Incarnation
	Address  string
	// Lifetime is how long the tunnel may be open.
	Lifetime time.Duration
}

// Names of the parameters in the query of a request.
const (
	paramUpstream = "upstream"
	paramBoot     = "boot"
	paramAddress  = "address"
	paramLifetime = "lifetime_ms"
)

func (q *Request) encode() string {
	return url.Values{
		paramUpstream: {q.Upstream.ID}, paramBoot: {strconv.FormatInt(q.Upstream.Boot, 10)},
		paramAddress: {q.Address}, paramLifetime: {strconv.FormatInt(q.Lifetime.Milliseconds(), 10)},
	}.Encode()
}

func decodeRequest(v url.Values) (Request, error) {
	boot, bootErr := strconv.ParseInt(v.Get(paramBoot), 10, 64)
	lifetime, lifetimeErr := strconv.ParseInt(v.Get(paramLifetime), 10, 64)
	q := Request{
		Upstream: fleet.Incarnation{ID: v.Get(paramUpstream), Boot: boot},
		Address:  v.Get(paramAddress), Lifetime: min(maxLifetime, time.Duration(min(lifetime, maxLifetime.Milliseconds()))*time.Millisecond),
	}
	return q, errors.CombineErrors(bootErr, lifetimeErr)
}

// maxRefusalBytes bounds a peer's response that opens no tunnel, in bytes; limitRefusal names the
// limit.
const (
	maxRefusalBytes = 4 << 10
	limitRefusal    = "tunnel_refusal"
)

// Open opens a tunnel on a new connection to the serving node. The context bounds the
// opening. Open closes the connection if it fails.
func Open(ctx context.Context, conn net.Conn, q Request) (net.Conn, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	c, err := open(conn, q)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		// The tunnel is not used, so an error in closing it is irrelevant.
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

func open(conn net.Conn, q Request) (net.Conn, error) {
	head := "GET " + Path + "?" + q.encode() + " HTTP/1.1\r\nHost: " + conn.RemoteAddr().String() + "\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n\r\n"
	if _, err := io.WriteString(conn, head); err != nil {
		return nil, errors.Wrap(err, "asking for a tunnel")
	}
	source := bounded.NewReader(conn)
	source.SetLimit(limitRefusal, maxRefusalBytes)
	r := bufio.NewReader(source)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return nil, errors.Wrap(source.Cause(err), "asking for a tunnel")
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusSwitchingProtocols {
		source.RemoveLimit()
		return &buffered{Conn: conn, r: r}, nil
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errors.Wrapf(source.Cause(err), "reading the refusal of a tunnel, status %d", resp.StatusCode)
	}
	refusal := &Refusal{}
	if err := json.Unmarshal(body, refusal); err != nil {
		return nil, errors.Wrapf(err, "decoding the refusal of a tunnel, status %d", resp.StatusCode)
	}
	return nil, refusal
}

// buffered is a connection of which a part was read into a buffer.
type buffered struct {
	net.Conn
	r *bufio.Reader
}

// Read implements net.Conn.
func (b *buffered) Read(p []byte) (int, error) { return b.r.Read(p) }
