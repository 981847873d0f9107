// Package baseline holds the simple ways of dispatching that the chosen one is
// compared with. They take the same events as package dispatch.
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
	// Share is the number of routers among which the slots of each target are divided;
	// 1 gives the reducer all of them.
	SlotDivisor int
}

// Reducer serves tickets first come, first served, each on the target with the
// least work of its own granting. It implements fleet.Reducer.
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

type router struct {
	ack     fleet.Sequence
	pending fleet.DispatcherGrants
	dirty   bool
}

type target struct {
	fleet.Announcement
	lastHeard time.Time
	usedSlots fleet.Slots
	// avoid is until when the target gets nothing new after a failure.
	avoidUntil time.Time
}

type queuedTicket struct {
	ticket       fleet.Ticket
	router       fleet.HostID
	waitingSince time.Time
}

// validity is how long a grant may be used.
const grantValidity = 2 * time.Second

// Pauses after a target refused an attempt, or could not be reached or broke it.
const (
	overloadedPause = 250 * time.Millisecond
	brokenPause     = time.Second
)

// New makes a reducer.
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

// failed keeps new work off the target for a while unless it completed.
func (t *target) pauseAfter(now time.Time, outcome fleet.Outcome) {
	switch outcome {
	case fleet.OutcomeOverloaded:
		t.avoidUntil = now.Add(overloadedPause)
	case fleet.OutcomeNotSent, fleet.OutcomeBroken:
		t.avoidUntil = now.Add(brokenPause)
	}
}

// insert keeps each queue in the order of arrival.
func (d *Reducer) enqueue(queued *queuedTicket) {
	q := d.queues[queued.ticket.Service]
	i, _ := slices.BinarySearchFunc(q, queued.waitingSince, func(other *queuedTicket, at time.Time) int {
		if other.waitingSince.After(at) {
			return 1
		}
		return -1
	})
	d.queues[queued.ticket.Service] = slices.Insert(q, i, queued)
}

func (d *Reducer) updateTarget(now time.Time, a *fleet.Announcement) {
	for _, t := range d.targets {
		if t.Target != a.Target {
			continue
		}
		if a.Incarnation > t.Incarnation {
			t.usedSlots = 0
			d.forgetGrants(t)
		}
		t.Announcement, t.lastHeard = *a, now
		return
	}
	d.targets = append(d.targets, &target{Announcement: *a, lastHeard: now})
}

func (d *Reducer) forgetGrants(t *target) {
	for id, granted := range d.grants {
		if granted == t {
			delete(d.grants, id)
		}
	}
}

// grant serves the queue of a service while a slot is free.
func (d *Reducer) grantSlots(now time.Time, service fleet.ServiceName) {
	q := d.queues[service]
	n := 0
	for ; n < len(q); n++ {
		t := d.leastLoaded(now, service)
		if t == nil {
			break
		}
		d.grantCount++
		id := fleet.GrantID(fmt.Sprintf("%s-%d-%d", d.cfg.Host, d.epoch, d.grantCount))
		t.usedSlots++
		d.grants[id] = t
		r := d.routers[q[n].router]
		r.dirty = true
		r.pending.Grants = append(r.pending.Grants, fleet.Grant{
			ID: id, Ticket: q[n].ticket.ID, Target: t.Target, Incarnation: t.Incarnation, Address: t.Address,
		})
	}
	d.queues[service] = q[n:]
}

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
		m := r.pending
		m.Dispatcher, m.Epoch, m.Version, m.Router = d.cfg.Host, d.epoch, d.config.Version, id
		m.Ack, m.Validity = r.ack, grantValidity
		effects = append(effects, dispatch.SendGrants{To: id, Message: m, Until: d.leaseUntil})
		r.pending, r.dirty = fleet.DispatcherGrants{RouterIncarnation: m.RouterIncarnation}, false
	}
	return effects
}
