package fleettext

import (
	"slices"
	"strings"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

func sortDataCentres(names []fleet.DataCentreName) { slices.Sort(names) }

// findCycle returns a dependency cycle between services, such as "a -> b -> a", or "" if
// there is none.
func findCycle(f *fleet.Fleet) string {
	const (
		unvisited = iota
		visiting
		visited
	)
	state := map[fleet.ServiceName]int{}
	var path []string
	var visit func(n fleet.ServiceName) string
	visit = func(n fleet.ServiceName) string {
		path = append(path, string(n))
		defer func() { path = path[:len(path)-1] }()
		if state[n] == visiting {
			return strings.Join(path[slices.Index(path, string(n)):], " -> ")
		}
		if state[n] == visited {
			return ""
		}
		state[n] = visiting
		for _, dep := range f.Services[n].DependsOn {
			if cycle := visit(dep); cycle != "" {
				return cycle
			}
		}
		state[n] = visited
		return ""
	}
	for _, n := range f.ServiceNames() {
		if cycle := visit(n); cycle != "" {
			return cycle
		}
	}
	return ""
}

// IsIdempotent reports whether the service's Idempotent patterns match a call. The path is
// relative to the service's root; a pattern that ends with * matches by prefix.
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
