package dynamic_test

import (
	"flag"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tamarackcleat/tamarackcleat/config/dynamic"
)

// The seed is fixed, so that each run checks the same random cases. The flag
// -rapid.seed selects others.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// largestDocument returns a document with the maximum number of classes.
func largestDocument() *dynamic.Document {
	const classes = 64
	d := &dynamic.Document{Deployment: "agency"}
	for i := range classes {
		d.Classes = append(d.Classes, dynamic.Class{
			Name: fmt.Sprintf("class-%d", i), Kind: dynamic.KindGenerate, Model: "draft-70b",
			LargestRequest: 64 << 10, LongestAnswer: 4000,
			Targets: dynamic.Targets{
				FirstTokenWithin:    dynamic.Duration(430 * time.Millisecond),
				BetweenTokensWithin: dynamic.Duration(53 * time.Millisecond),
				AnsweredWithin:      dynamic.Duration(3 * time.Minute),
				RequestShare:        95,
			},
		})
	}
	return d
}

// nameGenerator generates names of deployments, classes, models and services.
var nameGenerator = rapid.StringMatching(`[a-z]([a-z0-9-]{0,20}[a-z0-9])?`)

// drawDocument returns a random valid document.
func drawDocument(t *rapid.T) *dynamic.Document {
	names := rapid.SliceOfNDistinct(nameGenerator, 1, 64, rapid.ID[string]).Draw(t, "names")
	d := &dynamic.Document{Deployment: nameGenerator.Draw(t, "deployment")}
	for _, name := range names {
		d.Classes = append(d.Classes, drawClass(t, name))
	}
	return d
}

func drawClass(t *rapid.T, name string) dynamic.Class {
	c := dynamic.Class{
		Name:           name,
		LargestRequest: dynamic.Size(rapid.Int64Range(0, 16<<20).Draw(t, "size")),
		Targets: dynamic.Targets{
			AnsweredWithin: drawDuration(t, time.Second, dynamic.MaxTarget),
			RequestShare:   dynamic.Share(float64(rapid.IntRange(1, 100_000).Draw(t, "share")) / 1000),
		},
	}
	if rapid.Bool().Draw(t, "call") {
		c.Kind = dynamic.KindCall
		c.Service = nameGenerator.Draw(t, "service")
		c.Repeatable = rapid.Bool().Draw(t, "repeatable")
		return c
	}
	c.Kind = dynamic.KindGenerate
	c.Model = nameGenerator.Draw(t, "model")
	whole := time.Duration(c.Targets.AnsweredWithin)
	c.LongestAnswer = dynamic.Tokens(rapid.IntRange(0, min(1_000_000, int(whole/dynamic.MinTokenTime))).Draw(t, "tokens"))
	c.Targets.FirstTokenWithin = drawDuration(t, dynamic.MinTarget, whole)
	c.Targets.BetweenTokensWithin = drawDuration(t, dynamic.MinTarget, whole)
	return c
}

func drawDuration(t *rapid.T, least, most time.Duration) dynamic.Duration {
	return dynamic.Duration(rapid.Int64Range(int64(least), int64(most)).Draw(t, "span"))
}

// TestWrittenDocumentIsReadUnchanged checks that Parse is the inverse of Marshal and
// that marshalling the parsed document gives the same text again.
func TestWrittenDocumentIsReadUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawDocument(t)
		text, err := dynamic.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		read, err := dynamic.Parse("doc.yaml", text)
		if err != nil {
			t.Fatalf("%v\n%s", err, text)
		}
		if !reflect.DeepEqual(d, read) || len(dynamic.Diff(d, read)) > 0 {
			t.Fatalf("document changed when it was marshalled and parsed:\n%s", text)
		}
		again, err := dynamic.Marshal(read)
		if err != nil || string(again) != string(text) {
			t.Fatalf("second Marshal gave a different text: %v", err)
		}
	})
}
