package callertest_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// readAnswer reads one answer to its end and returns its status.
func readAnswer(conn net.Conn) (int, error) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
