package strictyaml

import (
	"fmt"
	"reflect"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
)

// Violation says that a value doesn't satisfy a rule of its validate tag.
type Violation struct {
	// Field is the path of the field in the document.
	Field string
	// Message describes the problem.
	Message string
	// Example is a valid value of the field; empty if there is no example.
	Example string
}

// sharedValidator returns the validator that all calls share, because it caches the
// struct types that it has seen.
var sharedValidator = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlName)
	if err := registerAddressRules(v); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "registering the address rules"))
	}
	return v
})

// Violations returns the violated rules of the validate tags of the struct that
// target points to.
func Violations(target any) []Violation {
	err := sharedValidator().Struct(target)
	var found validator.ValidationErrors
	if !errors.As(err, &found) {
		return nil
	}
	list := make([]Violation, len(found))
	for i, f := range found {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		list[i] = Violation{Field: path, Message: ruleMessage(f), Example: exampleOf(target, f)}
	}
	return list
}

// AddViolations records the violated rules of the struct that target points to as
// problems.
func (s *Source) AddViolations(target any) {
	for _, v := range Violations(target) {
		s.AddProblem(v.Field, v.Message, exampleHint(v.Example))
	}
}

// ruleMessage returns the message to operators for a violated rule.
func ruleMessage(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "the field is missing or empty"
	case "oneof":
		return fmt.Sprintf("%q is none of %s", fmt.Sprint(f.Value()), strings.ReplaceAll(f.Param(), " ", ", "))
	case "dns_rfc1035_label":
		return fmt.Sprintf("%q is not a name of small letters, digits and hyphens that starts with a letter", f.Value())
	case "max":
		return fmt.Sprintf("the value is larger or longer than %s", f.Param())
	case "min":
		return fmt.Sprintf("the value is smaller or shorter than %s", f.Param())
	case ruleIPPort:
		return fmt.Sprintf("%q is not an IP number with a port", f.Value())
	case ruleReachable:
		return fmt.Sprintf("%q is no address that others can connect to", f.Value())
	case ruleIPURL:
		return fmt.Sprintf("%q is not a URL with an IP number and a port", f.Value())
	}
	return fmt.Sprintf("the value breaks the rule %s", f.Tag())
}

// exampleOf returns the example tag of the field that violates a rule; empty if it
// has none.
func exampleOf(target any, f validator.FieldError) string {
	t := reflect.TypeOf(target)
	var example string
	for _, name := range strings.Split(f.StructNamespace(), ".")[1:] {
		for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
			t = t.Elem()
		}
		name, _, _ = strings.Cut(name, "[")
		field, ok := t.FieldByName(name)
		if !ok {
			return ""
		}
		example = field.Tag.Get(exampleTag)
		t = field.Type
	}
	return example
}
