// Package experiment runs the project's experiments and prints their figures.
package experiment

import (
	"github.com/fuchsiashed/fuchsiashed/bench/internal/figures"
)

// Experiment is one group of figures.
type Experiment struct {
	Name    string
	Summary string
	Run     func(p *figures.Printer) error
}

// All returns the experiments in the order in which they run.
func All() []Experiment {
	return []Experiment{
		{Name: "Ways", Summary: "the ways of dispatching on the same traces of both deployments", Run: ways},
		{Name: "TakeOver", Summary: "a dispatcher dies, with and without standing grants", Run: takeOver},
		{Name: "Slopes", Summary: "CPU and bytes of a dispatcher and its links by the size of a region", Run: slopes},
		{Name: "Memory", Summary: "memory of a dispatcher by what it holds", Run: memory},
		{Name: "Messages", Summary: "size and CPU of each part of a message between router and dispatcher", Run: messageParts},
	}
}

// seed is that of all traces.
const seed = 1
