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
	Processes bool
	Run       func(p *figures.Printer, procs *Processes) error
}

// All returns the experiments in the order in which they run.
func All() []Experiment {
	return []Experiment{
		modelled("Ways", "the ways of dispatching on the same traces of both deployments", ways),
		modelled("TakeOver", "a dispatcher dies, with and without standing grants", takeOver),
		modelled("Crashing", "one request that crashes its targets and is sent again", crashing),
		modelled("Slopes", "CPU and bytes of a dispatcher and its links by the size of a region", slopes),
		modelled("Memory", "memory of a dispatcher by what it holds", memory),
		modelled("Messages", "size and CPU of each part of a message between router and dispatcher", messageParts),
		{Name: "Changes", Summary: "changes and ledger calls at running control replicas", Processes: true, Run: changes},
		{Name: "Fill", Summary: "a thousand changes, without a figure", Processes: true, Run: fill},
		{Name: "Election", Summary: "the longest time without an answer of control", Processes: true, Run: election},
		{Name: "InForce", Summary: "the time until a change is in force at all processes", Processes: true, Run: inForce},
		{Name: "Router", Summary: "a running router beside direct calls to the same targets", Processes: true, Run: routerFigures},
	}
}

// modelled makes an experiment that needs no running processes.
func modelled(name, summary string, run func(p *figures.Printer) error) Experiment {
	return Experiment{Name: name, Summary: summary, Run: func(p *figures.Printer, _ *Processes) error { return run(p) }}
}

// seed is that of all traces.
const seed = 1
