package operator

import (
	"fmt"

	"github.com/tamarackcleat/tamarackcleat/config/dynamic"
)

// ExitCode is the exit code of the program.
type ExitCode int

// The exit codes of the program; exitCodeHelp documents them for operators.
const (
	// ExitOK means that the command succeeded.
	ExitOK ExitCode = 0
	// ExitFailure means that the command failed and changed nothing.
	ExitFailure ExitCode = 1
	// ExitInvalid means that the arguments or the document are invalid.
	ExitInvalid ExitCode = 2
	// ExitConflict means that the document was not published, because another
	// version was published after its base version.
	ExitConflict ExitCode = 3
	// ExitUnreachable means that no entry VM answered and nothing was changed.
	ExitUnreachable ExitCode = 4
	// ExitUnknown means that it is not known whether the publication was
	// accepted.
	ExitOutcomeUnknown ExitCode = 5
	// ExitNotInForce means that the publication was accepted, but was not in
	// force on every live entry VM when the wait ended.
	ExitNotInForce ExitCode = 6
)

// exitCodeNames holds the names of the exit codes in JSON output.
var exitCodeNames = map[ExitCode]string{
	ExitFailure:        "failure",
	ExitInvalid:        "invalid",
	ExitConflict:       "conflict",
	ExitUnreachable:    "unreachable",
	ExitOutcomeUnknown: "outcome_unknown",
	ExitNotInForce:     "not_in_force",
}

// Failure is the error of a command that did not succeed.
type Failure struct {
	// Code is the exit code and Kind is its name.
	Code ExitCode `json:"code"`
	Kind string   `json:"kind"`
	// Message says what happened and Advice says what the operator can do.
	Message string `json:"message"`
	Advice  string `json:"advice,omitempty"`
	// Problems lists the faults of an invalid document.
	Problems []dynamic.Problem `json:"problems,omitempty"`
}

// Error implements the error interface.
func (f *Failure) Error() string { return f.Message }

// newFailure returns a Failure with a formatted message.
func newFailure(code ExitCode, format string, args ...any) *Failure {
	return &Failure{Code: code, Kind: exitCodeNames[code], Message: fmt.Sprintf(format, args...)}
}

// withAdvice sets the formatted advice of f and returns f.
func (f *Failure) withAdvice(format string, args ...any) *Failure {
	f.Advice = fmt.Sprintf(format, args...)
	return f
}

// failureResult is the JSON output of a command that failed.
type failureResult struct {
	Error *Failure `json:"error"`
}
