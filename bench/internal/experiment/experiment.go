// Package experiment runs the project's experiments and prints their figures.
package experiment

import (
	"github.com/fuchsiashed/fuchsiashed/bench/internal/figures"
)

// Experiment is one group of figures.
type Experiment struct {
	Name    string
	Summary string
	// Processes says that it measures running processes and is left out without them.
	NeedsProcesses bool
	Run            func(p *figures.Printer, procs *Processes) error
}

// All returns the experiments in the order in which they run.
func All() []Experiment {
	return []Experiment{
		modelExperiment("Ways", "the ways of dispatching on the same traces of both deployments", compareStrategies),
		modelExperiment("TakeOver", "a dispatcher dies, with and without standing grants", measureTakeOver),
		modelExperiment("Crashing", "one request that crashes its targets and is sent again", measureCrashing),
		modelExperiment("Slopes", "CPU and bytes of a dispatcher and its links by the size of a region", measureScaling),
		modelExperiment("Memory", "memory of a dispatcher by what it holds", measureMemory),
		modelExperiment("Messages", "size and CPU of each part of a message between router and dispatcher", measureMessages),
		{Name: "Changes", Summary: "changes and ledger calls at running control replicas", NeedsProcesses: true, Run: measureChanges},
		{Name: "Fill", Summary: "a thousand changes, without a figure", NeedsProcesses: true, Run: makeChanges},
		{Name: "Election", Summary: "the longest time without an answer of control", NeedsProcesses: true, Run: measureElection},
		{Name: "InForce", Summary: "the time until a change is in force at all processes", NeedsProcesses: true, Run: measureInForce},
		{Name: "Router", Summary: "a running router beside direct calls to the same targets", NeedsProcesses: true, Run: measureRouter},
	}
}

// modelled makes an experiment that needs no running processes.
func modelExperiment(name, summary string, run func(p *figures.Printer) error) Experiment {
	return Experiment{Name: name, Summary: summary, Run: func(p *figures.Printer, _ *Processes) error { return run(p) }}
}

// seed is that of all traces.
const traceSeed = 1
