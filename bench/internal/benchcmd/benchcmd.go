// Package benchcmd implements the command line of fuchsiashed-bench.
package benchcmd

import (
	"fmt"
	"net/netip"
	"regexp"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/bench/internal/experiment"
	"github.com/fuchsiashed/fuchsiashed/bench/internal/figures"
	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/iostreams"
	"github.com/fuchsiashed/fuchsiashed/fleet/program"
)

const programName = "fuchsiashed-bench"

// options are the command-line flags of the program.
type options struct {
	Only     string `long:"only" value-name:"REGEXP" description:"run only the experiments whose names match"`
	List     bool   `long:"list" description:"list the experiments and exit"`
	JSONFile string `long:"json" value-name:"FILE" description:"also write the figures to FILE as JSON"`
	AddFile  string `long:"add" value-name:"FILE" description:"also write the figures of FILE, which an earlier run wrote"`

	Figures map[string]string `long:"figure" key-value-delimiter:"=" value-name:"NAME=VALUE UNIT" description:"print and write a figure that another program measured; may be repeated"`

	Label   string         `long:"label" value-name:"WORD" default:"Processes" description:"part of the names of the figures of the control replicas"`
	Control []address      `long:"control" value-name:"IP:PORT" description:"control replica; may be repeated"`
	Admin   []address      `long:"admin" value-name:"IP:PORT" description:"operators' address of a router or dispatcher; may be repeated"`
	Router  address        `long:"router" value-name:"IP:PORT" description:"address of a router for callers"`
	Plain   address        `long:"plain" value-name:"IP:PORT" description:"stand-in target of the service plain"`
	Model   address        `long:"model" value-name:"IP:PORT" description:"stand-in target of the service model"`
	Key     string         `long:"key" description:"bearer key of the customer"`
	PIDs    map[string]int `long:"pid" value-name:"ROLE:PID" description:"process to measure, Router, Dispatcher or Control; may be repeated"`
}

// address is an address and port on the command line.
type address struct {
	netip.AddrPort
}

// UnmarshalFlag implements flags.Unmarshaler. The value has the form IP:PORT.
func (a *address) UnmarshalFlag(value string) error {
	return a.UnmarshalText([]byte(value))
}

// processes returns the running processes that the options name, or nil if they name
// neither a control replica nor a router.
func (o *options) processes() *experiment.Processes {
	if len(o.Control) == 0 && !o.Router.IsValid() {
		return nil
	}
	procs := &experiment.Processes{
		Label: o.Label, Router: o.Router.AddrPort, PlainTarget: o.Plain.AddrPort, ModelTarget: o.Model.AddrPort, CustomerKey: o.Key,
		PIDs: map[fleet.Role]int{},
	}
	for _, a := range o.Control {
		procs.Control = append(procs.Control, a.AddrPort)
	}
	for _, a := range o.Admin {
		procs.Admin = append(procs.Admin, a.AddrPort)
	}
	for role, pid := range o.PIDs {
		procs.PIDs[fleet.Role(role)] = pid
	}
	return procs
}

const examples = `fuchsiashed-bench --only '^Ways$' --json ways.json
  fuchsiashed-bench --list`

// Main runs the program with its command-line arguments, without the program name, and
// returns the exit code: ExitOK, ExitUsage for a wrong argument, ExitError otherwise.
func Main(io *iostreams.IOStreams, args []string) int {
	var opts options
	parser := flags.NewNamedParser(programName, flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "measures the decisions and processes of a fleet"
	parser.LongDescription = parser.ShortDescription + "\n\nExamples:\n  " + examples
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		fmt.Fprintln(io.Err, err)
		return program.ExitError
	}
	extra, err := parser.ParseArgs(args)
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		fmt.Fprintln(io.Out, flagsErr.Message)
		return program.ExitOK
	}
	if err == nil && len(extra) > 0 {
		err = errors.Errorf("argument %q is unknown", extra[0])
	}
	if err != nil {
		fmt.Fprintln(io.Err, err)
		return program.ExitUsage
	}
	return run(io, &opts, fleet.SystemClock{})
}

func run(io *iostreams.IOStreams, opts *options, clock fleet.Clock) int {
	nameFilter, err := regexp.Compile(opts.Only)
	if err != nil {
		fmt.Fprintf(io.Err, "--only is not a regular expression: %v\n", err)
		return program.ExitUsage
	}
	if opts.List {
		for _, e := range experiment.All() {
			fmt.Fprintf(io.Out, "%s\t%s\n", e.Name, e.Summary)
		}
		return program.ExitOK
	}
	p := figures.NewPrinter(io.Out)
	if opts.AddFile != "" {
		if err := p.ReadFile(opts.AddFile); err != nil {
			fmt.Fprintln(io.Err, err)
			return program.ExitError
		}
	}
	if err := printExternal(p, opts.Figures); err != nil {
		fmt.Fprintln(io.Err, err)
		return program.ExitUsage
	}
	if err := runExperiments(io, p, nameFilter, opts.processes(), clock); err != nil {
		fmt.Fprintln(io.Err, err)
		return program.ExitError
	}
	if opts.JSONFile != "" {
		if err := p.WriteFile(opts.JSONFile, clock.Now()); err != nil {
			fmt.Fprintln(io.Err, err)
			return program.ExitError
		}
	}
	return program.ExitOK
}

// printExternal prints figures that other programs measured. It maps the name of a figure
// to its value and unit.
func printExternal(p *figures.Printer, external map[string]string) error {
	for name, text := range external {
		var value float64
		var unit string
		if _, err := fmt.Sscan(text, &value, &unit); err != nil {
			return errors.Wrapf(err, "figure %s has value %q; write VALUE UNIT", name, text)
		}
		p.Print(name, value, unit)
	}
	return nil
}

// runExperiments runs the experiments whose names match nameFilter. Those that need running
// processes are skipped if procs is nil.
func runExperiments(io *iostreams.IOStreams, p *figures.Printer, nameFilter *regexp.Regexp, procs *experiment.Processes, clock fleet.Clock) error {
	for _, e := range experiment.All() {
		if !nameFilter.MatchString(e.Name) || e.NeedsProcesses && procs == nil {
			continue
		}
		began := clock.Now()
		if err := e.Run(p, procs); err != nil {
			return errors.Wrapf(err, "experiment %s", e.Name)
		}
		fmt.Fprintf(io.Err, "%s took %s\n", e.Name, clock.Now().Sub(began).Round(time.Millisecond))
	}
	return nil
}
