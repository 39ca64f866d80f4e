package callertest_test

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"time"
)

const (
	// largeBodyBytes is the largest legal body.
	largeBodyBytes = 4 << 20
	// smallBodyBytes is just under the size from which the first version of the node
	// counted a body.
	smallBodyBytes = 61 << 10
	// blockBytes is the size of one write of a body or of a header line without end.
	blockBytes = 64 << 10
	// bytePause is the pause between two single bytes.
	bytePause = time.Millisecond
	// pipelined is the number of requests that are sent without reading an answer.
	pipelined = 5000
)

var (
	filler      = bytes.Repeat([]byte("a"), 1<<20)
	emptyLines  = []byte(strings.Repeat("\r\n", blockBytes/2))
	headerLines = []byte(strings.Repeat("X-Filler: "+strings.Repeat("b", 100)+"\r\n", 512))
)

// named is a behavior with the text that a spec has in its name.
type named struct {
	text string
	what behavior
}

// send writes and reports whether the connection still takes data.
func send(c net.Conn, data []byte) bool {
	_, err := c.Write(data)
	return err == nil
}

// sendText is send for a string.
func sendText(c net.Conn, format string, args ...any) bool {
	_, err := fmt.Fprintf(c, format, args...)
	return err == nil
}

// sendForever writes the same data until the connection fails.
func sendForever(c net.Conn, data []byte) {
	for send(c, data) {
	}
}

// sendBytes writes n single bytes.
func sendBytes(c net.Conn, n int) {
	for range n {
		if !send(c, filler[:1]) {
			return
		}
		time.Sleep(bytePause)
	}
}

// sendFiller writes n bytes in blocks.
func sendFiller(c net.Conn, n int) bool {
	for n > 0 {
		size := min(n, blockBytes)
		if !send(c, filler[:size]) {
			return false
		}
		n -= size
	}
	return true
}

// heads are request heads that are over the limit or don't end.
var heads = []named{
	{"request heads over the limit", func(c net.Conn, start string) {
		sendText(c, "%sX-Long: %s\r\n\r\n", start, filler[:128<<10])
	}},
	{"one header line without end", func(c net.Conn, start string) {
		if sendText(c, "%sX-Long: ", start) {
			sendForever(c, filler[:blockBytes])
		}
	}},
	{"header lines without end", func(c net.Conn, start string) {
		if sendText(c, "%s", start) {
			sendForever(c, headerLines)
		}
	}},
	{"request heads just under the limit that don't end", func(c net.Conn, start string) {
		sendText(c, "%sX-Long: %s", start, filler[:60<<10])
	}},
}

// lines are empty lines without end.
var lines = []named{
	{"empty lines without end before a request", func(c net.Conn, _ string) { sendForever(c, emptyLines) }},
	{"empty lines without end between two requests", func(c net.Conn, start string) {
		if sendText(c, "%sContent-Length: 11\r\n\r\n{\"key\":\"x\"}", start) {
			// The status is irrelevant: a refusal keeps the connection too.
			if _, err := readAnswer(c); err == nil {
				sendForever(c, emptyLines)
			}
		}
	}},
}

// sizedBody starts a request with a body of n bytes.
func sizedBody(c net.Conn, start string, n int) bool {
	return sendText(c, "%sContent-Length: %d\r\n\r\n", start, n)
}

// bodies are bodies of legal size.
var bodies = []named{
	{"large bodies, sent whole", func(c net.Conn, start string) {
		for sizedBody(c, start, largeBodyBytes) && sendFiller(c, largeBodyBytes) {
			if _, err := readAnswer(c); err != nil {
				return
			}
		}
	}},
	{"large bodies, byte by byte", func(c net.Conn, start string) {
		if sizedBody(c, start, largeBodyBytes) {
			sendBytes(c, largeBodyBytes)
		}
	}},
	{"large bodies that stop one byte short", func(c net.Conn, start string) {
		if sizedBody(c, start, largeBodyBytes) {
			sendFiller(c, largeBodyBytes-1)
		}
	}},
	{"bodies of 61 KiB that stop one byte short", func(c net.Conn, start string) {
		if sizedBody(c, start, smallBodyBytes) {
			sendFiller(c, smallBodyBytes-1)
		}
	}},
	{"large bodies of which nothing comes", func(c net.Conn, start string) { sizedBody(c, start, largeBodyBytes) }},
}

// chunkedBody starts a request with a chunked body.
func chunkedBody(c net.Conn, start string) bool {
	return sendText(c, "%sTransfer-Encoding: chunked\r\n\r\n", start)
}

// chunks are chunked bodies.
var chunks = []named{
	{"chunked bodies in chunks of one byte that don't end", func(c net.Conn, start string) {
		if chunkedBody(c, start) {
			send(c, bytes.Repeat([]byte("1\r\na\r\n"), 300<<10))
		}
	}},
	{"chunked bodies in chunks of a megabyte that stop one byte short", func(c net.Conn, start string) {
		for ok, n := chunkedBody(c, start), 0; ok && n < 4; n++ {
			if ok = sendText(c, "100000\r\n"); ok && n < 3 {
				ok = send(c, filler) && send(c, []byte("\r\n"))
			} else if ok {
				ok = send(c, filler[:len(filler)-1])
			}
		}
	}},
	{"chunk extensions without end", func(c net.Conn, start string) {
		if chunkedBody(c, start) && sendText(c, "1;x=") {
			sendForever(c, filler[:blockBytes])
		}
	}},
	{"chunks with long extensions without end", func(c net.Conn, start string) {
		if chunkedBody(c, start) {
			sendForever(c, fmt.Appendf(nil, "1;x=%s\r\na\r\n", filler[:2000]))
		}
	}},
	{"trailers without end", func(c net.Conn, start string) {
		if chunkedBody(c, start) && sendText(c, "1\r\na\r\n0\r\n") {
			sendForever(c, headerLines)
		}
	}},
	{"chunked bodies of 61 KiB that don't end", func(c net.Conn, start string) {
		if chunkedBody(c, start) && sendText(c, "%x\r\n", smallBodyBytes) {
			sendFiller(c, smallBodyBytes)
		}
	}},
}

// idlers are connections on which little or nothing is sent or read.
var idlers = []named{
	{"connections that say nothing", func(net.Conn, string) {}},
	{"half a request line", func(c net.Conn, start string) { sendText(c, "%s", start[:10]) }},
	{"pipelined requests whose answers nobody reads", func(c net.Conn, start string) {
		request := fmt.Appendf(nil, "%sContent-Length: 11\r\n\r\n{\"key\":\"x\"}", start)
		for range pipelined {
			if !send(c, request) {
				return
			}
		}
	}},
	{"pipelined refused requests whose answers nobody reads", func(c net.Conn, _ string) {
		request := []byte("GET /nothing HTTP/1.1\r\nHost: h.example\r\n\r\n")
		for range pipelined {
			if !send(c, request) {
				return
			}
		}
	}},
}

// everything is all behaviors.
func everything() []named {
	var out []named
	for _, group := range [][]named{heads, lines, bodies, chunks, idlers} {
		out = append(out, group...)
	}
	return out
}

// mixed returns a behavior that does another one on each connection, in turn.
func mixed(all []named) behavior {
	turns := make(chan int, 1)
	turns <- 0
	return func(c net.Conn, start string) {
		turn := <-turns
		turns <- turn + 1
		all[turn%len(all)].what(c, start)
	}
}
