// Package process runs child processes for tests: it starts, signals and kills them,
// and appends their output to log files.
package process

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Process is a program that runs as a child process and can be started again after
// the process has ended. All methods but WithEnv and Start need a process that has
// been started. Start must not run concurrently with other methods.
type Process struct {
	// Name names the process in errors and its log file.
	Name string
	// LogPath is the path of the file to which the output is appended.
	LogPath string

	// path is the path of the executable.
	path string
	args []string
	env  []string

	cmd *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
}

// New returns a process that runs the executable at path and has not been started.
// Its output goes to the file name.log in dir.
func New(dir, name, path string, args ...string) *Process {
	return &Process{Name: name, path: path, args: args, LogPath: filepath.Join(dir, name+".log")}
}

// WithEnv adds a variable, in the form NAME=VALUE, to the environment of the process.
// It returns p.
func (p *Process) WithEnv(variable string) *Process {
	p.env = append(p.env, variable)
	return p
}

// Start starts the process. An earlier process of p must have ended.
func (p *Process) Start() error {
	out, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "opening the log file of a process")
	}
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), p.env...)
	if err := cmd.Start(); err != nil {
		return errors.CombineErrors(errors.Wrapf(err, "starting %s", p.Name), out.Close())
	}
	exited := make(chan struct{})
	go func() {
		// ExitCode reads the exit code from the process state, so the error is
		// not needed.
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
	p.cmd, p.exited = cmd, exited
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error {
	return errors.Wrapf(p.cmd.Process.Signal(s), "signalling %s", p.Name)
}

// Kill ends the process with SIGKILL and waits until it has ended.
func (p *Process) Kill() {
	// An error says that the process has ended already.
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Exited returns a channel that is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// HasExited reports whether the process has ended.
func (p *Process) HasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// ExitCode waits until the process has ended and returns its exit code; -1 if a
// signal ended it.
func (p *Process) ExitCode() int {
	<-p.exited
	return p.cmd.ProcessState.ExitCode()
}

// PeakMemory returns the largest resident memory of the running process so far, in
// bytes.
func (p *Process) PeakMemory() (int64, error) {
	path := fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid)
	status, err := os.ReadFile(path)
	if err != nil {
		return 0, errors.Wrapf(err, "reading the memory of %s", p.Name)
	}
	for line := range strings.Lines(string(status)) {
		var kilobytes int64
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); err == nil {
			return kilobytes << 10, nil
		}
	}
	return 0, errors.Newf("%s does not say the memory of %s", path, p.Name)
}

// PID returns the id of the process that was last started.
func (p *Process) PID() int { return p.cmd.Process.Pid }
