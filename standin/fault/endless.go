package fault

import (
	"fmt"
	"io"
	"net/http"
	"strings"
)

// EndlessPart is the part of an answer that has no end; it is empty if the answer
// has one.
type EndlessPart string

// Parts of an answer that a stand-in can make endless.
const (
	EndlessHeader EndlessPart = "header"
	EndlessHead   EndlessPart = "head"
	EndlessBody   EndlessPart = "body"
	EndlessEvent  EndlessPart = "event"
	// EndlessChunks and EndlessChunkedEvent are a body and an event of a stream in chunks.
	EndlessChunks       EndlessPart = "chunks"
	EndlessChunkedEvent EndlessPart = "chunked_event"
	// EndlessLength is a body that states a length which it never reaches in time.
	EndlessLength EndlessPart = "length"
)

// EndlessParts holds all parts.
var EndlessParts = []EndlessPart{
	EndlessHeader, EndlessHead, EndlessBody, EndlessEvent, EndlessChunks, EndlessChunkedEvent, EndlessLength,
}

// endlessBlock is what an endless answer repeats.
var endlessBlock = strings.Repeat("x", 16<<10)

// endlessChunk is endlessBlock as a chunk.
var endlessChunk = fmt.Sprintf("%x\r\n%s\r\n", len(endlessBlock), endlessBlock)

// ServeEndless answers a request with bytes that do not end until the caller closes
// the connection. fields are the header fields of the answer before its endless part,
// each with its line end.
func ServeEndless(w http.ResponseWriter, part EndlessPart, fields string) {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	start, repeat := "HTTP/1.1 200 OK\r\n"+fields, endlessBlock
	switch part {
	case EndlessHeader:
		start += "A: "
	case EndlessHead:
		repeat = "A: b\r\n"
	case EndlessEvent:
		start += "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: "
	case EndlessChunks:
		start += "Transfer-Encoding: chunked\r\n\r\n"
		repeat = endlessChunk
	case EndlessChunkedEvent:
		start += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nid: 1\ndata: \r\n"
		repeat = endlessChunk
	case EndlessLength:
		start += "Content-Length: 99999999999\r\n\r\n"
	default:
		start += "\r\n"
	}
	for _, err := io.WriteString(buf, start); err == nil; {
		_, err = io.WriteString(buf, repeat)
	}
}
