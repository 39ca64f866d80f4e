package stand

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Record is the file in which a case notes what was sent, answered and run. It is safe for
// concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates record.txt in a case's folder.
func NewRecord(folder string) (*Record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{file: f, began: time.Now()}, nil
}

// Add adds a line, with the time since the begin.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A line that can't be written shows in the record by its absence.
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Main runs a case with its folder and whether its disruption happens, and exits with its
// code. The folder is the program's only argument.
func Main(run func(r *Record, dir string, trouble bool) (broken []string, err error)) {
	os.Exit(mainCode(run))
}

func mainCode(run func(r *Record, dir string, trouble bool) ([]string, error)) int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM FOLDER-OF-THE-CASE")
		return ExitNotRun
	}
	r, err := NewRecord(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitNotRun
	}
	defer r.file.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("kept:", dir)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.Add("begin, trouble %t", trouble)
	broken, err := run(r, dir, trouble)
	if err != nil {
		r.Add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return ExitNotRun
	}
	for _, b := range broken {
		r.Add("BROKEN: %s", b)
	}
	if len(broken) > 0 {
		fmt.Printf("the rule was broken %d times\n", len(broken))
		return ExitBroken
	}
	r.Add("the rule held")
	fmt.Println("the rule held")
	return ExitHeld
}
