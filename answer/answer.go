// Package answer assembles the answer to one request from the chunks of one or more
// upstream streams.
//
// The guarantee: text is delivered in order, once, and only if its chunk
// carries the request's id; an answer is complete only when the final chunk was
// received and every token before it was delivered.
package answer

import "github.com/tamarackcleat/tamarackcleat/port"

// maxPending is the number of chunks kept while an earlier chunk is missing; beyond
// it, the missing chunk counts as lost.
const maxPending = 32

// DropReason is the reason why a chunk was dropped; it is also the name of a
// counter.
type DropReason string

// Reasons for dropping a chunk.
const (
	// DropNone is the reason of chunks that were delivered or kept.
	DropNone DropReason = ""
	// DropForeign marks a chunk of another request.
	DropForeign DropReason = "chunk_foreign"
	// DropDuplicate marks a chunk that was received before.
	DropDuplicate DropReason = "chunk_duplicate"
)

// Answer is an answer that is being assembled.
type Answer struct {
	requestID string
	// next is the index of the next chunk to deliver.
	next int
	// text is the text delivered.
	text []byte
	// pending holds, by index, the texts received after a missing chunk.
	pending map[int]string
	final   *port.Chunk
}

// New returns the empty answer to a request.
func New(requestID string) *Answer {
	return &Answer{requestID: requestID, pending: map[int]string{}}
}

// Tokens returns the number of tokens delivered so far.
func (a *Answer) Tokens() int { return a.next }

// Text returns the text delivered so far.
func (a *Answer) Text() string { return string(a.text) }

// Finish returns the finish reason of the final chunk, or "" before that chunk was
// received.
func (a *Answer) Finish() string {
	if a.final == nil {
		return ""
	}
	return a.final.FinishReason
}

// Complete reports whether the answer is complete: the final chunk was received and
// all tokens were delivered.
func (a *Answer) Complete() bool { return a.final != nil && a.next == a.final.Index }

// HasGap reports whether chunks are missing that can't be expected from the stream
// any more, because more than maxPending later chunks, or the final chunk, have
// arrived.
func (a *Answer) HasGap() bool {
	return !a.Complete() && (a.final != nil || len(a.pending) > maxPending)
}

// DiscardPending discards the chunks received after the tokens delivered, before the
// answer is resumed from another stream.
func (a *Answer) DiscardPending() {
	a.pending = map[int]string{}
	a.final = nil
}

// Add adds a chunk. It returns the texts to deliver now, in order, and the reason if
// the chunk was dropped.
func (a *Answer) Add(c port.Chunk) ([]string, DropReason) {
	if c.RequestID != a.requestID {
		return nil, DropForeign
	}
	if c.Final {
		return nil, a.addFinal(c)
	}
	if _, buffered := a.pending[c.Index]; buffered || c.Index < a.next {
		return nil, DropDuplicate
	}
	a.pending[c.Index] = c.Text
	return a.deliver(), DropNone
}

// addFinal adds the final chunk, whose index is the number of tokens of the answer.
func (a *Answer) addFinal(c port.Chunk) DropReason {
	if a.final != nil || c.Index < a.next {
		return DropDuplicate
	}
	a.final = &c
	return DropNone
}

// deliver returns the pending texts that continue the delivered text without a gap,
// and counts them as delivered.
func (a *Answer) deliver() []string {
	var out []string
	for {
		text, ok := a.pending[a.next]
		if !ok {
			return out
		}
		delete(a.pending, a.next)
		a.next++
		a.text = append(a.text, text...)
		out = append(out, text)
	}
}
