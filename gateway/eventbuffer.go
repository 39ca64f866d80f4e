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

// Errors of an event that does not continue its stream.
var (
	errEventMissing   = errors.New("events are missing before an event")
	errEventRepeated  = errors.New("an event is repeated or out of order")
	errEventNumbering = errors.New("an event with a number and one without in the same stream")
	errFirstEvent     = errors.New("the stream begins with another event than streams of its service do")
	errUnproved       = errors.New("an event without a number does not show that it continues the stream")
)

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
	// begun says that the current stream has brought an event with a number, the latest
	// of which is current.
	begun   bool
	current int64
	// expectedFirst is the id with which streams of the service begin; empty if it is not
	// known. A stream that begins with another one is refused while mayRefuseFirst is set,
	// unless one before it, which was refused for that, began with refusedFirst too.
	expectedFirst, refusedFirst string
	mayRefuseFirst              bool
	// confirmedFirst is the id with which the answer began, if it is not expectedFirst and
	// a second event has shown that the first one had the right number.
	confirmedFirst string
	// unconfirmed says that lastID is the number of the first event of the answer, which
	// no second event has followed yet.
	unconfirmed bool
	// unresumable says that the answer can't be resumed: its first two events don't
	// follow each other, and either may have the wrong number.
	unresumable bool
}

// add appends bytes of the stream and returns the events that are complete now,
// without those that were relayed before. If an event does not continue the stream,
// add returns the events before it and an error; all that counts as relayed is in the
// result then too. The result is valid until the next call.
func (b *eventBuffer) add(data []byte) ([]byte, error) {
	whole := append(b.pending, data...)
	start, at := 0, 0
	var err error
	for {
		n := eventLength(whole[at:])
		if n == 0 {
			break
		}
		var isNew bool
		if isNew, err = b.accept(whole[at : at+n]); err != nil {
			break
		}
		at += n
		if !isNew {
			// Repeated events precede all new ones of their stream.
			start = at
		}
	}
	b.pending = whole[at:]
	return whole[start:at:at], err
}

// eventLength returns the length of the event at the beginning of data; 0 if it is not
// complete. A blank line after an event is an event without content.
func eventLength(data []byte) int {
	if len(data) > 0 && data[0] == '\n' {
		return 1
	}
	end := bytes.Index(data, eventEnd)
	if end < 0 {
		return 0
	}
	return end + len(eventEnd)
}

// accept accepts the next event of the stream and reports whether it is new. It fails if
// the event does not continue the stream.
func (b *eventBuffer) accept(event []byte) (bool, error) {
	if !hasContent(event) {
		return true, nil
	}
	id := eventID(event)
	n, numbered := eventNumber(id)
	last, lastNumbered := eventNumber(b.lastID)
	switch {
	case lastNumbered && !numbered, b.relayed && numbered && !lastNumbered:
		return false, errEventNumbering
	case lastNumbered:
		if isNew, err := b.checkNumber(n, last); !isNew {
			return false, err
		}
	case b.resumed:
		return false, errUnproved
	case b.refusesFirst(id):
		return false, errors.Wrapf(errFirstEvent, "event %.40q", id)
	default:
		b.unconfirmed = numbered && id != b.expectedFirst
	}
	b.begun, b.current = numbered, n
	b.relayed, b.fresh = true, true
	if id != "" {
		b.count++
		b.lastID = id
	}
	return true, nil
}

// refusesFirst reports whether a stream must not begin with the event that has the given
// id. The same id in a second stream shows that the service has changed.
func (b *eventBuffer) refusesFirst(id string) bool {
	if !b.mayRefuseFirst || b.relayed || b.expectedFirst == "" || id == b.expectedFirst || id == b.refusedFirst && id != "" {
		return false
	}
	b.refusedFirst = id
	return true
}

// checkNumber reports whether the number n of an event shows that the event is the next
// one to relay after the one with the number last. A stream may begin with events that
// were relayed before. It fails if the event follows neither on the stream's previous one
// nor, as the stream's first, on one that was relayed.
func (b *eventBuffer) checkNumber(n, last int64) (bool, error) {
	follows := n <= last || n-1 == last
	if b.begun {
		follows = n-1 == b.current
	}
	if !follows {
		b.unresumable = b.unconfirmed
		if b.begun && n <= b.current {
			return false, errors.Wrapf(errEventRepeated, "event %d after %d", n, b.current)
		}
		return false, errors.Wrapf(errEventMissing, "event %d after %d", n, last)
	}
	if n <= last {
		b.begun, b.current = true, n
		b.fresh = b.fresh || b.overlaps && n == last
		return false, nil
	}
	if b.unconfirmed {
		b.unconfirmed, b.confirmedFirst = false, b.lastID
	}
	return true, nil
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
	b.resumed, b.fresh, b.begun, b.unconfirmed = b.relayed, false, false, false
}

// Errors of a stream that ended, but is not whole.
var (
	errEndInEvent = errors.New("the stream ended within an event")
	errEmptyRest  = errors.New("the stream has no event after those that were relayed before")
	errNoEvents   = errors.New("the stream ended with its connection before the first event")
)

// checkEnd returns why the current stream is not whole although it has ended. framed is
// whether the upstream stated the end; otherwise its connection ended, which also happens
// if the upstream does. A stream without an event proves no end of what was relayed.
func (b *eventBuffer) checkEnd(framed bool) error {
	switch {
	case len(b.pending) > 0:
		return errEndInEvent
	case (b.resumed || b.begun) && !b.fresh:
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

// eventNumber returns the number that an event's id is, or false if it is none.
func eventNumber(id string) (int64, bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	return n, err == nil
}
