package gateway

import (
	"bytes"
	"strconv"
)

// eventEnd ends an event of a stream.
var eventEnd = []byte("\n\n")

// eventBuffer cuts a stream into whole events and keeps count of their ids, so
// that a resumed stream goes on behind the last event that was passed on.
type eventBuffer struct {
	pending []byte
	last    string
	events  int
}

// add takes bytes of the stream and returns the whole events among them, less
// those that were passed on before. It reports false if an event is missing.
// The result is valid until the next call.
func (b *eventBuffer) add(data []byte) ([]byte, bool) {
	b.pending = append(b.pending, data...)
	end := bytes.LastIndex(b.pending, eventEnd)
	if end < 0 {
		return nil, true
	}
	end += len(eventEnd)
	whole := b.pending[:end:end]
	b.pending = b.pending[end:]
	return b.accept(whole)
}

// accept checks the ids of whole events.
func (b *eventBuffer) accept(whole []byte) ([]byte, bool) {
	start := 0
	for at := 0; at < len(whole); {
		n := bytes.Index(whole[at:], eventEnd) + len(eventEnd)
		id := eventID(whole[at : at+n])
		switch b.order(id) {
		case orderRepeated:
			if at != start {
				// Repeats stand only in front of new events.
				return nil, false
			}
			start += n
		case orderMissing:
			return whole[start:at], false
		case orderNext:
			b.events++
			if id != "" {
				b.last = id
			}
		}
		at += n
	}
	return whole[start:], true
}

// order is an event's place after the last one.
type order int

const (
	orderNext order = iota
	orderRepeated
	orderMissing
)

// order compares an id with the last one. Ids that are not numbers can't be
// checked.
func (b *eventBuffer) order(id string) order {
	last, err := strconv.ParseInt(b.last, 10, 64)
	if err != nil {
		return orderNext
	}
	n, err := strconv.ParseInt(id, 10, 64)
	switch {
	case err != nil || n == last+1:
		return orderNext
	case n <= last:
		return orderRepeated
	}
	return orderMissing
}

// restart forgets the beginning of an event that another upstream broke off.
func (b *eventBuffer) restart() { b.pending = b.pending[:0] }

// eventID returns the id of an event; empty if it has none.
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
