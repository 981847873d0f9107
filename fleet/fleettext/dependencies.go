package fleettext

import (
	"slices"
	"strings"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

func sortNames(n []fleet.DataCentreName) { slices.Sort(n) }

// findCycle returns the services of one dependency cycle, such as "a -> b -> a",
// or "" when there is none.
func findCycle(f *fleet.Fleet) string {
	const (
		unseen = iota
		open
		done
	)
	state := map[fleet.ServiceName]int{}
	var path []string
	var visit func(n fleet.ServiceName) string
	visit = func(n fleet.ServiceName) string {
		path = append(path, string(n))
		defer func() { path = path[:len(path)-1] }()
		if state[n] == open {
			return strings.Join(path[slices.Index(path, string(n)):], " -> ")
		}
		if state[n] == done {
			return ""
		}
		state[n] = open
		for _, dep := range f.Services[n].DependsOn {
			if cycle := visit(dep); cycle != "" {
				return cycle
			}
		}
		state[n] = done
		return ""
	}
	for _, n := range f.ServiceNames() {
		if cycle := visit(n); cycle != "" {
			return cycle
		}
	}
	return ""
}

// IsIdempotent says whether a call with the method and path below the service's
// root may be repeated.
func IsIdempotent(s fleet.Service, method, path string) bool {
	for _, pattern := range s.Idempotent {
		m, p, _ := strings.Cut(pattern, " ")
		if m != method {
			continue
		}
		if prefix, ok := strings.CutSuffix(p, "*"); ok && strings.HasPrefix(path, prefix) || p == path {
			return true
		}
	}
	return false
}
