package dynamic

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"github.com/tamarackcleat/tamarackcleat/config/strictyaml"
)

// Problem is one fault of a document.
type Problem = strictyaml.Problem

// ParseError is a document that was refused, with all its problems.
type ParseError = strictyaml.ParseError

// Bounds of targets.
const (
	// ShortestTarget is the shortest time that a target may promise.
	ShortestTarget = time.Millisecond
	// LongestTarget is the longest time that a target may promise.
	LongestTarget = 24 * time.Hour
	// FastestToken is the time below which no engine makes a token. A target
	// for the whole answer leaves at least that for each token.
	FastestToken = 100 * time.Microsecond
)

// Parse reads and validates a document; name is the file that problems refer
// to. An error is a *ParseError with every problem found.
func Parse(name string, data []byte) (*Document, error) {
	src, err := strictyaml.Parse(name, data)
	if err != nil {
		return nil, err
	}
	var d Document
	src.Decode(&d)
	if err := src.Err(); err != nil {
		return nil, err
	}
	validate(src, &d)
	if err := src.Err(); err != nil {
		return nil, err
	}
	return &d, nil
}

// Marshal returns the YAML form of a document.
func Marshal(d *Document) ([]byte, error) {
	data, err := yaml.Marshal(d)
	return data, errors.Wrap(err, "encoding the configuration")
}

// validate records what is wrong with the values of a decoded document.
func validate(src *strictyaml.Source, d *Document) {
	src.AddViolations(d)
	first := map[string]int{}
	for i, c := range d.Classes {
		path := fmt.Sprintf("classes[%d]", i)
		if earlier, ok := first[c.Name]; ok {
			src.Add(path+".name", fmt.Sprintf("the class %q is declared twice, first at classes[%d]", c.Name, earlier), "give one of them another name or remove it")
		} else {
			first[c.Name] = i
		}
		checkKind(src, path, c)
		checkTargets(src, path+".targets", c)
	}
}

// checkKind refuses fields that belong to the other kind.
func checkKind(src *strictyaml.Source, path string, c Class) {
	switch c.Kind {
	case KindGenerate:
		requireFor(src, path+".model", c.Model == "", c.Kind, "write for example model: draft-70b")
		refuseFor(src, path+".service", c.Kind, "remove it, or write kind: call")
		refuseFor(src, path+".repeatable", c.Kind, "remove it; generation is always repeatable")
	case KindCall:
		requireFor(src, path+".service", c.Service == "", c.Kind, "write for example service: bookings")
		refuseFor(src, path+".model", c.Kind, "remove it, or write kind: generate")
		refuseFor(src, path+".longest_answer", c.Kind, "remove it; only generation counts tokens")
		refuseFor(src, path+".targets.first_token_within", c.Kind, "remove it and keep answered_within")
		refuseFor(src, path+".targets.between_tokens_within", c.Kind, "remove it and keep answered_within")
	}
}

func requireFor(src *strictyaml.Source, path string, missing bool, kind ClassKind, instead string) {
	if missing {
		src.Add(path, fmt.Sprintf("a class of kind %s needs this field", kind), instead)
	}
}

func refuseFor(src *strictyaml.Source, path string, kind ClassKind, instead string) {
	if src.Has(path) {
		src.Add(path, fmt.Sprintf("a class of kind %s can't have this field", kind), instead)
	}
}

// checkTargets refuses targets that nothing could meet.
func checkTargets(src *strictyaml.Source, path string, c Class) {
	t := c.Targets
	checkSpan(src, path+".first_token_within", t.FirstTokenWithin)
	checkSpan(src, path+".between_tokens_within", t.BetweenTokensWithin)
	checkSpan(src, path+".answered_within", t.AnsweredWithin)
	if t.AnsweredWithin == 0 {
		return
	}
	checkPart(src, path+".first_token_within", t.FirstTokenWithin, t.AnsweredWithin)
	checkPart(src, path+".between_tokens_within", t.BetweenTokensWithin, t.AnsweredWithin)
	least := Duration(time.Duration(c.LongestAnswer) * FastestToken)
	if t.AnsweredWithin < least {
		src.Add(path+".answered_within", fmt.Sprintf("no engine makes %s within %s", c.LongestAnswer, t.AnsweredWithin), fmt.Sprintf("write at least %s, or a smaller longest_answer", least))
	}
}

// checkSpan bounds a time that the document writes.
func checkSpan(src *strictyaml.Source, path string, d Duration) {
	if d == 0 {
		return
	}
	if d < Duration(ShortestTarget) {
		src.Add(path, fmt.Sprintf("%s is shorter than any answer", d), fmt.Sprintf("write at least %s", Duration(ShortestTarget)))
	}
	if d > Duration(LongestTarget) {
		src.Add(path, fmt.Sprintf("%s is longer than the longest target", d), fmt.Sprintf("write at most %s", Duration(LongestTarget)))
	}
}

// checkPart refuses a part of the answer that is promised after the whole.
func checkPart(src *strictyaml.Source, path string, part, whole Duration) {
	if part > whole {
		src.Add(path, fmt.Sprintf("%s contradicts answered_within, which promises the whole answer within %s", part, whole), fmt.Sprintf("write less than %s", whole))
	}
}
