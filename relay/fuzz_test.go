package relay

import (
	"encoding/json"
	"testing"
	"time"
)

// FuzzPollResponse decodes arbitrary bytes as a peer's response. Batches that are
// accepted have the records that their offsets say.
func FuzzPollResponse(f *testing.F) {
	f.Add([]byte(`{"streams":{"s":{"records":[{"k":"a","v":"eA=="}],"next":6,"age_ms":3}}}`), int64(5))
	f.Add([]byte(`{"streams":{"s":{"next":-1,"age_ms":-1}}}`), int64(0))
	f.Add([]byte(`{"streams":{"s":{"records":[{}],"next":-9223372036854775808}}}`), int64(9223372036854775807))
	f.Add([]byte(`{"streams":{"s":{"records":[{"k":"a","z":"H4sIAAAAAAAA/6oAAAAA//8BAAD//4MW3IwBAAAA"}],"next":6}}}`), int64(5))
	f.Fuzz(func(t *testing.T, data []byte, from int64) {
		var a pollResponse
		if err := json.Unmarshal(data, &a); err != nil {
			return
		}
		for _, p := range a.Streams {
			b, err := decodeStreamResponse(p, from, time.Second)
			if err == nil && (b.From != from || b.Next-b.From != int64(len(b.Records)) || b.SentAt > time.Second) {
				t.Fatalf("accepted %+v for offset %d", b, from)
			}
		}
	})
}
