// Package strictyaml decodes small YAML documents that people write. It
// reports every fault at once, each with file, line, field and what to write
// instead, and bounds what a hostile document can cost.
//
// The guarantee: the result is a function of the bytes alone, so every node
// comes to the same verdict on a document.
package strictyaml

import (
	"fmt"
	"strings"
)

// Problem is one fault of a document.
type Problem struct {
	// File names the document as the operator knows it.
	File string `json:"file"`
	// Line and Column count from 1; 0 if the fault has no place.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Field is the path of the field, such as classes[2].targets.for.
	Field string `json:"field"`
	// Message says what is wrong.
	Message string `json:"message"`
	// Instead says what to write instead.
	Instead string `json:"instead"`
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
	if p.Instead != "" {
		b.WriteString("; " + p.Instead)
	}
	return b.String()
}

// ParseError is a document that was refused, with all its problems in the
// order of the document.
type ParseError struct {
	// Problems is never empty.
	Problems []Problem
}

// Error implements the error interface with one line per problem.
func (e *ParseError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}
