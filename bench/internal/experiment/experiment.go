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
	}
}

// seed is that of all traces.
const seed = 1
