package fault

import (
	"fmt"
	"io"
	"net/http"
	"strings"
)

// DamagedNames returns copies of a line of a head, each with a blank or a control byte at the
// beginning of the field's name, within it or at its end.
func DamagedNames(line string) []string {
	const within = 3
	var out []string
	for _, bad := range []string{" ", "\t", "\n", "\r", "\x00", "\x1f", "\x7f"} {
		for _, at := range []int{0, within, strings.Index(line, ":")} {
			out = append(out, line[:at]+bad+line[at:])
		}
	}
	return out
}

// InvalidStatuses are codes that are no status but that a lenient parser reads as a number.
var InvalidStatuses = []string{"000", "001", "099", "+20", "-00"}

// MalformedAnswers returns answers with a status and a JSON body that are sound but for the
// name of one field, in the head or in the trailer, or for their status.
func MalformedAnswers(status int, body string) []string {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Type: application/json\r\n", status)
	length := fmt.Sprintf("Content-Length: %d", len(body))
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body)
	var out []string
	for _, line := range DamagedNames(length) {
		out = append(out, head+line+"\r\n\r\n"+body)
	}
	for _, line := range DamagedNames("Transfer-Encoding: chunked") {
		out = append(out, head+line+"\r\n\r\n"+chunks+"\r\n")
	}
	for _, line := range DamagedNames("X-Unknown: a") {
		out = append(out, head+length+"\r\n"+line+"\r\n\r\n"+body,
			head+"Transfer-Encoding: chunked\r\n\r\n"+chunks+"X-Sum: 1\r\n"+line+"\r\n\r\n")
	}
	for _, code := range InvalidStatuses {
		out = append(out, "HTTP/1.1 "+code+" X\r\nContent-Type: application/json\r\n"+length+"\r\n\r\n"+body)
	}
	return out
}

// ServeRaw sends bytes in place of an answer and closes the connection.
func ServeRaw(w http.ResponseWriter, answer string) {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	// A failed write needs no handling: the caller has disconnected.
	_, _ = io.WriteString(buf, answer)
	_ = buf.Flush()
}
