package wirecheck

import (
	"context"
	"net"
	"sync/atomic"
)

// DialFunc opens a connection, as http.Transport.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function that opens connections with dial, whose responses are checked as
// a Reader does. The client must not send HEAD requests on them. What the other side sends
// is passed through if it is no HTTP/1, for example because the client uses TLS.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c, responses: NewReader(c)}, nil
	}
}

// conn is a connection whose responses are checked.
type conn struct {
	net.Conn
	responses *Reader
	// malformed holds the error of responses once there is one.
	malformed atomic.Pointer[error]
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.responses.Read(b)
	if found := c.responses.Err(); found != nil {
		c.malformed.Store(&found)
	}
	return n, err
}

// ConnErr returns the error for a malformed or too long line in the responses on a connection that a
// function of Dial has opened; nil if there was none, and for any other connection. It may
// be called at any time.
func ConnErr(c net.Conn) error {
	checked, ok := c.(*conn)
	if !ok {
		return nil
	}
	if found := checked.malformed.Load(); found != nil {
		return *found
	}
	return nil
}
