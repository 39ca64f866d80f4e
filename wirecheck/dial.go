package wirecheck

import (
	"context"
	"net"
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
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) { return c.responses.Read(b) }
