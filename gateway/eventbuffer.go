package gateway

import (
	"bytes"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/bounded"
)

// maxEventBytes bounds an event of a stream; limitEvent names the limit.
const (
	maxEventBytes = 64 << 10
	limitEvent    = "event"
)

// eventEnd is the blank line that ends an event of a stream.
var eventEnd = []byte("\n\n")

// eventBuffer splits the bytes of an event stream into complete events and tracks
// their ids, so that a stream resumed at another upstream continues after the last
// event that was relayed.
type eventBuffer struct {
	// pending holds the beginning of an event that is not complete yet.
	pending []byte
	// lastID is the id of the last event that was relayed.
	lastID string
	// count is the number of events with an id that were relayed. Other blocks,
	// such as comments, are no sign that the upstream makes progress.
	count int
	// relayed says that an event was relayed, with an id or without; resumed says that
	// this was so when the current stream began.
	relayed, resumed bool
	// overlaps says that the current stream was asked to continue after an earlier event
	// than the last one that was relayed.
	overlaps bool
	// fresh says that the current stream has brought an event that was relayed, or, if it
	// overlaps, the last one that was relayed before.
	fresh bool
}

// add appends bytes of the stream and returns the events that are complete now,
// without those that were relayed before. It reports false if an event is missing
// or out of order. The result is valid until the next call.
func (b *eventBuffer) add(data []byte) ([]byte, bool) {
	b.pending = append(b.pending, data...)
	end := bytes.LastIndex(b.pending, eventEnd)
	if end < 0 {
		return nil, true
	}
	end += len(eventEnd)
	whole := b.pending[:end:end]
	b.pending = b.pending[end:]
	return b.checkSequence(whole)
}

// checkSequence checks the ids of complete events and returns the new events among
// them. It reports false if an event is missing or out of order.
func (b *eventBuffer) checkSequence(whole []byte) ([]byte, bool) {
	start := 0
	for at := 0; at < len(whole); {
		n := bytes.Index(whole[at:], eventEnd) + len(eventEnd)
		event := whole[at : at+n]
		id := eventID(event)
		switch b.position(event, id) {
		case positionRepeated:
			if at != start {
				// A repeated event may only precede new events.
				return nil, false
			}
			start += n
			if b.overlaps && id == b.lastID {
				b.fresh = true
			}
		case positionAfterGap:
			return whole[start:at], false
		case positionNext:
			if hasContent(event) {
				b.relayed, b.fresh = true, true
			}
			if id != "" {
				b.count++
				b.lastID = id
			}
		}
		at += n
	}
	return whole[start:], true
}

// eventPosition is the position of an event relative to the last relayed event.
type eventPosition int

const (
	positionNext eventPosition = iota
	positionRepeated
	positionAfterGap
)

// position compares an event's id with the id of the last relayed event. Only numbers
// can be checked: if either id is none, the event is taken for the next one in the first
// stream, and in a resumed stream, which must prove that it continues the first one, for
// one after a gap.
func (b *eventBuffer) position(event []byte, id string) eventPosition {
	unchecked := positionNext
	if b.resumed && hasContent(event) {
		unchecked = positionAfterGap
	}
	last, err := strconv.ParseInt(b.lastID, 10, 64)
	if err != nil {
		return unchecked
	}
	n, err := strconv.ParseInt(id, 10, 64)
	switch {
	case err != nil:
		return unchecked
	case n == last+1:
		return positionNext
	case n <= last:
		return positionRepeated
	}
	return positionAfterGap
}

// checkPending returns an error that is marked as bounded.ErrTooLong if the event that
// is not complete yet exceeds maxEventBytes.
func (b *eventBuffer) checkPending() error {
	if len(b.pending) > maxEventBytes {
		return bounded.TooLong(limitEvent, maxEventBytes)
	}
	return nil
}

// discardPending drops an incomplete event whose stream was cut off, before another
// upstream resumes the stream.
func (b *eventBuffer) discardPending() {
	b.pending = b.pending[:0]
	b.resumed, b.fresh = b.relayed, false
}

// Errors of a stream that ended, but is not whole.
var (
	errEndInEvent = errors.New("the stream ended within an event")
	errEmptyRest  = errors.New("the resumed stream has no further event")
	errNoEvents   = errors.New("the stream ended with its connection before the first event")
)

// checkEnd returns why the current stream is not whole although it has ended. framed is
// whether the upstream stated the end; otherwise its connection ended, which also happens
// if the upstream does. A stream without an event proves no end of what was relayed.
func (b *eventBuffer) checkEnd(framed bool) error {
	switch {
	case len(b.pending) > 0:
		return errEndInEvent
	case b.resumed && !b.fresh:
		return errEmptyRest
	case !framed && !b.fresh:
		return errNoEvents
	}
	return nil
}

// hasContent reports whether an event has a line that is neither empty nor a comment.
func hasContent(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// eventID returns the id of an event; empty if it has none.
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
