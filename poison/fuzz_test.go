package poison

import (
	"encoding/json"
	"testing"
	"time"
)

// FuzzMerge merges reports that no sound node sends: nothing panics, and the table keeps
// its bounds.
func FuzzMerge(f *testing.F) {
	f.Add([]byte(`{"suspects":[{"part":"a","crashes":[{"id":1,"age":5},{"id":2,"age":900}],"start":-1}],"claims":[{"part":"a","node":"n","running":true,"age":3}]}`))
	f.Add([]byte(`{"suspects":[{"part":"content:a","crashes":[{"id":18446744073709551615,"age":-9223372036854775808}],"start":9223372036854775807}],"claims":[{"part":"","node":"","age":-1}]}`))
	f.Add([]byte(`{"suspects":[{"part":"a","crashes":null},{"part":"<>","crashes":[{}]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var r Findings
		if err := json.Unmarshal(data, &r); err != nil {
			return
		}
		now := time.Unix(1000, 0)
		table := NewTable("self")
		for range 3 {
			table.Merge(now, r)
			table.Transitions(now)
			for _, s := range r.Suspects {
				table.Claim(now, "r", []string{s.Part})
			}
			now = now.Add(claimDelay)
		}
		out := table.Report(now)
		if len(table.suspects) > maxSuspects || len(out.Suspects) > maxReported || len(out.Claims) > maxReportedClaims {
			t.Fatalf("bounds: %d suspects, %d reported, %d claims", len(table.suspects), len(out.Suspects), len(out.Claims))
		}
		for _, s := range table.suspects {
			if len(s.crashes) > maxCrashes {
				t.Fatalf("%d crashes", len(s.crashes))
			}
		}
	})
}
