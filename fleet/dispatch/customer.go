package dispatch

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// counterScale is the number of counter units in one unit of cost at weight 1.
const counterScale = 1024

// counter is a customer's virtual service: the cost charged divided by the weight, in units
// of 1/counterScale.
type counter int64

// virtualCost returns the counter units of a cost for a customer of the given weight.
func virtualCost(c fleet.Cost, w fleet.Weight) counter {
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
	// parked reports whether the ticket waits for its content to be cleared or for a target
	// without a suspect, and is not in the queue.
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
	// refundFloor is the counter after rejoin last raised it. A request charged before that
	// is not refunded below it, since the raise already offset the charge.
	refundFloor counter
	// restored reports whether a router reported the counter of an earlier lease holder.
	restored bool
	// served is the cost charged since this process became active.
	served fleet.Cost
	queue  indexedHeap[*ticket]
	// attempts is the number of granted attempts that have not ended.
	// parked is the number of parked tickets.
	attempts  int
	parked    int
	idleSince time.Time
	// chargedBeforeWait is the service's totalCharged when the customer began to wait for its
	// next grant.
	chargedBeforeWait fleet.Cost
	estimator         estimator
	backlogIndex      int
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

// enqueue adds a ticket. A customer without queued tickets rejoins the backlog first.
func (c *customer) enqueue(now time.Time, t *ticket) {
	if c.queue.Len() == 0 {
		c.rejoin(now)
		c.chargedBeforeWait = c.service.totalCharged
	}
	c.queue.Push(t)
	c.updateBacklog()
}

func (c *customer) dequeue(now time.Time, t *ticket) {
	c.queue.Remove(t.queueIndex)
	c.updateBacklog()
	c.updateIdleSince(now)
}

// rejoin raises the counter to the least one of the backlogged customers. What the customer
// was charged beyond that is forgiven only after it was idle for IdleForgivenAfter, so that a
// short pause gains nothing.
func (c *customer) rejoin(now time.Time) {
	least := c.service.joiningCounter()
	idle := c.attempts == 0 && c.parked == 0
	if c.service.disabled.rejoin {
		return
	}
	if c.counter < least || idle && now.Sub(c.idleSince) >= IdleForgivenAfter {
		c.counter, c.refundFloor = least, least
	}
}

func (c *customer) updateIdleSince(now time.Time) {
	if c.queue.Len() == 0 && c.attempts == 0 && c.parked == 0 {
		c.idleSince = now
	}
}

// updateBacklog adds the customer to its service's backlog, removes it, or moves it to its
// place in the order.
func (c *customer) updateBacklog() {
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

// charge sets what an attempt is charged and adjusts the counter by the difference.
func (c *customer) charge(a *attempt, cost fleet.Cost) {
	if cost == a.charged {
		return
	}
	c.counter = max(c.refundFloor, c.counter+virtualCost(cost, a.weight)-virtualCost(a.charged, a.weight))
	c.served += cost - a.charged
	c.service.totalCharged += cost - a.charged
	a.charged = cost
	if c.backlogIndex >= 0 {
		c.service.backlog.Fix(c.backlogIndex)
	}
}
