package operator

import (
	"fmt"

	"github.com/tamarackcleat/tamarackcleat/config/dynamic"
)

// ExitCode is the exit code of the program.
type ExitCode int

// Exit codes.
const (
	// ExitOK means that the command did what it was asked.
	ExitOK ExitCode = 0
	// ExitFailure means that the command failed and changed nothing.
	ExitFailure ExitCode = 1
	// ExitInvalid means wrong arguments or an invalid document.
	ExitInvalid ExitCode = 2
	// ExitConflict means that another version was published in between.
	ExitConflict ExitCode = 3
	// ExitUnreachable means that no entry VM answered and nothing changed.
	ExitUnreachable ExitCode = 4
	// ExitUnknown means that the publication may or may not be accepted.
	ExitUnknown ExitCode = 5
	// ExitNotInForce means that the publication is accepted, but not yet in
	// force on every live entry VM.
	ExitNotInForce ExitCode = 6
)

// exitNames are the exit codes in JSON output.
var exitNames = map[ExitCode]string{
	ExitFailure:     "failure",
	ExitInvalid:     "invalid",
	ExitConflict:    "conflict",
	ExitUnreachable: "unreachable",
	ExitUnknown:     "outcome_unknown",
	ExitNotInForce:  "not_in_force",
}

// Failure is the end of a command that did not do what it was asked.
type Failure struct {
	// Code is the exit code and Kind its name.
	Code ExitCode `json:"code"`
	Kind string   `json:"kind"`
	// Message says what happened; Advice says what to do.
	Message string `json:"message"`
	Advice  string `json:"advice,omitempty"`
	// Problems are the faults of an invalid document.
	Problems []dynamic.Problem `json:"problems,omitempty"`
}

// Error implements the error interface.
func (f *Failure) Error() string { return f.Message }

// fail returns a failure with a formatted message.
func fail(code ExitCode, format string, args ...any) *Failure {
	return &Failure{Code: code, Kind: exitNames[code], Message: fmt.Sprintf(format, args...)}
}

// advise adds what to do.
func (f *Failure) advise(format string, args ...any) *Failure {
	f.Advice = fmt.Sprintf(format, args...)
	return f
}

// failureResult is the JSON form of a failure.
type failureResult struct {
	Error *Failure `json:"error"`
}
