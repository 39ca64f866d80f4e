package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/google/uuid"

	"github.com/tamarackcleat/tamarackcleat/record"
)

// requestIDSeparator stands between the node and the request's own part.
const requestIDSeparator = "."

// newRequestID returns an id that tells which node served the request.
func newRequestID(node record.NodeID) string {
	return string(node) + requestIDSeparator + newID()
}

// nodeOf returns the node inside a request id.
func nodeOf(requestID string) (record.NodeID, bool) {
	node, _, ok := strings.Cut(requestID, requestIDSeparator)
	return record.NodeID(node), ok
}

// newID returns a unique identifier.
func newID() string { return uuid.Must(uuid.NewV7()).String() }

// newNodeID returns the id of a process, new on each start.
func newNodeID() record.NodeID {
	return record.NodeID(strings.ReplaceAll(uuid.NewString(), "-", "")[:12])
}

// digestBytes is the number of bytes kept of a digest.
const digestBytes = 16

// digest identifies content by its parts.
func digest(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		var length [8]byte
		for i := range length {
			length[i] = byte(len(p) >> (8 * i))
		}
		h.Write(length[:])
		h.Write([]byte(p))
	}
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}
