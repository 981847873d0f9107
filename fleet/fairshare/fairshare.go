// Package fairshare divides the capacity of the model engines among customers whose
// total demand exceeds it.
package fairshare

import (
	"cmp"
	"slices"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Demand is the demand of each customer, in tokens a second.
type Demand map[fleet.CustomerName]float64

// Level returns the max-min fair level in tokens a second: customers below the level get
// all of their demand, and the others get the level. It is 0 if capacity covers all demand.
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

// Admitted returns, for each customer whose demand exceeds its max-min fair share, the
// fraction of the demand that the share covers. The result is sorted by customer.
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

// minBalanceFactor bounds how far Balanced reduces a customer's share. The others' requests
// may need engines other than those that the reduction frees.
const minBalanceFactor = 0.5

// Balanced returns the shares of Admitted, reduced for customers that were served more than
// the mean of all customers that are limited to a share. Admitted requests may still be
// refused by a router because they would be late, most often at a router with many callers
// of one customer; without the reduction the other customers would take that one's share.
func Balanced(demand, served Demand, capacity float64) []fleet.CustomerShare {
	out := Admitted(demand, capacity)
	mean := 0.0
	for _, s := range out {
		mean += served[s.Customer] / float64(len(out))
	}
	for i := range out {
		if rate := served[out[i].Customer]; rate > mean {
			out[i].Admitted *= max(minBalanceFactor, mean/rate)
		}
	}
	return out
}

// underservedFraction is the fraction of its share below which a customer is underserved. It leaves a
// margin above half, which each customer is to get.
const underservedFraction = 0.75

// Underserved returns the customers that were served much less than their max-min fair share of the
// capacity, sorted. It returns none while the capacity covers all demand.
func Underserved(demand, served Demand, capacity float64) []fleet.CustomerName {
	level := Level(demand, capacity)
	if capacity == 0 || level == 0 {
		return nil
	}
	var out []fleet.CustomerName
	for c, d := range demand {
		if served[c] < underservedFraction*min(d, level) {
			out = append(out, c)
		}
	}
	slices.Sort(out)
	return out
}

// lightShare is the fraction of the customers' mean demand below which a customer is light. All
// light customers together request less than this fraction of the demand.
const lightShare = 0.5

// Light returns the customers that request little compared to the mean of all, sorted.
func Light(demand Demand) []fleet.CustomerName {
	total := 0.0
	for _, d := range demand {
		total += d
	}
	var out []fleet.CustomerName
	for c, d := range demand {
		if d*float64(len(demand)) < lightShare*total {
			out = append(out, c)
		}
	}
	slices.Sort(out)
	return out
}
