package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/google/uuid"

	"github.com/tamarackcleat/tamarackcleat/record"
)

// requestIDSeparator separates the node's id from the rest of a request id.
const requestIDSeparator = "."

// newRequestID returns a unique request id that contains the id of the node that
// serves the request.
func newRequestID(node record.NodeID) string {
	return string(node) + requestIDSeparator + newID()
}

// nodeFromRequestID returns the node id that a request id contains.
func nodeFromRequestID(requestID string) (record.NodeID, bool) {
	node, _, ok := strings.Cut(requestID, requestIDSeparator)
	return record.NodeID(node), ok
}

// newID returns a new UUIDv7.
func newID() string { return uuid.Must(uuid.NewV7()).String() }

// newNodeID returns a random id for a process, which has a new one after each
// start.
func newNodeID() record.NodeID {
	return record.NodeID(strings.ReplaceAll(uuid.NewString(), "-", "")[:12])
}

// digestBytes is the number of bytes that digest keeps of a SHA-256 hash.
const digestBytes = 16

// digest returns a hash of the parts in hexadecimal. Each part is hashed with its
// length, so that it matters where one part ends and the next begins.
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
