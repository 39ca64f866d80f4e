package static_test

import (
	"testing"

	"github.com/tamarackcleat/tamarackcleat/config/static"
)

func FuzzParse(f *testing.F) {
	for _, seed := range []string{valid, "", "a: [", "? {a: b}: c", "listen: |\n  x", "\x00", "- - -"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := static.Parse("settings.yaml", data)
		if err != nil {
			requireProblems(t, err)
			return
		}
		if s.Listen == "" || s.Advertise == "" || s.Zone == "" || s.Platform.Log == "" {
			t.Fatalf("Parse accepted incomplete settings: %+v", s)
		}
	})
}

// requireProblems checks that err is a ParseError with at least one problem.
func requireProblems(t *testing.T, err error) {
	t.Helper()
	refused, ok := err.(*static.ParseError)
	if !ok || len(refused.Problems) == 0 || refused.Error() == "" {
		t.Fatalf("error is not a ParseError with problems: %v", err)
	}
}
