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

// Demand is a stream of requests of one customer for one service.
type Demand struct {
	Customer fleet.CustomerName
	Service  fleet.ServiceName
	// Rate is in requests a second, from From to To.
	Rate     float64
	From, To time.Duration
	// MedianCost and Spread (sigma of the logarithm) shape the costs, up to MaxCost.
	MedianCost float64
	Spread     float64
	MaxCost    fleet.Cost
	// Prefixes is how many prompt prefixes its requests share; 0 means none.
	Prefixes int
	// Home is the router that takes most of its requests.
	HomeRouter int
}

// Shares of requests and hints.
const (
	homeShare   = 0.9  // of a customer's requests arrive at its home router
	hintShare   = 0.7  // of the requests carry a hint
	hintSpread  = 0.5  // sigma of the logarithm of hint over cost
	prefixShare = 0.8  // of the requests of a customer with prefixes have one
	seedStream  = 0x51 // second word of every generator's seed
)

// generate draws the arrivals of all demands.
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

// hashName gives each customer a range of prefix hashes of its own.
func prefixHashBase(customer fleet.CustomerName) uint64 {
	hash := uint64(14695981039346656037)
	for i := range len(customer) {
		hash = (hash ^ uint64(customer[i])) * 1099511628211
	}
	return hash &^ 0xffff
}

// mean returns the mean of the costs that a demand draws, without the cut at MaxCost.
func (d *Demand) meanCost() float64 { return d.MedianCost * math.Exp(d.Spread*d.Spread/2) }

func customerName(i int) fleet.CustomerName {
	return fleet.CustomerName(fmt.Sprintf("customer-%03d", i+1))
}

// newFleet makes a fleet text's content with equal policy for all deployments.
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

// queuePerCustomer bounds the waiting requests of a customer at one router.
const queuePerCustomer = 400
