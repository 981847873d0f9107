// Package weighting names routers to callers according to their capacities. A caller picks at random
// among the routers that it is named, so that a router gets work in proportion to the callers that it
// is named to. Each router has a weight, and is named to the callers whose hash for it is below the
// weight: a caller is named the same routers each time, and a change of one weight moves only the
// callers between the old and the new one.
package weighting

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// MinRouters is the minimum number of routers that a caller is named, if there are as many. The
// callers of a data centre with fewer are named those of others as well.
const MinRouters = 8

const (
	// minWeight is the minimum weight. Each router gets some callers, so that one that is much
	// smaller than the largest of its data centre is in use too.
	minWeight = 1.0 / 16
	// tolerance is the rounding error that sums of capacities may have.
	tolerance = 1e-6
)

// Capacity is the processor time of routers, as a multiple of the mean of the routers of a data
// centre.
type Capacity float64

// All is the capacity in use if all routers of a data centre are.
var All = Capacity(math.Inf(1))

// Router is a router that callers may use.
type Router struct {
	Address    netip.AddrPort
	DataCentre fleet.DataCentreName
	// Name is Address in text form.
	Name string
	// Room is the newest report of the router's capacity; the zero value if there is none.
	Room fleet.Room
	// Diverted is true if the router sheds the caller.
	Diverted bool
}

// Query asks for the routers of one caller.
type Query struct {
	// Near is the caller's data centre.
	Near fleet.DataCentreName
	// Caller identifies the caller permanently.
	Caller string
	// InUse is the capacity of the routers of Near that its callers are to use.
	InUse Capacity
}

// Answer has the routers that a caller is named.
type Answer struct {
	// Routers has those of the caller's data centre first.
	Routers []Router
	// Omitted has the routers in use that are left out because of their weights.
	Omitted []Router
}

// Pick returns the routers for a caller: those in use in its data centre, in an order that is the
// same at all control hosts, or all of its routers and then the others if their capacity is less
// than Query.InUse. Of these it names the ones whose weight is above the caller's hash, and at least
// MinRouters. With equal rooms it names all of them.
func Pick(routers []Router, q Query) Answer {
	var local, others []*Router
	for i := range routers {
		if routers[i].DataCentre == q.Near {
			local = append(local, &routers[i])
		} else {
			others = append(others, &routers[i])
		}
	}
	picked, enough := inUse(order(local, q), q.InUse)
	if !enough {
		picked = append(picked, order(others, q)...)
	}
	return include(picked, q.Caller)
}

// candidate is a router that an answer may name.
type candidate struct {
	*Router
	capacity Capacity
	// share is the part of the weight that depends on the processor time alone.
	share  float64
	weight float64
	// position orders the candidates, hash those with the same position.
	position float64
	hash     uint64
}

// order returns the routers that do not divert the caller. Their order depends on their names and
// processor times alone; those with more processor time tend to come first, so that fewer routers
// are in use.
func order(routers []*Router, q Query) []candidate {
	weighed := weigh(routers)
	out := weighed[:0]
	for _, c := range weighed {
		if c.Diverted {
			continue
		}
		c.hash = xxhash.Sum64String(string(q.Near) + " " + c.Name)
		c.position = -math.Log1p(-float64(c.hash)/(1<<64)) / float64(c.capacity)
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.hash, b.hash))
	})
	return out
}

// inUse returns the first candidates that have the capacity wanted and among which callers find
// MinRouters by their weights. It reports whether there is enough of the former.
func inUse(ordered []candidate, wanted Capacity) ([]candidate, bool) {
	sum, shares := Capacity(0), 0.0
	enough := func(n int) bool { return n >= MinRouters && sum >= wanted-tolerance }
	for n, c := range ordered {
		if enough(n) && shares >= MinRouters-tolerance {
			return ordered[:n], true
		}
		sum += c.capacity
		shares += c.share
	}
	return ordered, enough(len(ordered))
}

// include returns the candidates that a caller is named.
func include(candidates []candidate, caller string) Answer {
	type scored struct {
		index int
		score float64
	}
	included := make([]bool, len(candidates))
	named := 0
	rest := make([]scored, 0, len(candidates))
	for i, c := range candidates {
		hash := float64(xxhash.Sum64String(caller+" "+c.Name)) / (1 << 64)
		if included[i] = hash < c.weight || c.weight >= 1; included[i] {
			named++
		} else {
			score := hash / c.weight
			if c.weight < c.share {
				// A router that gives up callers is the last one to get more of them.
				score += 1 / minWeight
			}
			rest = append(rest, scored{i, score})
		}
	}
	if missing := min(MinRouters-named, len(rest)); missing > 0 {
		slices.SortFunc(rest, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
		for _, s := range rest[:missing] {
			included[s.index] = true
		}
	}
	a := Answer{Routers: make([]Router, 0, len(candidates))}
	for i, c := range candidates {
		if included[i] {
			a.Routers = append(a.Routers, *c.Router)
		} else {
			a.Omitted = append(a.Omitted, *c.Router)
		}
	}
	return a
}
