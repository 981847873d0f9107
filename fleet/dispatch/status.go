package dispatch

import (
	"cmp"
	"slices"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Targets returns the state of all targets, ordered by name.
func (r *Reducer) Targets() []fleet.TargetStatus {
	list := make([]fleet.TargetStatus, 0, len(r.targetList))
	for _, t := range r.targetList {
		st := fleet.TargetStatus{
			Target: t.id, Incarnation: t.last.Incarnation, Service: t.last.Service, DataCentre: t.last.DataCentre,
			State: r.state(t), Slots: t.last.Slots, Limit: t.limiter.limit, Standing: t.standingSlots(), Age: r.now.Sub(t.heardAt),
		}
		for _, a := range t.attempts {
			if a.inDoubt {
				st.InDoubt++
				continue
			}
			st.InUse++
		}
		list = append(list, st)
	}
	return list
}

// Customers returns the state of all customers, ordered by service and name.
func (r *Reducer) Customers() []fleet.CustomerStatus {
	list := []fleet.CustomerStatus{}
	for _, s := range r.serviceList {
		for _, c := range s.customers {
			st := fleet.CustomerStatus{
				Customer: c.name, Service: s.name, Weight: c.weight, Waiting: c.queue.Len() + c.parked, Running: c.attempts,
				Served: c.served, Counter: fleet.Cost(c.counter / counterScale),
			}
			if c.queue.Len() > 0 {
				st.OldestWait = r.now.Sub(c.queue.Min().arrived)
			}
			list = append(list, st)
		}
	}
	slices.SortFunc(list, func(a, b fleet.CustomerStatus) int {
		return cmp.Or(compare(a.Service, b.Service), compare(a.Customer, b.Customer))
	})
	return list
}

// Status summarises a dispatcher for operators.
type Status struct {
	// Active reports whether the dispatcher grants slots; Epoch is that of its newest lease.
	Active  bool
	Epoch   fleet.Epoch
	Version fleet.Version
	// Confirmed reports whether the configuration was confirmed at the time of the last event.
	Confirmed bool
	// Waiting counts the waiting tickets, Running the attempts that have not ended.
	Waiting int
	Running int
	// Refusals counts the refused tickets by reason.
	Refusals map[fleet.Reason]int64
}

// Status returns the summary at the time of the last event.
func (r *Reducer) Status() Status {
	st := Status{
		Active: r.phase == active && r.now.Before(r.lease.until), Epoch: r.lease.epoch, Version: r.config.Version,
		Confirmed: r.now.Before(r.configValidUntil), Running: len(r.attempts), Waiting: r.deadlines.Len(),
		Refusals: make(map[fleet.Reason]int64, len(r.refusals)),
	}
	for reason, n := range r.refusals {
		st.Refusals[reason] = n
	}
	return st
}
