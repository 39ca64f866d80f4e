package exchange

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"

	"golang.org/x/net/http/httpguts"
)

// bytesConn is a connection from which fixed bytes are read.
type bytesConn struct {
	net.Conn
	reader io.Reader
}

func (c bytesConn) Read(b []byte) (int, error) { return c.reader.Read(b) }

// FuzzResponse reads arbitrary bytes as what an upstream sends for a request. A response
// is returned only if it has the request's id, and its body is no longer than the input.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		response("1", "ok"), response("2", "no") + response("1", "ok"), "HTTP/1.1 100 Continue\r\n\r\n" + response("1", "ok"),
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nok\r\n0\r\nT: x\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall", "HTTP/1.1 204 No Content\r\nX-Id: 1\r\nContent-Length: -1\r\n\r\n", "", "\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length : 1\r\n\r\na", response("2", "no") + "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX -A: 1\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c := newConn(bytesConn{reader: bytes.NewReader(data)}, "a")
		resp, err := c.readMatchingResponse(&Request{Method: http.MethodPost, Matches: request("1").Matches}, true)
		if err != nil {
			return
		}
		if resp.Header.Get(idHeader) != "1" {
			t.Fatal("a response to another request is returned")
		}
		for name := range resp.Header {
			if !httpguts.ValidHeaderFieldName(name) {
				t.Fatalf("the name of a field is %q", name)
			}
		}
		body, _ := io.ReadAll(limitBodySize(resp.Body))
		if len(body) > len(data) {
			t.Fatalf("%d bytes of body in %d", len(body), len(data))
		}
	})
}
