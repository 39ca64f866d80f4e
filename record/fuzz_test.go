package record_test

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/ledger"
	"github.com/tamarackcleat/tamarackcleat/record"
)

// FuzzDecode checks with arbitrary data that Decode fails only with ErrMalformed,
// that no ledger panics on the records that Decode accepts, and that these
// records can be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	seeds := []string{
		`{"records":[{"id":"a","at_ms":1,"claim":{"key":"k","key_ms":1,"digest":"d","attempt":"x"}}]}`,
		`{"records":[{"id":"a","lease":{"holder":"n","replaces":0,"ttl_ms":1}},{"id":"b","form":{"term":1024,"replica":"r","model":"m","vms":["v","v"]}}]}`,
		`{"records":[{"id":"a","checkpoint":{"through":1,"state":{}}}]}`,
		`{"records":[{"id":"a","trial_end":{"fingerprint":"f","attempt":"x","outcome":"?"}}]}`,
		`{"records":[{}]}`, `{"records":null}`, `[]`, ``, `{"records":[{"id":"a","config":{},"lease":{}}]}`,
	}
	for _, s := range seeds {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		g, err := record.Decode(data)
		if err != nil {
			if !errors.Is(err, record.ErrMalformed) {
				t.Fatalf("Decode failed with an error that is not ErrMalformed: %v", err)
			}
			return
		}
		ledgers := []ledger.Ledger{
			ledger.NewConfig(func(string) error { return nil }),
			ledger.NewControl(), ledger.NewCalls(), ledger.NewSuspects(),
		}
		for i, r := range g.Records {
			for _, l := range ledgers {
				l.Apply(record.At(1, i), r)
			}
		}
		again, err := record.Encode(g)
		if err != nil {
			t.Fatalf("encoding the decoded group: %v", err)
		}
		if _, err := record.Decode(again); err != nil {
			t.Fatalf("decoding %q, the encoding of a decoded group: %v", bytes.ToValidUTF8(again, nil), err)
		}
	})
}
