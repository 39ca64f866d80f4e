// Package relay distributes log streams from node to node, so that the number of
// reads of the log does not grow with the number of nodes.
//
// The node that holds the control lease reads the log. One node in each
// availability zone polls the lease holder, and the other nodes of the zone poll
// that node. Polls are long polls: the serving node holds a poll until there are
// records, as the log does with a read.
//
// Guarantees: each record is passed on once and in order. A response states how
// long ago the serving node's copy of the stream was last known to be complete.
// The receiver subtracts that age from the time at which it sent the poll, so
// neither a frozen node nor a late response makes a stream look fresher than it
// is. A node whose copy is older than maxStaleness reads the log itself. Records pass only
// between copies of the same era of the log; otherwise the two nodes tell each other the later
// era, and the one that is behind reads the log. The newest configuration alone also passes
// between copies of different eras, for a log that has lost it.
package relay

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/keyed"
)

const (
	// LogReadWait is how long the log holds a read by the lease holder while
	// there are no records; it bounds the staleness of the lease holder's copy.
	LogReadWait = 400 * time.Millisecond
	// pollWait is how long a node holds a peer's poll while there are no
	// records. Between the lease holder and a node there are at most two polls:
	// that of the serving node of the zone and the node's own. Each adds up to
	// twice pollWait to the staleness: a response shows the stream as it was
	// when the poll was sent, up to pollWait earlier, and the next response
	// comes up to pollWait later.
	pollWait = 150 * time.Millisecond
	// maxStaleness is the staleness of a stream from which a node reads the log
	// itself. It covers LogReadWait and four times pollWait, and leaves time
	// for a read of the log within the two seconds that a node has to learn of
	// a change.
	maxStaleness = 1300 * time.Millisecond
	// pollTimeoutMargin is added to pollWait for the timeout of a poll; peers
	// respond within a few milliseconds after pollWait.
	pollTimeoutMargin = 250 * time.Millisecond
	// retryDelay is the pause after a failed poll; a node that needs the
	// records sooner reads the log.
	retryDelay = 200 * time.Millisecond
	// batchDelay is the pause after a response with records, so that a busy
	// stream is passed on in batches. It is small compared to the two seconds
	// that a node has to learn of a change.
	batchDelay = 40 * time.Millisecond
)

// PollPath is the HTTP path at which a node serves its peers' polls.
const PollPath = "/v1/peers/streams"

// Peer is a node that can serve streams to other nodes.
type Peer struct {
	// ID is unique to the node's process.
	ID, Zone string
	Address  netip.AddrPort
	// Cores is the node's processor share in cores; nodes with a larger share
	// are preferred for serving others.
	Cores float64
}

// Source returns the peer that the node self polls, or false if it must read the
// log itself. live holds the peers heard from recently; holder is the ID of the
// node that holds the control lease.
func Source(self Peer, live []Peer, holder string) (Peer, bool) {
	if holder == self.ID {
		return Peer{}, false
	}
	zoneRelay, holderPeer, holderLive := self, Peer{}, false
	for _, p := range live {
		if p.ID == holder {
			holderPeer, holderLive = p, true
		}
		if p.Zone == self.Zone && Precedes(p, zoneRelay) {
			zoneRelay = p
		}
	}
	switch {
	case holderLive && holderPeer.Zone == self.Zone:
		return holderPeer, true
	case zoneRelay.ID != self.ID:
		return zoneRelay, true
	}
	return holderPeer, holderLive
}

// Precedes reports whether a comes before b: nodes are ordered by descending
// processor share, then by ID. The first node of an availability zone serves the
// other nodes of the zone.
func Precedes(a, b Peer) bool {
	return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.ID, b.ID)) < 0
}

// Largest reports whether no reachable node has a larger processor share than
// self.
func Largest(self Peer, reachable []Peer) bool {
	return !slices.ContainsFunc(reachable, func(p Peer) bool { return p.Cores > self.Cores })
}

