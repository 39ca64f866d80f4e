package dynamic

import (
	"fmt"
	"strings"
)

// Change is one difference between two documents.
type Change struct {
	// Class is the class concerned; empty for the document itself.
	Class string `json:"class,omitempty"`
	// Field is the field concerned; empty if the whole class came or went.
	Field string `json:"field,omitempty"`
	// Old and New are the values as documents write them; empty if absent.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String returns the change on one line.
func (c Change) String() string {
	switch {
	case c.Field == "" && c.Old == "":
		return fmt.Sprintf("+ class %s: %s", c.Class, c.New)
	case c.Field == "" && c.New == "":
		return fmt.Sprintf("- class %s: %s", c.Class, c.Old)
	}
	name := c.Field
	if c.Class != "" {
		name = "class " + c.Class + " " + c.Field
	}
	return fmt.Sprintf("~ %s: %s -> %s", name, orNone(c.Old), orNone(c.New))
}

func orNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}

// Diff lists what changes from a to b: the document first, then the classes
// of a in order, then those that only b has. Either may be nil.
func Diff(a, b *Document) []Change {
	var changes []Change
	from, to := orEmpty(a), orEmpty(b)
	if from.Deployment != to.Deployment {
		changes = append(changes, Change{Field: "deployment", Old: from.Deployment, New: to.Deployment})
	}
	for _, old := range from.Classes {
		if now, ok := to.Class(old.Name); ok {
			changes = append(changes, diffClass(old, now)...)
			continue
		}
		changes = append(changes, Change{Class: old.Name, Old: summary(old)})
	}
	for _, now := range to.Classes {
		if _, ok := from.Class(now.Name); !ok {
			changes = append(changes, Change{Class: now.Name, New: summary(now)})
		}
	}
	return changes
}

func orEmpty(d *Document) *Document {
	if d == nil {
		return &Document{}
	}
	return d
}

func diffClass(old, now Class) []Change {
	var changes []Change
	before, after := fields(old), fields(now)
	for i := range before {
		if before[i].value != after[i].value {
			changes = append(changes, Change{Class: old.Name, Field: before[i].name, Old: before[i].value, New: after[i].value})
		}
	}
	return changes
}

// field is a field of a class in the form that documents write.
type field struct{ name, value string }

// fields lists every field of a class but its name, in a fixed order.
func fields(c Class) []field {
	return []field{
		{"kind", string(c.Kind)},
		{"model", c.Model},
		{"service", c.Service},
		{"repeatable", written(c.Repeatable)},
		{"largest_request", written(c.LargestRequest)},
		{"longest_answer", written(c.LongestAnswer)},
		{"targets.first_token_within", written(c.Targets.FirstTokenWithin)},
		{"targets.between_tokens_within", written(c.Targets.BetweenTokensWithin)},
		{"targets.answered_within", written(c.Targets.AnsweredWithin)},
		{"targets.for", written(c.Targets.For)},
	}
}

// written returns the text of a value; empty if it is the zero value.
func written[T comparable](v T) string {
	var zero T
	if v == zero {
		return ""
	}
	return fmt.Sprint(v)
}

// summary says on one line what a class is.
func summary(c Class) string {
	by := "model " + c.Model
	if c.Kind == KindCall {
		by = "service " + c.Service
		if !c.Repeatable {
			by += ", not repeatable"
		}
	}
	return fmt.Sprintf("%s by %s; %s", c.Kind, by, Describe(c))
}

// Describe returns the target of a class on one line.
func Describe(c Class) string {
	t := c.Targets
	var parts []string
	add := func(what string, d Duration) {
		if d > 0 {
			parts = append(parts, what+" within "+d.String())
		}
	}
	add("first token", t.FirstTokenWithin)
	add("between tokens", t.BetweenTokensWithin)
	add("answered", t.AnsweredWithin)
	return strings.Join(parts, ", ") + " for " + t.For.String()
}
