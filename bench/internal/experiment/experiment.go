// Package experiment runs the experiments of the benchmark program and prints their figures.
package experiment

import (
	"github.com/fuchsiashed/fuchsiashed/bench/internal/figures"
)

// Experiment is a measurement that prints a group of figures. Name is matched by the flag
// --only.
type Experiment struct {
	Name    string
	Summary string
	// NeedsProcesses is set if the experiment measures running processes; it is skipped if the
	// command line names none.
	NeedsProcesses bool
	// Run prints the figures to p. procs may be nil unless NeedsProcesses is set.
	Run func(p *figures.Printer, procs *Processes) error
}

// All returns the experiments in the order in which they run.
func All() []Experiment {
	return []Experiment{
		modelExperiment("Ways", "dispatching strategies on the same traces of both deployments", compareStrategies),
		modelExperiment("TakeOver", "a dispatcher dies, with and without standing grants", measureTakeOver),
		modelExperiment("Crashing", "one request that crashes its targets and is sent repeatedly", measureCrashing),
		modelExperiment("Slopes", "CPU and traffic of a dispatcher by the size of its region", measureScaling),
		modelExperiment("Memory", "memory of a dispatcher for each router, target, customer and request", measureMemory),
		modelExperiment("Messages", "size and CPU of each kind of entry in messages between router and dispatcher", measureMessages),
		{Name: "Changes", Summary: "changes and ledger calls at running control replicas", NeedsProcesses: true, Run: measureChanges},
		{Name: "Fill", Summary: "a thousand changes before a restart; prints no figure", NeedsProcesses: true, Run: makeChanges},
		{Name: "Election", Summary: "the longest time between two replies of control", NeedsProcesses: true, Run: measureElection},
		{Name: "InForce", Summary: "the time until a change is in force at all processes", NeedsProcesses: true, Run: measureInForce},
		{Name: "Router", Summary: "a running router compared with direct calls to the same targets", NeedsProcesses: true, Run: measureRouter},
	}
}

// modelExperiment returns an experiment that needs no running processes.
func modelExperiment(name, summary string, run func(p *figures.Printer) error) Experiment {
	return Experiment{Name: name, Summary: summary, Run: func(p *figures.Printer, _ *Processes) error { return run(p) }}
}

// traceSeed is the seed of all traces.
const traceSeed = 1
