package dispatch

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// counterScale is the number of counter units in one unit of cost at weight 1.
const counterScale = 1024

// counter is a customer's virtual service: cost per unit of weight, in 1/counterScale.
type counter int64

// virtual returns the counter units of a cost for a customer of the given weight.
func virtual(c fleet.Cost, w fleet.Weight) counter {
	return counter(c) * counterScale / counter(w)
}

// ticket is a request that waits for a grant.
type ticket struct {
	fleet.Ticket
	router   *router
	customer *customer
	// arrived is when the request began to wait, by the dispatcher's clock.
	arrived  time.Time
	deadline time.Time
	// number orders tickets that arrived at the same time.
	number uint64
	// parked says that the ticket waits for its content to be cleared or for a
	// target without a suspect, and is not in the queue.
	parked bool

	queueIndex    int
	deadlineIndex int
}

// customer is one customer of one service.
type customer struct {
	name    fleet.CustomerName
	service *service
	weight  fleet.Weight
	counter counter
	// floor is the counter after it was last lifted. A request charged before that is
	// not refunded below it, since the lift already made up for the charge.
	floor counter
	// restored says that a router told the counter of an earlier lease holder.
	restored bool
	// served is the cost charged since this process became active.
	served fleet.Cost
	queue  indexedHeap[*ticket]
	// attempts is the number of granted attempts that have not ended.
	attempts  int
	parked    int
	idleSince time.Time
	// waitFrom is what the service was charged in all when the customer began to wait
	// for its next grant.
	waitFrom     fleet.Cost
	estimator    estimator
	backlogIndex int
}

func newCustomer(s *service, name fleet.CustomerName, w fleet.Weight) *customer {
	c := &customer{name: name, service: s, weight: w, backlogIndex: -1}
	c.queue.less = func(a, b *ticket) bool {
		if !a.arrived.Equal(b.arrived) {
			return a.arrived.Before(b.arrived)
		}
		return a.number < b.number
	}
	c.queue.place = func(t *ticket, i int) { t.queueIndex = i }
	return c
}

// lessCustomer orders backlogged customers by counter, then by their longest wait.
func lessCustomer(a, b *customer) bool {
	if a.counter != b.counter {
		return a.counter < b.counter
	}
	x, y := a.queue.Min(), b.queue.Min()
	if !x.arrived.Equal(y.arrived) {
		return x.arrived.Before(y.arrived)
	}
	return a.name < b.name
}

// enqueue adds a ticket; a customer that had nothing to do rejoins the others.
func (c *customer) enqueue(now time.Time, t *ticket) {
	if c.queue.Len() == 0 {
		c.rejoin(now)
		c.waitFrom = c.service.charged
	}
	c.queue.Push(t)
	c.resort()
}

func (c *customer) dequeue(now time.Time, t *ticket) {
	c.queue.Remove(t.queueIndex)
	c.resort()
	c.noteIdle(now)
}

// rejoin lifts the counter to that of the least backlogged customer. What a customer
// was charged beyond that is forgiven once it has been idle for long enough, so that
// pausing for a moment gains nothing.
func (c *customer) rejoin(now time.Time) {
	least := c.service.leastCounter()
	idle := c.attempts == 0 && c.parked == 0
	if c.service.off.rejoin {
		return
	}
	if c.counter < least || idle && now.Sub(c.idleSince) >= IdleForgivenAfter {
		c.counter, c.floor = least, least
	}
}

func (c *customer) noteIdle(now time.Time) {
	if c.queue.Len() == 0 && c.attempts == 0 && c.parked == 0 {
		c.idleSince = now
	}
}

// resort puts the customer at its place among the backlogged ones.
func (c *customer) resort() {
	backlog := &c.service.backlog
	switch {
	case c.queue.Len() == 0 && c.backlogIndex >= 0:
		backlog.Remove(c.backlogIndex)
	case c.queue.Len() > 0 && c.backlogIndex < 0:
		backlog.Push(c)
	case c.backlogIndex >= 0:
		backlog.Fix(c.backlogIndex)
	}
}

// charge changes what an attempt is charged to the given cost.
func (c *customer) charge(a *attempt, cost fleet.Cost) {
	if cost == a.charged {
		return
	}
	c.counter = max(c.floor, c.counter+virtual(cost, a.weight)-virtual(a.charged, a.weight))
	c.served += cost - a.charged
	c.service.charged += cost - a.charged
	a.charged = cost
	if c.backlogIndex >= 0 {
		c.service.backlog.Fix(c.backlogIndex)
	}
}
