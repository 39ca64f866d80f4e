package strictyaml

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// Limits of a document. They bound the time and memory for decoding it.
const (
	// MaxBytes is the maximum size of a document in bytes.
	MaxBytes = 256 << 10
	// MaxLineBytes is the maximum length of a line in bytes. Because nested
	// blocks are indented, it also limits their depth.
	MaxLineBytes = 1 << 10
	// MaxTokens is the maximum number of YAML tokens in a document.
	MaxTokens = 8 << 10
	// MaxProblems is the maximum number of problems in a ParseError.
	MaxProblems = 50
	// maxFlowDepth is the maximum nesting depth of brackets and braces.
	maxFlowDepth = 8
)

// Source is a parsed document with the position of each field that it contains. It
// collects the problems of the document.
type Source struct {
	file      string
	root      ast.Node
	positions map[string]token.Position
	problems  []Problem
}

// Parse parses a file that contains one YAML document. Anchors, aliases, tags,
// directives and several documents in one file are not allowed. If the syntax is
// invalid or a limit is exceeded, the error is a *ParseError.
func Parse(file string, data []byte) (*Source, error) {
	s := &Source{file: file, positions: map[string]token.Position{}}
	if !s.checkBytes(data) {
		return nil, s.Err()
	}
	tokens := lexer.Tokenize(string(data))
	if !s.checkTokens(tokens) {
		return nil, s.Err()
	}
	parsed, err := parser.Parse(tokens, 0)
	if err != nil {
		s.addSyntaxError(err)
		return nil, s.Err()
	}
	s.setRoot(parsed)
	return s, s.Err()
}

// HasField reports whether the document contains the field with a path.
func (s *Source) HasField(path string) bool {
	_, ok := s.positions[path]
	return ok
}

// AddProblem records a problem of the field with a path and its remedy.
// The problem gets the position of the field or, if the document doesn't
// contain the field, of the nearest enclosing field.
func (s *Source) AddProblem(path, message, remedy string) {
	pos := s.positionOf(path)
	s.add(Problem{Line: pos.Line, Column: pos.Column, Field: path, Message: message, Remedy: remedy})
}

// Err returns the problems recorded so far as a *ParseError; nil if there are none.
func (s *Source) Err() error {
	if len(s.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(s.problems, func(a, b Problem) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	n := min(len(s.problems), MaxProblems)
	return &ParseError{Problems: s.problems[:n:n]}
}

func (s *Source) add(p Problem) {
	p.File = s.file
	s.problems = append(s.problems, p)
}

// positionOf returns the position of the field with a path or, if the document
// doesn't contain the field, of the nearest enclosing field; the start of the
// document if there is none.
func (s *Source) positionOf(path string) token.Position {
	for path != "" {
		if pos, ok := s.positions[path]; ok {
			return pos
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return token.Position{Line: 1, Column: 1}
}

// ReadDocument reads a document to its end, or to one byte beyond MaxBytes, so that Parse
// rejects a larger one as too long.
func ReadDocument(r io.Reader) ([]byte, error) { return io.ReadAll(io.LimitReader(r, MaxBytes+1)) }

// checkBytes checks the encoding of the document, its size and the length of its
// lines. It records the first problem and reports whether there was none.
func (s *Source) checkBytes(data []byte) bool {
	if len(data) > MaxBytes {
		s.AddProblem("", fmt.Sprintf("the document has more than %d bytes", MaxBytes), "write a smaller document")
		return false
	}
	if !utf8.Valid(data) || bytes.IndexByte(data, 0) >= 0 {
		s.AddProblem("", "the document is not UTF-8 text", "save the file as UTF-8")
		return false
	}
	line := 0
	for text := range bytes.Lines(data) {
		line++
		if len(text) > MaxLineBytes {
			message := fmt.Sprintf("the line has %d bytes, more than %d", len(text), MaxLineBytes)
			s.add(Problem{Line: line, Column: 1, Message: message, Remedy: "write shorter lines"})
			return false
		}
	}
	return true
}

// checkTokens rejects documents that could be expensive to decode although they are
// small. It records the first problem and reports whether there was none.
func (s *Source) checkTokens(tokens token.Tokens) bool {
	if len(tokens) > MaxTokens {
		s.AddProblem("", fmt.Sprintf("the document has more than %d words and signs", MaxTokens), "write a smaller document")
		return false
	}
	depth := 0
	for _, t := range tokens {
		switch t.Type {
		case token.MappingStartType, token.SequenceStartType:
			depth++
		case token.MappingEndType, token.SequenceEndType:
			depth--
		}
		if message := tokenRefusal(t, depth); message != "" {
			s.add(Problem{Line: t.Position.Line, Column: t.Position.Column, Message: message, Remedy: "write the value out in plain YAML"})
			return false
		}
	}
	return true
}

// tokenRefusal returns why a token is not allowed; empty if it is allowed. Depth is
// the nesting depth of brackets and braces at the token.
func tokenRefusal(t *token.Token, depth int) string {
	switch t.Type {
	case token.AnchorType, token.AliasType, token.MergeKeyType:
		return "anchors and aliases are not accepted"
	case token.TagType:
		return "tags are not accepted"
	case token.DirectiveType:
		return "directives are not accepted"
	}
	if depth > maxFlowDepth {
		return fmt.Sprintf("brackets are nested deeper than %d", maxFlowDepth)
	}
	return ""
}

// addSyntaxError records a syntax error that the YAML library returned.
func (s *Source) addSyntaxError(err error) {
	var e yaml.Error
	if errors.As(err, &e) && e.GetToken() != nil {
		pos := e.GetToken().Position
		s.add(Problem{Line: pos.Line, Column: pos.Column, Message: e.GetMessage(), Remedy: "correct the YAML syntax at this place"})
		return
	}
	s.AddProblem("", err.Error(), "correct the YAML syntax")
}

// setRoot sets the root node to that of the only document in the file, and records a
// problem if the file contains no document or several.
func (s *Source) setRoot(f *ast.File) {
	var bodies []ast.Node
	for _, doc := range f.Docs {
		if doc.Body != nil && doc.Body.Type() != ast.CommentType {
			bodies = append(bodies, doc.Body)
		}
	}
	switch len(bodies) {
	case 0:
		s.AddProblem("", "the document is empty", "write at least one field")
	case 1:
		s.root = bodies[0]
	default:
		pos := bodies[1].GetToken().Position
		s.add(Problem{Line: pos.Line, Column: pos.Column, Message: "the file holds several documents", Remedy: "keep one document in a file and remove the line ---"})
	}
}