// pollRequest asks for the new records of streams.
type pollRequest struct {
	// After holds, by stream, the offset of the first record to return.
	After map[string]int64 `json:"after"`
	// Eras holds, by stream, the log's era in which the offset counts; none stands for 0.
	Eras map[string]int64 `json:"eras,omitempty"`
	// Gzip says that the response may hold compressed values.
	Gzip bool `json:"gzip,omitempty"`
}

// pollResponse holds the new records, by stream.
type pollResponse struct {
	Streams map[string]streamResponse `json:"streams"`
}

// streamResponse is the part of a pollResponse for one stream.
type streamResponse struct {
	// Era is the log's era in which the offsets count. If it is another one than in the
	// request, there are no records.
	Era     int64    `json:"era,omitempty"`
	Records []record `json:"records,omitempty"`
	// Next is the offset after the last record.
	Next int64 `json:"next"`
	// AgeMillis is how long before the response, in milliseconds, Records was
	// last known to reach the end of the stream.
	AgeMillis int64 `json:"age_ms"`
}

// record is a stream record as sent; its offset is the requested offset plus its
// index in the response.
type record struct {
	Key   string `json:"k"`
	Value []byte `json:"v,omitempty"`
	// Compressed is the value compressed with gzip, in place of Value.
	Compressed []byte `json:"z,omitempty"`
}

// encodeRecord returns a record as sent. compress returns the compressed form of a value, nil to
// send it as it is.
func encodeRecord(key string, value []byte, compress func([]byte) []byte) record {
	if compressed := compress(value); compressed != nil {
		return record{Key: key, Compressed: compressed}
	}
	return record{Key: key, Value: value}
}

// value returns the value of a received record, which has at most limit bytes if it comes
// compressed.
func (r *record) value(limit int64) ([]byte, error) {
	if len(r.Compressed) == 0 {
		return r.Value, nil
	}
	return decompress(r.Compressed, limit)
}

// encodeStreamResponse returns the response that carries a batch sent at now, a
// time of the boot clock. AgeMillis is rounded up. compress returns the compressed form
// of a value, nil to send it as it is.
func encodeStreamResponse(b keyed.Batch, now time.Duration, compress func([]byte) []byte) streamResponse {
	p := streamResponse{Era: b.Era, Next: b.Next, AgeMillis: (now - b.SentAt).Milliseconds() + 1}
	for _, r := range b.Records {
		p.Records = append(p.Records, encodeRecord(r.Key, r.Value, compress))
	}
	return p
}

// decodeStreamResponse returns the batch in the response to a poll that asked for
// the offset from, of the same era, and was sent at sentAt. It fails if the response is inconsistent or
// its values can't be decompressed.
func decodeStreamResponse(p streamResponse, from int64, sentAt time.Duration) (keyed.Batch, error) {
	if p.AgeMillis < 0 || p.Next != from+int64(len(p.Records)) {
		return keyed.Batch{}, errors.Newf("inconsistent response: %d records, next offset %d", len(p.Records), p.Next)
	}
	left := int64(maxValueBytes)
	b := keyed.Batch{Era: p.Era, From: from, Next: p.Next, SentAt: sentAt - time.Duration(p.AgeMillis)*time.Millisecond}
	for i, r := range p.Records {
		value, err := r.value(left)
		if err != nil {
			return keyed.Batch{}, err
		}
		if len(r.Compressed) > 0 {
			left -= int64(len(value))
		}
		b.Records = append(b.Records, keyed.Record{Key: r.Key, Value: value, Offset: from + int64(i)})
	}
	return b, nil
}

// sortByName returns the streams sorted by name.
func sortByName(streams []*keyed.Stream) []*keyed.Stream {
	return slices.SortedFunc(slices.Values(streams), func(a, b *keyed.Stream) int { return cmp.Compare(a.Name, b.Name) })
}
