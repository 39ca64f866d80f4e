// Package relay hands streams of the log on from node to node, so that the
// number of reads of the log does not grow with the number of nodes.
//
// The holder of the control lease reads the log. One node in each availability
// zone polls the holder, and the others of the zone poll that node. Polls are long:
// one is held until there are records, as a read of the log is.
//
// The guarantees: records are handed on once each and in order; a response
// tells how old the proof is that nothing is missing, and the receiver counts that
// age from the sending of its poll, so neither a frozen node nor a late response
// makes a stream look newer than it is. A node whose stream gets older
// than a bound reads the log itself.
package relay

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/tamarackcleat/tamarackcleat/keyed"
)

const (
	// LogWait is how long the log holds a read of a node that hands the
	// stream on; it bounds the age of the proof at the first node.
	LogWait = 400 * time.Millisecond
	// pollHold is how long a node holds a peer's poll without records. Each
	// of at most two nodes on the way adds two holds to the age: that of the
	// response and that of the next one.
	pollHold = 150 * time.Millisecond
	// maxStaleness is the age from which a node reads the log itself. It covers
	// LogWait and four holds, and leaves time for a read within the two
	// seconds in which a change must be known.
	maxStaleness = 1300 * time.Millisecond
	// pollSlack is added to pollHold before a poll times out; peers respond
	// within a few milliseconds.
	pollSlack = 250 * time.Millisecond
	// retryDelay is the pause after a poll that failed; a node that needs the
	// records sooner reads the log.
	retryDelay = 200 * time.Millisecond
	// batchDelay is the pause after a response with records, so that a busy
	// stream is handed on in batches; it is far below the bounds of seconds.
	batchDelay = 40 * time.Millisecond
)

// Path is where a node serves its peers' polls.
const Path = "/v1/peers/streams"

// Peer is a node that may hand streams on.
type Peer struct {
	// ID is unique to the node's process.
	ID, Zone string
	Address  netip.AddrPort
	// Cores is the processor share; larger nodes hand on first.
	Cores float64
}

// Source returns the peer that a node polls, if it need not read the log itself.
// Live holds the peers heard lately, holder is the id of the lease's holder.
func Source(self Peer, live []Peer, holder string) (Peer, bool) {
	if holder == self.ID {
		return Peer{}, false
	}
	first, head, known := self, Peer{}, false
	for _, p := range live {
		if p.ID == holder {
			head, known = p, true
		}
		if p.Zone == self.Zone && Before(p, first) {
			first = p
		}
	}
	switch {
	case known && head.Zone == self.Zone:
		return head, true
	case first.ID != self.ID:
		return first, true
	}
	return head, known
}

// Before orders nodes; the first one of a zone hands on to the others.
func Before(a, b Peer) bool {
	return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.ID, b.ID)) < 0
}

// Largest reports whether no reachable node has more processor share.
func Largest(self Peer, reachable []Peer) bool {
	return !slices.ContainsFunc(reachable, func(p Peer) bool { return p.Cores > self.Cores })
}

// pollRequest asks for what came after an offset of each stream.
type pollRequest struct {
	After map[string]int64 `json:"after"`
}

// pollResponse holds what came after the request's offsets.
type pollResponse struct {
	Streams map[string]part `json:"streams"`
}

// part is the response for one stream.
type part struct {
	Records []record `json:"records,omitempty"`
	// Next is the offset after the records.
	Next int64 `json:"next"`
	// AgeMillis is the age of the proof that nothing came after them.
	AgeMillis int64 `json:"age_ms"`
}

// record is a record on its way; its offset follows from its place.
type record struct {
	Key   string `json:"k"`
	Value []byte `json:"v,omitempty"`
}

func encodePart(b keyed.Batch, now time.Duration) part {
	p := part{Next: b.Next, AgeMillis: (now - b.SentAt).Milliseconds() + 1}
	for _, r := range b.Records {
		p.Records = append(p.Records, record{r.Key, r.Value})
	}
	return p
}

// decodePart returns the batch of a response to a poll sent at a time.
func decodePart(p part, from int64, askedAt time.Duration) (keyed.Batch, bool) {
	if p.AgeMillis < 0 || p.Next != from+int64(len(p.Records)) {
		return keyed.Batch{}, false
	}
	b := keyed.Batch{From: from, Next: p.Next, SentAt: askedAt - time.Duration(p.AgeMillis)*time.Millisecond}
	for i, r := range p.Records {
		b.Records = append(b.Records, keyed.Record{Key: r.Key, Value: r.Value, Offset: from + int64(i)})
	}
	return b, true
}

// sortedStreams returns streams by name.
func sortedStreams(streams []*keyed.Stream) []*keyed.Stream {
	return slices.SortedFunc(slices.Values(streams), func(a, b *keyed.Stream) int { return cmp.Compare(a.Name, b.Name) })
}
