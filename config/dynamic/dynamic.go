// Package dynamic defines the configuration that operators publish: classes of
// work and their targets. Reading one document tells everything that governs
// the service; there are no weights, VM names or addresses in it.
//
// The guarantee: Parse is a function of the document alone, so every node
// accepts and refuses the same documents.
package dynamic

import "time"

// ClassKind says what serves a class.
type ClassKind string

const (
	// KindGenerate is served by replicas of a model.
	KindGenerate ClassKind = "generate"
	// KindCall is served by a plain service.
	KindCall ClassKind = "call"
)

// Document is the whole configuration.
type Document struct {
	// Deployment names the deployment that the document is for.
	Deployment string `yaml:"deployment" json:"deployment" validate:"required,max=63,dns_rfc1035_label" example:"agency"`
	// Classes holds the classes of work.
	Classes []Class `yaml:"classes" json:"classes" validate:"required,min=1,max=64,dive" example:"- name: drafting"`
}

// Class is one class of work with its targets.
type Class struct {
	// Name is what callers send as the model name or in the path of a call.
	Name string `yaml:"name" json:"name" validate:"required,max=63,dns_rfc1035_label" example:"drafting"`
	// Kind is generate or call.
	Kind ClassKind `yaml:"kind" json:"kind" validate:"required,oneof=generate call" example:"generate"`
	// Model is the model that answers; only for kind generate.
	Model string `yaml:"model,omitempty" json:"model,omitempty" validate:"omitempty,max=63,dns_rfc1035_label" example:"draft-70b"`
	// Service is the plain service that answers; only for kind call.
	Service string `yaml:"service,omitempty" json:"service,omitempty" validate:"omitempty,max=63,dns_rfc1035_label" example:"bookings"`
	// Repeatable says that running a call twice does no harm. Classes of
	// kind generate are always repeatable.
	Repeatable bool `yaml:"repeatable,omitempty" json:"repeatable,omitempty" example:"true"`
	// LargestRequest bounds the body of a request, such as 64KiB.
	LargestRequest Size `yaml:"largest_request,omitempty" json:"largest_request,omitempty" validate:"max=16777216" example:"64KiB"`
	// LongestAnswer bounds the tokens of an answer, such as 4000 tokens.
	LongestAnswer Tokens `yaml:"longest_answer,omitempty" json:"longest_answer,omitempty" validate:"max=1000000" example:"4000 tokens"`
	// Targets is what the class promises its callers.
	Targets Targets `yaml:"targets" json:"targets" example:"answered_within: 30s"`
}

// Targets is what a class promises.
type Targets struct {
	// FirstTokenWithin bounds the time to the first token; kind generate.
	FirstTokenWithin Duration `yaml:"first_token_within,omitempty" json:"first_token_within,omitempty" example:"430ms"`
	// BetweenTokensWithin bounds the time between two tokens; kind generate.
	BetweenTokensWithin Duration `yaml:"between_tokens_within,omitempty" json:"between_tokens_within,omitempty" example:"53ms"`
	// AnsweredWithin bounds the time to the whole answer.
	AnsweredWithin Duration `yaml:"answered_within" json:"answered_within" validate:"required" example:"30s"`
	// For is the share of requests that the targets hold for, such as
	// "95 in 100".
	For Share `yaml:"for" json:"for" validate:"required,max=100" example:"95 in 100"`
}

// Class returns the class of a name.
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

// Urgent reports whether c is short and urgent work: it promises its whole
// answer within UrgentWithin.
func (c Class) Urgent() bool {
	return time.Duration(c.Targets.AnsweredWithin) <= UrgentWithin
}

// UrgentWithin is the longest answer target of urgent work.
const UrgentWithin = 10 * time.Second
