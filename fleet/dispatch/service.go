package dispatch

import (
	"slices"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// service is the state of one service of the region.
type service struct {
	name     fleet.ServiceName
	disabled mechanisms
	// spec is the service in the confirmed configuration; known is false if that does not
	// list it.
	spec  fleet.Service
	known bool

	customers map[fleet.CustomerName]*customer
	backlog   indexedHeap[*customer]
	// virtualTime is the highest counter at which a customer was granted.
	virtualTime counter
	// cost is the mean cost of requests over all customers.
	cost mean
	// totalCharged is the sum of what attempts were charged.
	totalCharged fleet.Cost
	// attempts counts the attempts that have not ended; peakAttempts is its maximum so far.
	attempts     int
	peakAttempts int
	// slots is the sum of the slots that known targets announced; peakSlots is its maximum so
	// far.
	slots     fleet.Slots
	peakSlots fleet.Slots
	// largestCost and leastWeight determine the bound on the gap between counters.
	largestCost fleet.Cost
	leastWeight fleet.Weight
	totalWeight fleet.Weight
	// presumed is the customer of the attempts that are known only from a target's
	// announcement.
	presumed *customer

	// usableTargets counts the targets that may get new work now or once a slot is free.
	usableTargets int
	// free holds the targets with a free slot by data centre, the least loaded first.
	free        map[fleet.DataCentreName]*indexedHeap[*target]
	dataCentres []fleet.DataCentreName
	// freeTargets counts the targets with a free slot.
	freeTargets int
	// prefixes maps prompt prefixes to the targets that cache them.
	prefixes   map[fleet.PrefixHash][]*target
	parked     []*ticket
	firstToken firstTokenBaseline
}

func newService(name fleet.ServiceName, disabled mechanisms) *service {
	s := &service{
		name:      name,
		disabled:  disabled,
		customers: map[fleet.CustomerName]*customer{},
		backlog: indexedHeap[*customer]{
			less:  lessCustomer,
			place: func(c *customer, i int) { c.backlogIndex = i },
		},
		free:     map[fleet.DataCentreName]*indexedHeap[*target]{},
		prefixes: map[fleet.PrefixHash][]*target{},
	}
	s.presumed = newCustomer(s, "", 1)
	return s
}

// joiningCounter returns the counter at which a customer without credit or debt joins the
// backlog.
func (s *service) joiningCounter() counter {
	if s.backlog.Len() > 0 {
		return s.backlog.Min().counter
	}
	return s.virtualTime
}

// freeTargetsIn returns the targets of a data centre with a free slot, the least loaded
// first.
func (s *service) freeTargetsIn(dc fleet.DataCentreName) *indexedHeap[*target] {
	h, ok := s.free[dc]
	if !ok {
		h = &indexedHeap[*target]{less: lessLoaded, place: func(t *target, i int) { t.freeIndex = i }}
		s.free[dc] = h
		s.dataCentres = append(s.dataCentres, dc)
		slices.Sort(s.dataCentres)
	}
	return h
}

func (s *service) addSlots(n fleet.Slots) {
	s.slots += n
	s.peakSlots = max(s.peakSlots, s.slots)
}

// updateWeight replaces the earlier weight of a customer, 0 for a new one, by w.
func (s *service) updateWeight(earlier, w fleet.Weight) {
	s.totalWeight += w - earlier
	if s.leastWeight == 0 || w < s.leastWeight {
		s.leastWeight = w
	}
}

// sortedCustomers returns the customers ordered by name.
func (s *service) sortedCustomers() []*customer {
	list := make([]*customer, 0, len(s.customers))
	for _, c := range s.customers {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *customer) int { return compare(a.name, b.name) })
	return list
}
