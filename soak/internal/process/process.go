// Package process starts, signals and stops the child processes of a deployment. It never
// touches a process that it did not start.
package process

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is a child process that can be started again after it has exited. Its methods are
// safe for concurrent use.
type Process struct {
	Name string
	// Args holds the path of the program, followed by its arguments.
	Args []string
	// Log is the path of the file to which standard output and standard error are appended.
	Log string

	mu sync.Mutex
	// cmd is nil while the process is not running.
	cmd *exec.Cmd
	// exited is closed when the current process has exited.
	exited chan struct{}
	// exitExpected is set once a terminating signal was sent to the current process.
	exitExpected bool
	// unexpectedExits counts the exits that no terminating signal preceded.
	unexpectedExits int
}

// Start starts the process. It does nothing if the process is already running.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	log, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer log.Close()
	cmd := exec.Command(p.Args[0], p.Args[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	// The kernel kills the process when the soak ends, even if the soak itself is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
	}
	p.cmd, p.exited, p.exitExpected = cmd, make(chan struct{}), false
	go p.wait(cmd, p.exited)
	return nil
}

func (p *Process) wait(cmd *exec.Cmd, exited chan struct{}) {
	// The exit status is ignored: only unexpected exits matter, and the log shows their cause.
	_ = cmd.Wait()
	p.mu.Lock()
	if !p.exitExpected {
		p.unexpectedExits++
	}
	p.cmd = nil
	p.mu.Unlock()
	close(exited)
}

// Signal sends sig to the process if it is running. terminates must be set for a signal that
// ends the process; otherwise the exit counts as unexpected.
func (p *Process) Signal(sig syscall.Signal, terminates bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	p.exitExpected = p.exitExpected || terminates
	// The error is ignored: the process may have just exited.
	_ = p.cmd.Process.Signal(sig)
}

// Kill sends SIGKILL and waits up to a minute for the process to exit.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL, true)
	p.Wait(time.Minute)
}

// Wait waits for the process to exit and returns false if it is still running after timeout.
func (p *Process) Wait(timeout time.Duration) bool {
	p.mu.Lock()
	running, exited := p.cmd != nil, p.exited
	p.mu.Unlock()
	if !running {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// UnexpectedExits returns how often the process exited without a terminating signal from
// Signal or Kill.
func (p *Process) UnexpectedExits() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unexpectedExits
}
