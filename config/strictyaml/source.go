package strictyaml

import (
	"bytes"
	"fmt"
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

// Bounds of a document.
const (
	// MaxBytes is the size of a document in bytes.
	MaxBytes = 256 << 10
	// MaxLineBytes is the length of a line in bytes. It bounds the depth of
	// nested blocks as well.
	MaxLineBytes = 1 << 10
	// MaxTokens is the number of YAML tokens in a document.
	MaxTokens = 8 << 10
	// MaxProblems is the number of problems that one refusal reports.
	MaxProblems = 50
	// maxFlowDepth is the depth of nested brackets.
	maxFlowDepth = 8
)

// Source is a document with the place of each of its fields.
type Source struct {
	file     string
	root     ast.Node
	places   map[string]token.Position
	problems []Problem
}

// Parse reads the syntax of one YAML document. Anchors, aliases, tags and
// several documents in one file are refused.
func Parse(file string, data []byte) (*Source, error) {
	s := &Source{file: file, places: map[string]token.Position{}}
	if !s.checkBytes(data) {
		return nil, s.Err()
	}
	tokens := lexer.Tokenize(string(data))
	if !s.checkTokens(tokens) {
		return nil, s.Err()
	}
	parsed, err := parser.Parse(tokens, 0)
	if err != nil {
		s.addSyntax(err)
		return nil, s.Err()
	}
	s.setRoot(parsed)
	return s, s.Err()
}

// Has reports whether the document writes the field of a path.
func (s *Source) Has(path string) bool {
	_, ok := s.places[path]
	return ok
}

// Add records a problem of the field of a path. The place is the field's, or
// that of the nearest enclosing field which the document writes.
func (s *Source) Add(path, message, instead string) {
	pos := s.place(path)
	s.add(Problem{Line: pos.Line, Column: pos.Column, Field: path, Message: message, Instead: instead})
}

// Err returns the problems found so far as a ParseError, or nil.
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

// place finds the position of a path or of its nearest written parent.
func (s *Source) place(path string) token.Position {
	for path != "" {
		if pos, ok := s.places[path]; ok {
			return pos
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return token.Position{Line: 1, Column: 1}
}

// checkBytes bounds the size of the document and of its lines.
func (s *Source) checkBytes(data []byte) bool {
	if len(data) > MaxBytes {
		s.Add("", fmt.Sprintf("the document has %d bytes, more than %d", len(data), MaxBytes), "write a smaller document")
		return false
	}
	if !utf8.Valid(data) || bytes.IndexByte(data, 0) >= 0 {
		s.Add("", "the document is not UTF-8 text", "save the file as UTF-8")
		return false
	}
	line := 0
	for text := range bytes.Lines(data) {
		line++
		if len(text) > MaxLineBytes {
			message := fmt.Sprintf("the line has %d bytes, more than %d", len(text), MaxLineBytes)
			s.add(Problem{Line: line, Column: 1, Message: message, Instead: "write shorter lines"})
			return false
		}
	}
	return true
}

// checkTokens refuses what could make a small document expensive.
func (s *Source) checkTokens(tokens token.Tokens) bool {
	if len(tokens) > MaxTokens {
		s.Add("", fmt.Sprintf("the document has more than %d words and signs", MaxTokens), "write a smaller document")
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
		if message := refusedToken(t, depth); message != "" {
			s.add(Problem{Line: t.Position.Line, Column: t.Position.Column, Message: message, Instead: "write the value out in plain YAML"})
			return false
		}
	}
	return true
}

// refusedToken says why a token is refused; empty if it is not.
func refusedToken(t *token.Token, depth int) string {
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

// addSyntax records a syntax error of the YAML library.
func (s *Source) addSyntax(err error) {
	var e yaml.Error
	if errors.As(err, &e) && e.GetToken() != nil {
		pos := e.GetToken().Position
		s.add(Problem{Line: pos.Line, Column: pos.Column, Message: e.GetMessage(), Instead: "correct the YAML syntax at this place"})
		return
	}
	s.Add("", err.Error(), "correct the YAML syntax")
}

// setRoot takes the only document of the file.
func (s *Source) setRoot(f *ast.File) {
	var bodies []ast.Node
	for _, doc := range f.Docs {
		if doc.Body != nil && doc.Body.Type() != ast.CommentType {
			bodies = append(bodies, doc.Body)
		}
	}
	switch len(bodies) {
	case 0:
		s.Add("", "the document is empty", "write at least one field")
	case 1:
		s.root = bodies[0]
	default:
		pos := bodies[1].GetToken().Position
		s.add(Problem{Line: pos.Line, Column: pos.Column, Message: "the file holds several documents", Instead: "keep one document in a file and remove the line ---"})
	}
}
