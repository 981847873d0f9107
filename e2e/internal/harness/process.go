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

// Process is one process of a fleet. It is started, ended and started again.
type Process struct {
	// Name names the process, its settings file and its log.
	Name string
	// Address is where its peers or callers reach it.
	Address string
	// Admin is its operators' address.
	Admin string

	program string
	folder  string
	cmd     *exec.Cmd
	ended   chan struct{}
}

// LogFile returns the path of the process's log, which grows over restarts.
func (p *Process) LogFile() string { return filepath.Join(p.folder, p.Name+".log") }

// Start starts the process.
func (p *Process) Start() error {
	log, err := os.OpenFile(p.LogFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer log.Close()
	cmd := exec.Command(p.program, "--settings", filepath.Join(p.folder, p.Name+".ini"))
	cmd.Stdout, cmd.Stderr = log, log
	// The process ends with the test program, however that ends.
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

// Kill ends the process without warning.
func (p *Process) Kill() error { return p.signalAndWait(syscall.SIGKILL, 5*time.Second) }

// Stop asks the process to stop and waits until it did.
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

// Freeze stops the process in its tracks until Wake.
func (p *Process) Freeze() error {
	return errors.Wrapf(p.cmd.Process.Signal(syscall.SIGSTOP), "freeze %s", p.Name)
}

// Wake lets a frozen process go on.
func (p *Process) Resume() error {
	return errors.Wrapf(p.cmd.Process.Signal(syscall.SIGCONT), "wake %s", p.Name)
}

// Running says whether the process runs.
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

// Tail returns the last lines of the log.
func (p *Process) Tail(lines int) string {
	raw, err := os.ReadFile(p.LogFile())
	if err != nil {
		return err.Error()
	}
	all := strings.Split(strings.TrimSpace(string(raw)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}
