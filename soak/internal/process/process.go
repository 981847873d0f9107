// Package process runs the processes of a deployment and ends only those.
package process

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is a program that may be started more than once.
type Process struct {
	Name string
	// Args are the program and its arguments.
	Args []string
	// Log is the file to which its output is added.
	Log string

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	ordered bool
	// strays counts the ends that nobody ordered.
	strays int
}

// Start starts the process, if it does not run.
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
	// The process ends with the soak, also when the soak is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
	}
	p.cmd, p.done, p.ordered = cmd, make(chan struct{}), false
	go p.wait(cmd, p.done)
	return nil
}

func (p *Process) wait(cmd *exec.Cmd, done chan struct{}) {
	// How it ended is told by its log; that it ended without an order is what counts.
	_ = cmd.Wait()
	p.mu.Lock()
	if !p.ordered {
		p.strays++
	}
	p.cmd = nil
	p.mu.Unlock()
	close(done)
}

// Signal sends a signal, if the process runs. One that ends it must be said to.
func (p *Process) Signal(s syscall.Signal, ends bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	p.ordered = p.ordered || ends
	// A process that has just ended takes no signal.
	_ = p.cmd.Process.Signal(s)
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL, true)
	p.Wait(time.Minute)
}

// Wait waits for the end of the process and says whether it came.
func (p *Process) Wait(limit time.Duration) bool {
	p.mu.Lock()
	running, done := p.cmd != nil, p.done
	p.mu.Unlock()
	if !running {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

// Strays returns how often the process ended without an order.
func (p *Process) Strays() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.strays
}
