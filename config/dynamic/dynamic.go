// Package dynamic defines the configuration that operators publish: classes of
// work and their targets. One document holds the whole configuration of a
// deployment; it contains no weights, VM names or addresses.
//
// The result of Parse depends only on the document, so all nodes accept and reject
// the same documents.
package dynamic

import "time"

// ClassKind says whether replicas of a model or a plain service answer a class.
type ClassKind string

const (
	// KindGenerate is the kind of classes that replicas of a model answer.
	KindGenerate ClassKind = "generate"
	// KindCall is the kind of classes that a plain service answers.
	KindCall ClassKind = "call"
)

// Document is one version of the whole configuration.
type Document struct {
	// Deployment is the name of the deployment that the document is for.
	Deployment string `yaml:"deployment" json:"deployment" validate:"required,max=63,dns_rfc1035_label" example:"agency"`
	// Classes holds the classes of work.
	Classes []Class `yaml:"classes" json:"classes" validate:"required,min=1,max=64,dive" example:"- name: drafting"`
}

// Class is one class of work with its targets.
type Class struct {
	// Name identifies the class. Callers send it as the model name or in the
	// path of a call.
	Name string `yaml:"name" json:"name" validate:"required,max=63,dns_rfc1035_label" example:"drafting"`
	// Kind is KindGenerate or KindCall.
	Kind ClassKind `yaml:"kind" json:"kind" validate:"required,oneof=generate call" example:"generate"`
	// Model is the name of the model that answers; only for kind generate.
	Model string `yaml:"model,omitempty" json:"model,omitempty" validate:"omitempty,max=63,dns_rfc1035_label" example:"draft-70b"`
	// Service is the name of the plain service that answers; only for kind call.
	Service string `yaml:"service,omitempty" json:"service,omitempty" validate:"omitempty,max=63,dns_rfc1035_label" example:"bookings"`
	// Repeatable says that a call may run more than once without harm. The
	// field is only for kind call: classes of kind generate are always
	// repeatable.
	Repeatable bool `yaml:"repeatable,omitempty" json:"repeatable,omitempty" example:"true"`
	// LargestRequest is the maximum size of a request body, such as 64KiB.
	LargestRequest Size `yaml:"largest_request,omitempty" json:"largest_request,omitempty" validate:"max=16777216" example:"64KiB"`
	// LongestAnswer is the maximum number of tokens in an answer, such as
	// "4000 tokens".
	LongestAnswer Tokens `yaml:"longest_answer,omitempty" json:"longest_answer,omitempty" validate:"max=1000000" example:"4000 tokens"`
	// Targets holds the response times that the class promises its callers.
	Targets Targets `yaml:"targets" json:"targets" example:"answered_within: 30s"`
}

// Targets holds the response times that a class promises its callers.
type Targets struct {
	// FirstTokenWithin is the maximum time to the first token; only for kind
	// generate.
	FirstTokenWithin Duration `yaml:"first_token_within,omitempty" json:"first_token_within,omitempty" example:"430ms"`
	// BetweenTokensWithin is the maximum time between two tokens; only for kind
	// generate.
	BetweenTokensWithin Duration `yaml:"between_tokens_within,omitempty" json:"between_tokens_within,omitempty" example:"53ms"`
	// AnsweredWithin is the maximum time to the complete answer.
	AnsweredWithin Duration `yaml:"answered_within" json:"answered_within" validate:"required" example:"30s"`
	// For is the share of requests for which the targets must be met, such as
	// "95 in 100".
	RequestShare Share `yaml:"for" json:"for" validate:"required,max=100" example:"95 in 100"`
}

// Class returns the class with a name; false if the document has no such class or is
// nil.
func (d *Document) Class(name string) (Class, bool) {
	if d == nil {
		return Class{}, false
	}
	for _, c := range d.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}

// Urgent reports whether c is a class of urgent work: it promises the complete answer
// within UrgentWithin.
func (c Class) Urgent() bool {
	return time.Duration(c.Targets.AnsweredWithin) <= UrgentWithin
}

// UrgentWithin is the maximum AnsweredWithin of urgent work.
const UrgentWithin = 10 * time.Second
