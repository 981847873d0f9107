package workload

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Demand describes the requests of one customer for one service. They arrive as a Poisson
// process.
type Demand struct {
	Customer fleet.CustomerName
	Service  fleet.ServiceName
	// Rate is the number of requests a second between the times From and To.
	Rate     float64
	From, To time.Duration
	// Costs are log-normal with the median MedianCost and the standard deviation Spread of
	// the logarithm, limited to MaxCost.
	MedianCost float64
	Spread     float64
	MaxCost    fleet.Cost
	// Prefixes is the number of prompt prefixes that the requests share; 0 means none.
	Prefixes int
	// HomeRouter is the index of the router that gets most of the requests.
	HomeRouter int
}

// Parameters of the generated requests.
const (
	homeShare   = 0.9  // share of a customer's requests that arrive at its home router
	hintShare   = 0.7  // share of the requests with a hint
	hintSpread  = 0.5  // standard deviation of the logarithm of hint/cost
	prefixShare = 0.8  // share of the requests with a prefix, for customers with prefixes
	seedStream  = 0x51 // second word of the seed of the random number generator
)

// generateArrivals draws the requests of all demands, in order of their arrival.
func generateArrivals(seed uint64, routers int, demands []Demand) []Arrival {
	rnd := rand.New(rand.NewPCG(seed, seedStream))
	var arrivals []Arrival
	for i := range demands {
		d := &demands[i]
		for at := d.From; d.Rate > 0; {
			at += time.Duration(rnd.ExpFloat64() / d.Rate * float64(time.Second))
			if at >= d.To {
				break
			}
			arrivals = append(arrivals, drawArrival(rnd, d, at, routers))
		}
	}
	sortArrivals(arrivals)
	return arrivals
}

func sortArrivals(arrivals []Arrival) {
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
}

// drawArrival draws the router, the cost, the hint and the prefix of one request.
func drawArrival(rnd *rand.Rand, d *Demand, at time.Duration, routers int) Arrival {
	arrival := Arrival{At: at, Customer: d.Customer, Service: d.Service, Router: rnd.IntN(routers)}
	if rnd.Float64() < homeShare {
		arrival.Router = d.HomeRouter % routers
	}
	cost := d.MedianCost * math.Exp(d.Spread*rnd.NormFloat64())
	arrival.Cost = fleet.Cost(min(max(cost, 1), float64(d.MaxCost)))
	if rnd.Float64() < hintShare {
		hint := float64(arrival.Cost) * math.Exp(hintSpread*rnd.NormFloat64())
		arrival.Hint = fleet.Cost(min(max(hint, 1), float64(d.MaxCost)))
	}
	if d.Prefixes > 0 && rnd.Float64() < prefixShare {
		arrival.Prefix = fleet.PrefixHash(prefixHashBase(d.Customer) + uint64(rnd.IntN(d.Prefixes)) + 1)
	}
	return arrival
}

// prefixHashBase returns the start of the range of prefix hashes of a customer: its FNV-1a
// hash with the low 16 bits cleared.
func prefixHashBase(customer fleet.CustomerName) uint64 {
	hash := uint64(14695981039346656037)
	for i := range len(customer) {
		hash = (hash ^ uint64(customer[i])) * 1099511628211
	}
	return hash &^ 0xffff
}

// meanCost returns the mean of the cost distribution, without the limit to MaxCost.
func (d *Demand) meanCost() float64 { return d.MedianCost * math.Exp(d.Spread*d.Spread/2) }

func customerName(i int) fleet.CustomerName {
	return fleet.CustomerName(fmt.Sprintf("customer-%03d", i+1))
}

// newFleet returns a configuration with the policy that all traces share.
func newFleet(region fleet.RegionName, dcs []fleet.DataCentreName, services []fleet.Service, weights []fleet.Weight) *fleet.Fleet {
	f := &fleet.Fleet{
		Region: region, DataCentres: dcs,
		Services:  map[fleet.ServiceName]fleet.Service{},
		Customers: map[fleet.CustomerName]fleet.Customer{},
		Policy: fleet.Policy{
			QueuePerCustomer: queuePerCustomer, QueuePerRouter: 1 << 20, QueueBytesPerRouter: 1 << 30,
			MaxBody: 1 << 22, ConnectionsPerCustomer: 1 << 20, StandingSlots: 1,
			ReturnRamp: 10 * time.Second, QuarantineFor: 10 * time.Minute, RetryBudgetPercent: 10,
			LedgerRetention: 24 * time.Hour, HostsValidity: 5 * time.Second,
		},
	}
	for _, s := range services {
		s.RequestTimeout, s.IdleTimeout, s.QueueTimeout = time.Hour, 10*time.Second, time.Hour
		s.MinSlots = 1
		f.Services[s.Name] = s
	}
	for i, w := range weights {
		c := customerName(i)
		f.Customers[c] = fleet.Customer{Name: c, Weight: w, KeyHash: fmt.Sprintf("%064x", i+1)}
	}
	return f
}

// queuePerCustomer is the maximum number of waiting requests of a customer at one router.
const queuePerCustomer = 400
