package dispatch

import (
	"slices"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// service is the state of one service of the region.
type service struct {
	name fleet.ServiceName
	off  mechanisms
	// spec is that of the confirmed configuration; known is false when it has none.
	spec  fleet.Service
	known bool

	customers map[fleet.CustomerName]*customer
	backlog   indexedHeap[*customer]
	// virtual is the highest counter at which a customer was granted.
	virtual counter
	// cost is the running mean over all customers.
	cost mean
	// charged is the sum of what attempts were charged.
	charged fleet.Cost
	// attempts counts the attempts that have not ended; mostAttempts is the most ever.
	attempts     int
	mostAttempts int
	// slots is what its known targets announced in sum; mostSlots is the most ever.
	slots     fleet.Slots
	mostSlots fleet.Slots
	// largestCost and leastWeight go into the bound on the gap.
	largestCost fleet.Cost
	leastWeight fleet.Weight
	totalWeight fleet.Weight
	// presumed stands for the customers of attempts that only a target told of.
	presumed *customer

	// usable counts the targets that may get new work now or once a slot is free.
	usable  int
	free    map[fleet.DataCentreName]*indexedHeap[*target]
	centres []fleet.DataCentreName
	// freeTargets counts the targets with a free slot.
	freeTargets int
	prefixes    map[fleet.PrefixHash][]*target
	parked      []*ticket
	firstToken  pace
}

func newService(name fleet.ServiceName, off mechanisms) *service {
	s := &service{
		name:      name,
		off:       off,
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

// leastCounter returns the counter at which a customer without credit or debt joins.
func (s *service) leastCounter() counter {
	if s.backlog.Len() > 0 {
		return s.backlog.Min().counter
	}
	return s.virtual
}

// freeIn returns the targets of a data centre with a free slot, emptiest first.
func (s *service) freeIn(dc fleet.DataCentreName) *indexedHeap[*target] {
	h, ok := s.free[dc]
	if !ok {
		h = &indexedHeap[*target]{less: lessLoaded, place: func(t *target, i int) { t.freeIndex = i }}
		s.free[dc] = h
		s.centres = append(s.centres, dc)
		slices.Sort(s.centres)
	}
	return h
}

func (s *service) addSlots(n fleet.Slots) {
	s.slots += n
	s.mostSlots = max(s.mostSlots, s.slots)
}

// noteWeight takes in a weight of a customer in place of its earlier one.
func (s *service) noteWeight(earlier, w fleet.Weight) {
	s.totalWeight += w - earlier
	if s.leastWeight == 0 || w < s.leastWeight {
		s.leastWeight = w
	}
}

// sorted returns the customers by name.
func (s *service) sorted() []*customer {
	list := make([]*customer, 0, len(s.customers))
	for _, c := range s.customers {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *customer) int { return compare(a.name, b.name) })
	return list
}
