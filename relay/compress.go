package relay

import (
	"bytes"
	"compress/gzip"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/bounded"
)

const (
	// minCompressedBytes is the size from which values are sent compressed.
	minCompressedBytes = 16 << 10
	// keptCompressed is the number of compressed values that are kept. Only
	// configurations are that large, and peers ask for the newest ones.
	keptCompressed = 2
	// maxValueBytes bounds the values of a response after decompression; limitValue names
	// the limit.
	maxValueBytes = maxResponseBytes
	limitValue    = "poll_value"
)

// compressor compresses large values once for all peers that ask for them. It is safe for
// concurrent use.
type compressor struct {
	mu   sync.Mutex
	kept []compressedValue
}

// compressedValue is a value, which must not be changed, and its compressed form, which is
// nil if it is not smaller.
type compressedValue struct{ value, compressed []byte }

// compress returns a value in compressed form; nil if it is to be sent as it is.
func (c *compressor) compress(value []byte) []byte {
	if len(value) < minCompressedBytes {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.kept {
		if &k.value[0] == &value[0] && len(k.value) == len(value) {
			return k.compressed
		}
	}
	k := compressedValue{value, gzipped(value)}
	c.kept = append(c.kept, k)
	c.kept = c.kept[max(0, len(c.kept)-keptCompressed):]
	return k.compressed
}

// gzipped returns data in compressed form, or nil if that is not smaller.
func gzipped(data []byte) []byte {
	var out bytes.Buffer
	// Writes to a buffer never fail, and neither does the level.
	w, _ := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	_, _ = w.Write(data)
	_ = w.Close()
	if out.Len() >= len(data) {
		return nil
	}
	return out.Bytes()
}

// decompress returns a value of at most limit bytes that was compressed.
func decompress(compressed []byte, limit int64) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, errors.Wrap(err, "decompressing a value")
	}
	value, err := bounded.ReadAll(r, limitValue, limit)
	return value, errors.Wrap(err, "decompressing a value")
}
