package strictyaml

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// exampleTag is the struct tag with an example value of a field, which is shown to
// operators in remedies.
const exampleTag = "example"

// Decode decodes the document into the struct that target points to and records
// every problem; see Err. Struct fields are matched by their yaml tags. The value of
// the example tag is shown in remedies. Types whose values have a unit implement
// encoding.TextUnmarshaler.
func (s *Source) Decode(target any) {
	s.decode(s.root, reflect.ValueOf(target).Elem(), "", "")
}

func (s *Source) decode(node ast.Node, v reflect.Value, path, example string) {
	if text, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		s.decodeText(node, text, path, example)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		s.decodeStruct(node, v, path)
	case reflect.Slice:
		s.decodeSlice(node, v, path, example)
	default:
		s.decodeScalar(node, v, path, example)
	}
}

func (s *Source) decodeStruct(node ast.Node, v reflect.Value, path string) {
	pairs, ok := mappingPairs(node)
	if !ok {
		s.AddProblem(path, "fields were expected here, not "+nodeName(node), "write one of "+fieldNames(v.Type())+", each as name: value")
		return
	}
	for _, pair := range pairs {
		s.decodeField(pair, v, path)
	}
}

func (s *Source) decodeField(pair *ast.MappingValueNode, v reflect.Value, path string) {
	key := pair.Key.GetToken()
	child := joinPath(path, key.Value)
	if s.HasField(child) {
		s.add(Problem{Line: key.Position.Line, Column: key.Position.Column, Field: child, Message: "the field is written twice", Remedy: "remove one of the two"})
		return
	}
	s.positions[child] = *key.Position
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if yamlName(f) == key.Value {
			s.decode(pair.Value, v.Field(i), child, f.Tag.Get(exampleTag))
			return
		}
	}
	s.AddProblem(child, "the field is not known", "remove it or write one of "+fieldNames(v.Type()))
}

func (s *Source) decodeSlice(node ast.Node, v reflect.Value, path, example string) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		s.AddProblem(path, "a list was expected here, not "+nodeName(node), "start each entry on a line of its own with - ")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(list.Values), len(list.Values)))
	for i, entry := range list.Values {
		child := fmt.Sprintf("%s[%d]", path, i)
		s.positions[child] = nodePosition(entry)
		s.decode(entry, v.Index(i), child, example)
	}
}

func (s *Source) decodeText(node ast.Node, text encoding.TextUnmarshaler, path, example string) {
	scalar, ok := node.(ast.ScalarNode)
	if !ok || node.Type() == ast.NullType {
		s.AddProblem(path, "a value was expected here, not "+nodeName(node), exampleHint(example))
		return
	}
	if err := text.UnmarshalText([]byte(scalar.GetToken().Value)); err != nil {
		s.AddProblem(path, err.Error(), exampleHint(example))
	}
}

func (s *Source) decodeScalar(node ast.Node, v reflect.Value, path, example string) {
	want := ast.StringType
	if v.Kind() == reflect.Bool {
		want = ast.BoolType
	}
	if node.Type() != want {
		s.AddProblem(path, fmt.Sprintf("%s was expected here, not %s", typeNames[want], nodeName(node)), exampleHint(example))
		return
	}
	if err := yaml.NodeToValue(node, v.Addr().Interface()); err != nil {
		s.AddProblem(path, err.Error(), exampleHint(example))
	}
}

// mappingPairs returns the key-value pairs of a mapping node; false if the node is not
// a mapping.
func mappingPairs(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

// nodePosition returns where a node starts. For a mapping that is its first key: the
// token of a mapping node is the colon after that key.
func nodePosition(node ast.Node) token.Position {
	if pairs, ok := mappingPairs(node); ok && len(pairs) > 0 {
		return *pairs[0].Key.GetToken().Position
	}
	return *node.GetToken().Position
}

// typeNames holds the names of node types in messages to operators.
var typeNames = map[ast.NodeType]string{
	ast.StringType:   "text",
	ast.LiteralType:  "a block of text",
	ast.IntegerType:  "a number",
	ast.FloatType:    "a number",
	ast.BoolType:     "true or false",
	ast.NullType:     "nothing",
	ast.MappingType:  "fields",
	ast.SequenceType: "a list",
}

func nodeName(node ast.Node) string {
	if _, ok := mappingPairs(node); ok {
		return typeNames[ast.MappingType]
	}
	if name, ok := typeNames[node.Type()]; ok {
		return name
	}
	return strings.ToLower(node.Type().YAMLName())
}

func exampleHint(example string) string {
	if example == "" {
		return ""
	}
	return "write for example " + example
}

func joinPath(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}

// yamlName returns the name of a struct field in documents.
func yamlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

// fieldNames returns the document names of a struct type's fields, separated by
// commas.
func fieldNames(t reflect.Type) string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = yamlName(t.Field(i))
	}
	return strings.Join(names, ", ")
}
