// Package baseline implements first come, first served dispatching, with which package
// dispatch is compared. It takes the events of package dispatch.
package baseline

import (
	"fmt"
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/dispatch"
)

// Config configures a Reducer.
type Config struct {
	Host fleet.HostID
	// SlotDivisor divides the slots of each target: the reducer uses 1/SlotDivisor of them,
	// rounded down.
	SlotDivisor int
}

// Reducer grants slots first come, first served, each time on the target with the fewest
// slots in use by its own grants. It implements fleet.Reducer.
type Reducer struct {
	cfg        Config
	config     fleet.Confirmed
	leaseUntil time.Time
	epoch      fleet.Epoch
	routers    map[fleet.HostID]*router
	targets    []*target
	queues     map[fleet.ServiceName][]*queuedTicket
	grants     map[fleet.GrantID]*target
	grantCount uint64
}

// router is a router that has reported. pending is the next message to it; dirty is set if
// that message has to be sent.
type router struct {
	ack     fleet.Sequence
	pending fleet.DispatcherGrants
	dirty   bool
}

type target struct {
	fleet.Announcement
	lastHeard time.Time
	// usedSlots is the number of slots in use by grants of this reducer.
	usedSlots fleet.Slots
	// avoidUntil is when the target may get new work again after a failure.
	avoidUntil time.Time
}

type queuedTicket struct {
	ticket       fleet.Ticket
	router       fleet.HostID
	waitingSince time.Time
}

// grantValidity is how long a router may use a grant.
const grantValidity = 2 * time.Second

// Pauses in new work for a target after it refused an attempt as overloaded, and after it
// could not be reached or broke an attempt.
const (
	overloadedPause = 250 * time.Millisecond
	brokenPause     = time.Second
)

// New returns a reducer without lease, configuration or targets.
func New(cfg Config) *Reducer {
	return &Reducer{
		cfg: cfg, routers: map[fleet.HostID]*router{},
		queues: map[fleet.ServiceName][]*queuedTicket{}, grants: map[fleet.GrantID]*target{},
	}
}

// Reduce implements fleet.Reducer.
func (d *Reducer) Reduce(now time.Time, ev fleet.Event) []fleet.Effect {
	switch e := ev.(type) {
	case dispatch.ConfigConfirmed:
		d.config = e.Config
	case dispatch.LeaseHeld:
		d.epoch, d.leaseUntil = e.Epoch, e.NotAfter
	case dispatch.ReportReceived:
		d.applyReport(now, &e.Report)
	case dispatch.Tick:
	default:
		return nil
	}
	if d.epoch == 0 || d.config.Fleet == nil {
		return nil
	}
	for _, service := range d.config.Fleet.ServiceNames() {
		d.grantSlots(now, service)
	}
	return d.sendGrants()
}

func (d *Reducer) applyReport(now time.Time, report *fleet.RouterReport) {
	sender := d.routers[report.Router]
	if sender == nil {
		sender = &router{}
		d.routers[report.Router] = sender
	}
	sender.ack, sender.dirty = report.Sequence, true
	sender.pending.RouterIncarnation = report.Incarnation
	for i := range report.Tickets {
		t := report.Tickets[i]
		d.enqueue(&queuedTicket{ticket: t, router: report.Router, waitingSince: now.Add(-t.Waited)})
	}
	for _, e := range report.Ended {
		if t := d.grants[e.Grant]; t != nil {
			t.usedSlots--
			t.pauseAfter(now, e.Outcome)
			delete(d.grants, e.Grant)
		}
	}
	for i := range report.Targets {
		d.updateTarget(now, &report.Targets[i])
	}
	for _, a := range report.Alive {
		for _, t := range d.targets {
			if t.Target == a.Target && t.Incarnation == a.Incarnation {
				t.lastHeard = now
			}
		}
	}
}

