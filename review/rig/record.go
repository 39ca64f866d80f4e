// Package rig holds what the cases of the review share: gateway processes, a store and
// engines that follow the users' pages, clients that see raw bytes, and a record of what
// was sent, answered and run. The cases use it; the tests of the project do not.
package rig

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Record is the record of a case. It is safe for concurrent use.
type Record struct {
	started time.Time

	mu         sync.Mutex
	file       *os.File
	out        *bufio.Writer
	violations int
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{started: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// Add adds a line with the time since the start in milliseconds.
func (r *Record) Add(format string, args ...any) {
	at := time.Since(r.started)
	r.mu.Lock()
	defer r.mu.Unlock()
	// The file is on a local disk; an error shows when the record is closed.
	_, _ = fmt.Fprintf(r.out, "%8.1f %s\n", float64(at.Microseconds())/1e3, fmt.Sprintf(format, args...))
}

// Violation adds a line that says how the rule was broken.
func (r *Record) Violation(format string, args ...any) {
	r.Add("BROKEN "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations++
}

// Millis returns a time as milliseconds since the start of the record.
func (r *Record) Millis(at time.Time) float64 {
	return float64(at.Sub(r.started).Microseconds()) / 1e3
}

// Finish writes the result and returns the exit code of the case. err says why the case
// could not run; nil if it ran.
func (r *Record) Finish(err error) int {
	code := exitHeld
	switch {
	case err != nil:
		r.Add("RESULT the case could not run: %v", err)
		code = exitNotRun
	case r.violations > 0:
		r.Add("RESULT the rule was broken %d times", r.violations)
		code = exitBroken
	default:
		r.Add("RESULT the rule held")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	flushErr, closeErr := r.out.Flush(), r.file.Close()
	if flushErr != nil || closeErr != nil {
		return exitNotRun
	}
	return code
}

// Trouble reports whether the case is to run with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }
