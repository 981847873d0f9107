// Package fairshare divides the capacity of the model engines among customers that
// together ask for more than there is.
package fairshare

import (
	"cmp"
	"slices"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Demand is what customers ask for, in tokens a second.
type Demand map[fleet.CustomerName]float64

// Level returns the max-min level: every customer gets what it asks for up to the
// level, and those that ask for more get the level. It is 0 when all demand fits.
func Level(demand Demand, capacity float64) float64 {
	asked := make([]float64, 0, len(demand))
	total := 0.0
	for _, d := range demand {
		asked = append(asked, d)
		total += d
	}
	if total <= capacity {
		return 0
	}
	slices.Sort(asked)
	left := capacity
	for i, d := range asked {
		level := left / float64(len(asked)-i)
		if d > level {
			return level
		}
		left -= d
	}
	return 0
}

// Admitted returns the part of each customer's demand that its max-min share covers,
// for the customers that ask for more than it.
func Admitted(demand Demand, capacity float64) []fleet.CustomerShare {
	level := Level(demand, capacity)
	if capacity == 0 || level == 0 {
		return nil
	}
	var out []fleet.CustomerShare
	for c, d := range demand {
		if d > level {
			out = append(out, fleet.CustomerShare{Customer: c, Admitted: level / d})
		}
	}
	slices.SortFunc(out, func(a, b fleet.CustomerShare) int { return cmp.Compare(a.Customer, b.Customer) })
	return out
}

// minBalanceFactor is the least part of its share to which a customer is held back for having
// got more than the others: their work may not be of the kind that engines are free for.
const minBalanceFactor = 0.5

// Balanced returns the shares of Admitted, less for customers that got more than the mean
// of all that are held to a share. What is admitted is not yet served: a router refuses
// what would be late, and a router with many callers of one customer refuses more. The
// others' surplus is then what that customer lacks.
func Balanced(demand, served Demand, capacity float64) []fleet.CustomerShare {
	out := Admitted(demand, capacity)
	mean := 0.0
	for _, s := range out {
		mean += served[s.Customer] / float64(len(out))
	}
	for i := range out {
		if g := served[out[i].Customer]; g > mean {
			out[i].Admitted *= max(minBalanceFactor, mean/g)
		}
	}
	return out
}
