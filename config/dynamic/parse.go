package dynamic

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"github.com/tamarackcleat/tamarackcleat/config/strictyaml"
)

// Problem is one error in a document.
type Problem = strictyaml.Problem

// ParseError is the error for an invalid document. It holds the problems found in the
// document.
type ParseError = strictyaml.ParseError

// Limits of targets.
const (
	// ShortestTarget is the minimum time of a target.
	MinTarget = time.Millisecond
	// LongestTarget is the maximum time of a target.
	MaxTarget = 24 * time.Hour
	// FastestToken is the minimum time in which an engine generates a token. The
	// target for the complete answer must allow at least this time for each
	// token of the longest answer.
	MinTokenTime = 100 * time.Microsecond
)

// Parse decodes and validates a document. Problems name the file as name. If the
// document is invalid, the error is a *ParseError.
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

// validate records the problems with the values of a decoded document.
func validate(src *strictyaml.Source, d *Document) {
	src.AddViolations(d)
	firstIndex := map[string]int{}
	for i, c := range d.Classes {
		path := fmt.Sprintf("classes[%d]", i)
		if earlier, ok := firstIndex[c.Name]; ok {
			src.AddProblem(path+".name", fmt.Sprintf("the class %q is declared twice, first at classes[%d]", c.Name, earlier), "give one of them another name or remove it")
		} else {
			firstIndex[c.Name] = i
		}
		checkKind(src, path, c)
		checkTargets(src, path+".targets", c)
	}
}

// checkKind checks that a class has the fields that its kind requires, and none that
// belong to the other kind only.
func checkKind(src *strictyaml.Source, path string, c Class) {
	switch c.Kind {
	case KindGenerate:
		requireField(src, path+".model", c.Model == "", c.Kind, "write for example model: draft-70b")
		refuseField(src, path+".service", c.Kind, "remove it, or write kind: call")
		refuseField(src, path+".repeatable", c.Kind, "remove it; generation is always repeatable")
	case KindCall:
		requireField(src, path+".service", c.Service == "", c.Kind, "write for example service: bookings")
		refuseField(src, path+".model", c.Kind, "remove it, or write kind: generate")
		refuseField(src, path+".longest_answer", c.Kind, "remove it; only generation counts tokens")
		refuseField(src, path+".targets.first_token_within", c.Kind, "remove it and keep answered_within")
		refuseField(src, path+".targets.between_tokens_within", c.Kind, "remove it and keep answered_within")
	}
}

func requireField(src *strictyaml.Source, path string, missing bool, kind ClassKind, instead string) {
	if missing {
		src.AddProblem(path, fmt.Sprintf("a class of kind %s needs this field", kind), instead)
	}
}

func refuseField(src *strictyaml.Source, path string, kind ClassKind, instead string) {
	if src.HasField(path) {
		src.AddProblem(path, fmt.Sprintf("a class of kind %s can't have this field", kind), instead)
	}
}

// checkTargets rejects targets that are out of range, contradict each other or are
// impossible to meet.
func checkTargets(src *strictyaml.Source, path string, c Class) {
	t := c.Targets
	checkDuration(src, path+".first_token_within", t.FirstTokenWithin)
	checkDuration(src, path+".between_tokens_within", t.BetweenTokensWithin)
	checkDuration(src, path+".answered_within", t.AnsweredWithin)
	if t.AnsweredWithin == 0 {
		return
	}
	checkNotLonger(src, path+".first_token_within", t.FirstTokenWithin, t.AnsweredWithin)
	checkNotLonger(src, path+".between_tokens_within", t.BetweenTokensWithin, t.AnsweredWithin)
	least := Duration(time.Duration(c.LongestAnswer) * MinTokenTime)
	if t.AnsweredWithin < least {
		src.AddProblem(path+".answered_within", fmt.Sprintf("no engine makes %s within %s", c.LongestAnswer, t.AnsweredWithin), fmt.Sprintf("write at least %s, or a smaller longest_answer", least))
	}
}

// checkDuration checks that a target is absent (0) or from ShortestTarget to
// LongestTarget.
func checkDuration(src *strictyaml.Source, path string, d Duration) {
	if d == 0 {
		return
	}
	if d < Duration(MinTarget) {
		src.AddProblem(path, fmt.Sprintf("%s is shorter than any answer", d), fmt.Sprintf("write at least %s", Duration(MinTarget)))
	}
	if d > Duration(MaxTarget) {
		src.AddProblem(path, fmt.Sprintf("%s is longer than the longest target", d), fmt.Sprintf("write at most %s", Duration(MaxTarget)))
	}
}

// checkNotLonger rejects a target for a part of the answer that is longer than the
// target for the whole answer.
func checkNotLonger(src *strictyaml.Source, path string, part, whole Duration) {
	if part > whole {
		src.AddProblem(path, fmt.Sprintf("%s contradicts answered_within, which promises the whole answer within %s", part, whole), fmt.Sprintf("write less than %s", whole))
	}
}
