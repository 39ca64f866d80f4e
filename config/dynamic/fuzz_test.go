package dynamic_test

import (
	"os"
	"reflect"
	"testing"

	"github.com/tamarackcleat/tamarackcleat/config/dynamic"
)

func FuzzParse(f *testing.F) {
	for _, path := range []string{"../../examples/agency.yaml", "../../examples/jhalmuri.yaml"} {
		data, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	for _, seed := range []string{valid, "", "a: [", "? {a: b}: c", "classes: |\n  x", "\x00", "- - -", "a: &a [*a]", "%YAML 1.2\n---\na: b"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := dynamic.Parse("doc.yaml", data)
		if err != nil {
			requireProblems(t, err)
			return
		}
		text, err := dynamic.Marshal(d)
		if err != nil {
			t.Fatalf("Marshal failed for a valid document: %v", err)
		}
		again, err := dynamic.Parse("again.yaml", text)
		if err != nil || !reflect.DeepEqual(d, again) {
			t.Fatalf("a valid document changed when it was marshalled and parsed: %v\n%s", err, text)
		}
	})
}

// requireProblems checks that err is a ParseError with at least one problem.
func requireProblems(t *testing.T, err error) {
	t.Helper()
	refused, ok := err.(*dynamic.ParseError)
	if !ok || len(refused.Problems) == 0 || refused.Error() == "" {
		t.Fatalf("error is not a ParseError with problems: %v", err)
	}
}
