// Package answer assembles one request's answer from the chunks of one or more
// streams.
//
// The guarantee: text is delivered in order, once, and only if its chunk
// carries the request's id; an answer is whole only when the final marker was
// read and every token before it was delivered.
package answer

import "github.com/tamarackcleat/tamarackcleat/port"

// maxAhead bounds the chunks kept while an earlier one is missing.
const maxAhead = 32

// Drop is why a chunk was not delivered; it is also the name of a counter.
type Drop string

// Reasons for drops.
const (
	// DropNone is the reason of chunks that were delivered or kept.
	DropNone Drop = ""
	// DropForeign marks a chunk of another request.
	DropForeign Drop = "chunk_foreign"
	// DropDuplicate marks a chunk that was delivered before.
	DropDuplicate Drop = "chunk_duplicate"
)

// Answer is the state of one answer.
type Answer struct {
	requestID string
	next      int
	text      []byte
	ahead     map[int]string
	final     *port.Chunk
}

// New returns the empty answer to a request.
func New(requestID string) *Answer {
	return &Answer{requestID: requestID, ahead: map[int]string{}}
}

// Tokens returns the number of tokens delivered.
func (a *Answer) Tokens() int { return a.next }

// Text returns the text delivered.
func (a *Answer) Text() string { return string(a.text) }

// Finish returns why the answer ended; empty before its end.
func (a *Answer) Finish() string {
	if a.final == nil {
		return ""
	}
	return a.final.Finish
}

// Whole reports whether the answer is complete.
func (a *Answer) Whole() bool { return a.final != nil && a.next == a.final.Index }

// Gap reports whether chunks are missing that no longer can be expected from
// the stream: too many later ones, or the final one, have arrived.
func (a *Answer) Gap() bool {
	return !a.Whole() && (a.final != nil || len(a.ahead) > maxAhead)
}

// Restart forgets what a stream sent beyond the tokens delivered, before the
// answer is resumed from another stream.
func (a *Answer) Restart() {
	a.ahead = map[int]string{}
	a.final = nil
}

// Add takes a chunk. It returns the texts to deliver now and, if the chunk was
// dropped, why.
func (a *Answer) Add(c port.Chunk) ([]string, Drop) {
	if c.RequestID != a.requestID {
		return nil, DropForeign
	}
	if c.Final {
		return nil, a.end(c)
	}
	if _, kept := a.ahead[c.Index]; kept || c.Index < a.next {
		return nil, DropDuplicate
	}
	a.ahead[c.Index] = c.Text
	return a.deliver(), DropNone
}

// end takes a final chunk.
func (a *Answer) end(c port.Chunk) Drop {
	if a.final != nil || c.Index < a.next {
		return DropDuplicate
	}
	a.final = &c
	return DropNone
}

// deliver returns the texts that follow what was delivered without a gap.
func (a *Answer) deliver() []string {
	var out []string
	for {
		text, ok := a.ahead[a.next]
		if !ok {
			return out
		}
		delete(a.ahead, a.next)
		a.next++
		a.text = append(a.text, text...)
		out = append(out, text)
	}
}
