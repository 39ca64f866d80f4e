// Package prooftest checks the ledgers and the services on the log against simple
// reference models, with sequences of actions and faults drawn by rapid.
//
// Every property is also run against an implementation that was broken on purpose
// and must then fail. RAPID_SEED and RAPID_CHECKS choose other cases. An action of
// a drawn sequence that doesn't apply yet skips itself, and another one is drawn;
// no property is skipped.
package prooftest

import (
	"flag"
	"os"
	"runtime"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// defaults are the flags of rapid that make each run draw the same cases. An
// environment variable that is set takes precedence over its default.
var defaults = []struct{ env, flag, value string }{
	{"RAPID_SEED", "rapid.seed", "1"},
	{"RAPID_CHECKS", "rapid.checks", "500"},
	{"RAPID_STEPS", "rapid.steps", "80"},
	{"RAPID_NOFAILFILE", "rapid.nofailfile", "true"},
}

func TestProof(t *testing.T) {
	RegisterFailHandler(Fail)
	for _, d := range defaults {
		if os.Getenv(d.env) == "" {
			setFlag(d.flag, d.value)
		}
	}
	RunSpecs(t, "Proof")
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// recorder is a rapid.TB that records a failure and does not fail the spec.
type recorder struct {
	GinkgoTInterface
	failed bool
}

func (r *recorder) Helper()               {}
func (r *recorder) Name() string          { return "broken on purpose" }
func (r *recorder) Logf(string, ...any)   {}
func (r *recorder) Log(...any)            {}
func (r *recorder) Error(...any)          { r.failed = true }
func (r *recorder) Errorf(string, ...any) { r.failed = true }
func (r *recorder) Fail()                 { r.failed = true }
func (r *recorder) Failed() bool          { return r.failed }
func (r *recorder) Fatal(...any)          { r.FailNow() }
func (r *recorder) Fatalf(string, ...any) { r.FailNow() }
func (r *recorder) FailNow()              { r.failed = true; runtime.Goexit() }

// fails reports whether rapid finds a counterexample to a property. It does not
// shrink the counterexample.
func fails(property func(*rapid.T)) bool {
	setFlag("rapid.shrinktime", "0s")
	defer setFlag("rapid.shrinktime", "30s")
	r := &recorder{GinkgoTInterface: GinkgoT()}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(r, property)
	}()
	<-done
	return r.failed
}
