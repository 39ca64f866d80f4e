package dynamic

import (
	"fmt"
	"strings"
)

// Change is one difference between two documents.
type Change struct {
	// Class is the name of the class that differs; empty if a field of the
	// document itself differs.
	Class string `json:"class,omitempty"`
	// Field is the path of the field that differs; empty if the whole class was
	// added or removed.
	Field string `json:"field,omitempty"`
	// Old and New are the values in the form that documents use, empty if
	// absent. For an added or removed class they hold a summary of it.
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

// Diff returns the changes from a to b: first those of the document's own fields,
// then those of the classes of a in the order of a, then the classes that only b
// has. A nil document counts as empty.
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

// field is the path and value of a field of a class in the form that documents use.
type field struct{ name, value string }

// fields returns all fields of a class except its name, in a fixed order.
func fields(c Class) []field {
	return []field{
		{"kind", string(c.Kind)},
		{"model", c.Model},
		{"service", c.Service},
		{"repeatable", formatNonZero(c.Repeatable)},
		{"largest_request", formatNonZero(c.LargestRequest)},
		{"longest_answer", formatNonZero(c.LongestAnswer)},
		{"targets.first_token_within", formatNonZero(c.Targets.FirstTokenWithin)},
		{"targets.between_tokens_within", formatNonZero(c.Targets.BetweenTokensWithin)},
		{"targets.answered_within", formatNonZero(c.Targets.AnsweredWithin)},
		{"targets.for", formatNonZero(c.Targets.RequestShare)},
	}
}

// formatNonZero returns the text of a value; empty for the zero value.
func formatNonZero[T comparable](v T) string {
	var zero T
	if v == zero {
		return ""
	}
	return fmt.Sprint(v)
}

// summary describes a class on one line.
func summary(c Class) string {
	servedBy := "model " + c.Model
	if c.Kind == KindCall {
		servedBy = "service " + c.Service
		if !c.Repeatable {
			servedBy += ", not repeatable"
		}
	}
	return fmt.Sprintf("%s by %s; %s", c.Kind, servedBy, DescribeTargets(c))
}

// Describe returns the targets of a class on one line.
func DescribeTargets(c Class) string {
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
	return strings.Join(parts, ", ") + " for " + t.RequestShare.String()
}
