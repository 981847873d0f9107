package harness

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Target describes a stand-in target of a Config.
type Target struct {
	Name       string
	Service    string
	Protocol   string
	DataCentre string
	Slots      int
	// Extra holds further lines of the section [Target].
	Extra string
}

// Config describes the fleet that New prepares.
type Config struct {
	// Bin is the folder with the programs, Folder the one for settings, logs and data.
	Bin    string
	Folder string
	// FleetText is the configuration that Start applies.
	FleetText string
	// Control, Dispatchers and Routers are numbers of processes.
	Control     int
	Dispatchers int
	Routers     int
	Targets     []Target
}

// Fleet holds the processes of a fleet, in the order of their numbers.
type Fleet struct {
	Control     []*Process
	Dispatchers []*Process
	Routers     []*Process
	Targets     []*Process

	cfg Config
	// announceAddresses lists the routers' addresses for announcements of targets.
	announceAddresses []string
}

// startTimeout limits each step of a fleet's start.
const startTimeout = 20 * time.Second

// New chooses the addresses of a fleet's processes and writes their settings files. Start
// starts the processes.
func New(cfg Config) (*Fleet, error) {
	f := &Fleet{cfg: cfg}
	steps := []func() error{f.addControl, f.addDispatchers, f.addRouters, f.addTargets}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// dataCentreOf assigns process i alternately to the data centres dc-a and dc-b.
func dataCentreOf(i int) string { return []string{"dc-a", "dc-b"}[i%2] }

// addProcess returns a process with free addresses and writes the text that settings
// returns to its settings file. If settings is nil, it writes no file.
func (f *Fleet) addProcess(name, program string, settings func(p *Process) (string, error)) (*Process, error) {
	p := &Process{Name: name, program: filepath.Join(f.cfg.Bin, program), folder: f.cfg.Folder}
	var err error
	if p.Address, err = freeAddress(); err != nil {
		return nil, err
	}
	if p.Admin, err = freeAddress(); err != nil {
		return nil, err
	}
	if settings == nil {
		return p, nil
	}
	text, err := settings(p)
	if err != nil {
		return nil, err
	}
	return p, f.writeSettings(p, text)
}

func (f *Fleet) writeSettings(p *Process, text string) error {
	return errors.Wrap(os.WriteFile(filepath.Join(f.cfg.Folder, p.Name+".ini"), []byte(text), 0o644), "write settings")
}

func hostSection(p *Process, i int) string {
	return fmt.Sprintf("[Host]\nHost = %s\nDataCentre = %s\nAdmin = %s\n", p.Name, dataCentreOf(i), p.Admin)
}

func (f *Fleet) addControl() error {
	var members []string
	for i := range f.cfg.Control {
		p, err := f.addProcess(fmt.Sprintf("control-%d", i+1), "fuchsiashed-control", nil)
		if err != nil {
			return err
		}
		f.Control = append(f.Control, p)
		members = append(members, p.Name+"@"+p.Address)
	}
	for i, p := range f.Control {
		text := hostSection(p, i) + fmt.Sprintf("[Control]\nListen = %s\nDataFolder = %s\nBootstrap = true\nSnapshotEntries = 50\n[Replicas]\nMembers = %s\n",
			p.Address, f.DataFolder(p), strings.Join(members, ", "))
		if err := f.writeSettings(p, text); err != nil {
			return err
		}
	}
	return nil
}

// DataFolder returns the path of a control replica's data folder.
func (f *Fleet) DataFolder(p *Process) string { return filepath.Join(f.cfg.Folder, p.Name) }

func addresses(list []*Process) string {
	var s []string
	for _, p := range list {
		s = append(s, p.Address)
	}
	return strings.Join(s, ",")
}

func (f *Fleet) controlSection() string {
	return "[Control]\nReplicas = " + addresses(f.Control) + "\n"
}

func (f *Fleet) addDispatchers() error {
	for i := range f.cfg.Dispatchers {
		p, err := f.addProcess(fmt.Sprintf("dispatcher-%d", i+1), "fuchsiashed-dispatcher", func(p *Process) (string, error) {
			return hostSection(p, i) + "[Dispatcher]\nListen = " + p.Address + "\n" + f.controlSection(), nil
		})
		if err != nil {
			return err
		}
		f.Dispatchers = append(f.Dispatchers, p)
	}
	return nil
}

func (f *Fleet) addRouters() error {
	for i := range f.cfg.Routers {
		p, err := f.addProcess(fmt.Sprintf("router-%d", i+1), "fuchsiashed-router", func(p *Process) (string, error) {
			targets, err := freeAddress()
			if err != nil {
				return "", err
			}
			f.announceAddresses = append(f.announceAddresses, targets)
			return hostSection(p, i) + fmt.Sprintf("[Router]\nCallers = %s\nTargets = %s\nEventLog = %s\n", p.Address, targets, f.EventLog(p)) +
				f.controlSection() + "[Dispatchers]\nAddresses = " + addresses(f.Dispatchers) + "\n", nil
		})
		if err != nil {
			return err
		}
		f.Routers = append(f.Routers, p)
	}
	return nil
}

func (f *Fleet) addTargets() error {
	for _, t := range f.cfg.Targets {
		p, err := f.addProcess(t.Name, "fuchsiashed-standin", func(p *Process) (string, error) {
			return fmt.Sprintf("[Target]\nTarget = %s\nService = %s\nDataCentre = %s\nListen = %s\nSlots = %d\nProtocol = %s\nRecord = %s\n%s\n[Routers]\nAnnounce = %s\n",
				t.Name, t.Service, t.DataCentre, p.Address, t.Slots, t.Protocol, f.RecordFile(p), t.Extra, strings.Join(f.announceAddresses, ",")), nil
		})
		if err != nil {
			return err
		}
		f.Targets = append(f.Targets, p)
	}
	return nil
}

// EventLog returns the path of a router's event log.
func (f *Fleet) EventLog(p *Process) string { return filepath.Join(f.cfg.Folder, p.Name+".events") }

// RecordFile returns the path of the file in which a target records its runs.
func (f *Fleet) RecordFile(p *Process) string { return filepath.Join(f.cfg.Folder, p.Name+".record") }

// All returns all processes in the order in which they are started.
func (f *Fleet) All() []*Process {
	var all []*Process
	for _, list := range [][]*Process{f.Control, f.Dispatchers, f.Routers, f.Targets} {
		all = append(all, list...)
	}
	return all
}

// Start starts all processes, applies the configuration and waits until all targets serve.
func (f *Fleet) Start() error {
	for _, p := range f.All() {
		if err := p.Start(); err != nil {
			return err
		}
	}
	if err := Eventually(startTimeout, func() error { return errorOf(f.CLI("control", "status")) }); err != nil {
		return errors.Wrap(err, "wait for a control leader")
	}
	path := filepath.Join(f.cfg.Folder, "fleet.ini")
	if err := os.WriteFile(path, []byte(f.cfg.FleetText), 0o644); err != nil {
		return errors.Wrap(err, "write fleet text")
	}
	if _, err := f.CLI("fleet", "apply", path); err != nil {
		return err
	}
	if len(f.Targets) == 0 {
		return nil
	}
	return errors.Wrap(f.AwaitServing(startTimeout, len(f.Targets)), "wait for targets")
}

// AwaitServing waits until the active dispatcher lists exactly n serving targets.
func (f *Fleet) AwaitServing(limit time.Duration, n int) error {
	return Eventually(limit, func() error {
		list, err := f.TargetStates()
		if err != nil {
			return err
		}
		serving := 0
		for _, t := range list {
			if t.State == "Serving" {
				serving++
			}
		}
		if serving != n {
			return errors.Errorf("%d of %d targets serve: %+v", serving, n, list)
		}
		return nil
	})
}

// Close kills all running processes.
func (f *Fleet) Close() {
	for _, p := range f.All() {
		if p.Running() {
			// SIGKILL also ends a frozen process.
			_ = p.Kill()
		}
	}
}

// Eventually repeats a check until it passes. After the limit it returns the last error.
func Eventually(limit time.Duration, check func() error) error {
	for end := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		err := check()
		if err == nil || time.Now().After(end) {
			return errors.Wrapf(err, "check still fails after %s", limit)
		}
	}
}

// errorOf returns the error of a call and discards its value.
func errorOf[T any](_ T, err error) error { return err }
