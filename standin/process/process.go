// Package process starts and signals child processes of tests.
package process

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Process is one process that can be started again after its end.
type Process struct {
	Name string
	// Log is the file that its output is appended to.
	Log string

	path string
	args []string
	env  []string

	cmd    *exec.Cmd
	exited chan struct{}
}

// New describes a process, whose output goes to a file in dir.
func New(dir, name, path string, args ...string) *Process {
	return &Process{Name: name, path: path, args: args, Log: filepath.Join(dir, name+".log")}
}

// WithEnv adds a variable, NAME=VALUE, to the process's environment.
func (p *Process) WithEnv(variable string) *Process {
	p.env = append(p.env, variable)
	return p
}

// Start runs the process.
func (p *Process) Start() error {
	out, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "opening the log of a process")
	}
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), p.env...)
	if err := cmd.Start(); err != nil {
		return errors.CombineErrors(errors.Wrapf(err, "starting %s", p.Name), out.Close())
	}
	exited := make(chan struct{})
	go func() {
		// The exit code is read from the process's state.
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

// Kill ends the process as a crash does and waits until it is gone.
func (p *Process) Kill() {
	// A process that has ended already can't be signalled.
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Exited is closed at the process's end.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Gone reports whether the process has ended.
func (p *Process) Gone() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// ExitCode waits for the end of the process.
func (p *Process) ExitCode() int {
	<-p.exited
	return p.cmd.ProcessState.ExitCode()
}
