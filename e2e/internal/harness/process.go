package harness

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is a process of a fleet. It can be started again after it has ended.
type Process struct {
	// Name is the name of the process, and of its settings file and log without extension.
	Name string
	// Address is the listening address for peers or callers.
	Address string
	// Admin is the listening address for operators.
	Admin string

	program string
	folder  string
	cmd     *exec.Cmd
	ended   chan struct{}
}

// LogFile returns the path of the process's log, to which every start appends.
func (p *Process) LogFile() string { return filepath.Join(p.folder, p.Name+".log") }

// Start starts the process and returns without waiting until it is ready.
func (p *Process) Start() error {
	log, err := os.OpenFile(p.LogFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer log.Close()
	cmd := exec.Command(p.program, "--settings", filepath.Join(p.folder, p.Name+".ini"))
	cmd.Stdout, cmd.Stderr = log, log
	// The kernel kills the process when the test program ends, for whatever reason.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
	}
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	go func() {
		// The exit code is read from ProcessState.
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() error { return p.signalAndWait(syscall.SIGKILL, 5*time.Second) }

// Stop ends the process with SIGTERM and waits for its end. It fails if that takes longer
// than the limit or the exit code is not 0.
func (p *Process) Stop(limit time.Duration) error {
	if err := p.signalAndWait(syscall.SIGTERM, limit); err != nil {
		return err
	}
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		return errors.Errorf("%s ended with code %d", p.Name, code)
	}
	return nil
}

func (p *Process) signalAndWait(sig syscall.Signal, limit time.Duration) error {
	if err := p.cmd.Process.Signal(sig); err != nil {
		return errors.Wrapf(err, "end %s", p.Name)
	}
	select {
	case <-p.ended:
		return nil
	case <-time.After(limit):
		return errors.Errorf("%s did not end within %s", p.Name, limit)
	}
}

// Freeze suspends the process with SIGSTOP until Resume.
func (p *Process) Freeze() error {
	return errors.Wrapf(p.cmd.Process.Signal(syscall.SIGSTOP), "freeze %s", p.Name)
}

// Resume resumes a frozen process with SIGCONT.
func (p *Process) Resume() error {
	return errors.Wrapf(p.cmd.Process.Signal(syscall.SIGCONT), "resume %s", p.Name)
}

// Running reports whether the process was started and has not ended; a frozen process is
// running.
func (p *Process) Running() bool {
	if p.ended == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Tail returns the last lines of the log, or the error if it can't be read.
func (p *Process) Tail(lines int) string {
	raw, err := os.ReadFile(p.LogFile())
	if err != nil {
		return err.Error()
	}
	all := strings.Split(strings.TrimSpace(string(raw)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}
