package wirecheck_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"

	"golang.org/x/net/http/httpguts"

	"github.com/tamarackcleat/tamarackcleat/wirecheck"
)

// FuzzResponses reads arbitrary bytes as the responses on a connection. The Reader must not
// lose track of where a head or a trailer begins: the names of all fields that the parser
// gets are valid, and so is each status.
func FuzzResponses(f *testing.F) {
	for _, seed := range []string{
		withLength + interim + inChunks + withLength, noContent + unchanged + old, unframed,
		"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nabcd", inChunks + "HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 000 \r\nContent-Length: 4\r\n\r\nHTTPHTTP/1.1 200 \r\nT 0: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\nX A: b\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		br := bufio.NewReader(wirecheck.NewReader(bytes.NewReader(data)))
		for {
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				return
			}
			if resp.StatusCode < http.StatusContinue {
				t.Fatalf("the status is %d", resp.StatusCode)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return
			}
			for _, fields := range []http.Header{resp.Header, resp.Trailer} {
				for name := range fields {
					if !httpguts.ValidHeaderFieldName(name) {
						t.Fatalf("the name of a field is %q", name)
					}
				}
			}
		}
	})
}
