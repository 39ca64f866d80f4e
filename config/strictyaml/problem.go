// Package strictyaml decodes small YAML documents that people write by hand. It
// reports the problems of a document together, each with its file, line, field and a
// remedy, and it limits the time and memory that a malicious document can cost.
//
// The result depends only on the bytes of the document, so all nodes accept and
// reject the same documents.
package strictyaml

import (
	"fmt"
	"strings"
)

// Problem is one error in a document.
type Problem struct {
	// File is the name of the document in messages to the operator.
	File string `json:"file"`
	// Line and Column are the position of the problem, counted from 1; 0 if
	// the problem has no position.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Field is the path of the field, such as classes[2].targets.for; empty if
	// the problem concerns no field.
	Field string `json:"field"`
	// Message describes the problem.
	Message string `json:"message"`
	// Instead is the remedy: what to write instead.
	Remedy string `json:"instead"`
}

// String returns the problem on one line.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", p.Line, p.Column)
	}
	b.WriteString(": ")
	if p.Field != "" {
		b.WriteString(p.Field + ": ")
	}
	b.WriteString(p.Message)
	if p.Remedy != "" {
		b.WriteString("; " + p.Remedy)
	}
	return b.String()
}

// ParseError is the error for an invalid document. It holds the problems in the
// order of their positions, at most MaxProblems.
type ParseError struct {
	// Problems is never empty.
	Problems []Problem
}

// Error returns all problems, one per line.
func (e *ParseError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}