// pauseAfter pauses new work for the target if the outcome of an attempt is a failure.
func (t *target) pauseAfter(now time.Time, outcome fleet.Outcome) {
	switch outcome {
	case fleet.OutcomeOverloaded:
		t.avoidUntil = now.Add(overloadedPause)
	case fleet.OutcomeNotSent, fleet.OutcomeBroken:
		t.avoidUntil = now.Add(brokenPause)
	}
}

// enqueue inserts a ticket into the queue of its service in order of arrival.
func (d *Reducer) enqueue(queued *queuedTicket) {
	queue := d.queues[queued.ticket.Service]
	i, _ := slices.BinarySearchFunc(queue, queued.waitingSince, func(other *queuedTicket, at time.Time) int {
		if other.waitingSince.After(at) {
			return 1
		}
		return -1
	})
	d.queues[queued.ticket.Service] = slices.Insert(queue, i, queued)
}

// updateTarget stores an announcement. A new incarnation of a target has no slots in use.
func (d *Reducer) updateTarget(now time.Time, announcement *fleet.Announcement) {
	for _, t := range d.targets {
		if t.Target != announcement.Target {
			continue
		}
		if announcement.Incarnation > t.Incarnation {
			t.usedSlots = 0
			d.discardGrants(t)
		}
		t.Announcement, t.lastHeard = *announcement, now
		return
	}
	d.targets = append(d.targets, &target{Announcement: *announcement, lastHeard: now})
}

// discardGrants removes all grants on a target.
func (d *Reducer) discardGrants(t *target) {
	for id, grantTarget := range d.grants {
		if grantTarget == t {
			delete(d.grants, id)
		}
	}
}

// grantSlots grants slots to the head of the queue of a service while one is free.
func (d *Reducer) grantSlots(now time.Time, service fleet.ServiceName) {
	queue := d.queues[service]
	granted := 0
	for ; granted < len(queue); granted++ {
		t := d.leastLoaded(now, service)
		if t == nil {
			break
		}
		d.grantCount++
		id := fleet.GrantID(fmt.Sprintf("%s-%d-%d", d.cfg.Host, d.epoch, d.grantCount))
		t.usedSlots++
		d.grants[id] = t
		r := d.routers[queue[granted].router]
		r.dirty = true
		r.pending.Grants = append(r.pending.Grants, fleet.Grant{
			ID: id, Ticket: queue[granted].ticket.ID, Target: t.Target, Incarnation: t.Incarnation, Address: t.Address,
		})
	}
	d.queues[service] = queue[granted:]
}

// leastLoaded returns the target of a service with the fewest slots in use, or nil if none
// accepts work.
func (d *Reducer) leastLoaded(now time.Time, service fleet.ServiceName) *target {
	var best *target
	for _, t := range d.targets {
		if t.Service != service || t.State != fleet.TargetServing || d.config.DataCentresOut[t.DataCentre] ||
			now.Sub(t.lastHeard) > fleet.TargetMissingAfter || now.Before(t.avoidUntil) || t.usedSlots >= t.Slots/fleet.Slots(d.cfg.SlotDivisor) {
			continue
		}
		if best == nil || t.usedSlots < best.usedSlots {
			best = t
		}
	}
	return best
}

// sendGrants returns the messages to all routers with something to send, sorted by router.
func (d *Reducer) sendGrants() []fleet.Effect {
	var effects []fleet.Effect
	ids := make([]fleet.HostID, 0, len(d.routers))
	for id, r := range d.routers {
		if r.dirty {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		r := d.routers[id]
		message := r.pending
		message.Dispatcher, message.Epoch, message.Version, message.Router = d.cfg.Host, d.epoch, d.config.Version, id
		message.Ack, message.Validity = r.ack, grantValidity
		effects = append(effects, dispatch.SendGrants{To: id, Message: message, Until: d.leaseUntil})
		r.pending, r.dirty = fleet.DispatcherGrants{RouterIncarnation: message.RouterIncarnation}, false
	}
	return effects
}
