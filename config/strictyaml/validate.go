package strictyaml

import (
	"fmt"
	"reflect"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
)

// Violation is a rule of a validate tag that a value breaks.
type Violation struct {
	// Field is the path of the field.
	Field string
	// Message says what is wrong.
	Message string
	// Example is a value that would be right.
	Example string
}

// rules is the shared validator; it caches what it learns about types.
var rules = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlName)
	if err := registerAddressRules(v); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "registering the rules for addresses"))
	}
	return v
})

// Violations checks the validate tags of a struct.
func Violations(target any) []Violation {
	err := rules().Struct(target)
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

// AddViolations records the broken rules of a struct as problems.
func (s *Source) AddViolations(target any) {
	for _, v := range Violations(target) {
		s.Add(v.Field, v.Message, suchAs(v.Example))
	}
}

// ruleMessage says in words which rule is broken.
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

// exampleOf finds the example tag of the field that broke a rule.
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
