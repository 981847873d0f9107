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
	Share int
}

// Reducer serves tickets first come, first served, each on the target with the
// least work of its own granting. It implements fleet.Reducer.
type Reducer struct {
	cfg     Config
	config  fleet.Confirmed
	until   time.Time
	epoch   fleet.Epoch
	routers map[fleet.HostID]*router
	targets []*target
	queues  map[fleet.ServiceName][]*waiting
	grants  map[fleet.GrantID]*target
	granted uint64
}

type router struct {
	ack     fleet.Sequence
	message fleet.DispatcherGrants
	dirty   bool
}

type target struct {
	fleet.Announcement
	heard time.Time
	used  fleet.Slots
	// avoid is until when the target gets nothing new after a failure.
	avoid time.Time
}

type waiting struct {
	ticket fleet.Ticket
	router fleet.HostID
	since  time.Time
}

// validity is how long a grant may be used.
const validity = 2 * time.Second

// Pauses after a target refused an attempt, or could not be reached or broke it.
const (
	refusedPause = 250 * time.Millisecond
	brokenPause  = time.Second
)

// New makes a reducer.
func New(cfg Config) *Reducer {
	return &Reducer{
		cfg: cfg, routers: map[fleet.HostID]*router{},
		queues: map[fleet.ServiceName][]*waiting{}, grants: map[fleet.GrantID]*target{},
	}
}

// Reduce implements fleet.Reducer.
func (d *Reducer) Reduce(now time.Time, ev fleet.Event) []fleet.Effect {
	switch e := ev.(type) {
	case dispatch.ConfigConfirmed:
		d.config = e.Config
	case dispatch.LeaseHeld:
		d.epoch, d.until = e.Epoch, e.NotAfter
	case dispatch.ReportReceived:
		d.report(now, &e.Report)
	case dispatch.Tick:
	default:
		return nil
	}
	if d.epoch == 0 || d.config.Fleet == nil {
		return nil
	}
	for _, service := range d.config.Fleet.ServiceNames() {
		d.grant(now, service)
	}
	return d.send()
}

func (d *Reducer) report(now time.Time, r *fleet.RouterReport) {
	from := d.routers[r.Router]
	if from == nil {
		from = &router{}
		d.routers[r.Router] = from
	}
	from.ack, from.dirty = r.Sequence, true
	from.message.RouterIncarnation = r.Incarnation
	for i := range r.Tickets {
		t := r.Tickets[i]
		d.insert(&waiting{ticket: t, router: r.Router, since: now.Add(-t.Waited)})
	}
	for _, e := range r.Ended {
		if t := d.grants[e.Grant]; t != nil {
			t.used--
			t.failed(now, e.Outcome)
			delete(d.grants, e.Grant)
		}
	}
	for i := range r.Targets {
		d.announced(now, &r.Targets[i])
	}
	for _, a := range r.Alive {
		for _, t := range d.targets {
			if t.Target == a.Target && t.Incarnation == a.Incarnation {
				t.heard = now
			}
		}
	}
}

// failed keeps new work off the target for a while unless it completed.
func (t *target) failed(now time.Time, outcome fleet.Outcome) {
	switch outcome {
	case fleet.OutcomeOverloaded:
		t.avoid = now.Add(refusedPause)
	case fleet.OutcomeNotSent, fleet.OutcomeBroken:
		t.avoid = now.Add(brokenPause)
	}
}

// insert keeps each queue in the order of arrival.
func (d *Reducer) insert(w *waiting) {
	q := d.queues[w.ticket.Service]
	i, _ := slices.BinarySearchFunc(q, w.since, func(x *waiting, at time.Time) int {
		if x.since.After(at) {
			return 1
		}
		return -1
	})
	d.queues[w.ticket.Service] = slices.Insert(q, i, w)
}

func (d *Reducer) announced(now time.Time, a *fleet.Announcement) {
	for _, t := range d.targets {
		if t.Target != a.Target {
			continue
		}
		if a.Incarnation > t.Incarnation {
			t.used = 0
			d.forget(t)
		}
		t.Announcement, t.heard = *a, now
		return
	}
	d.targets = append(d.targets, &target{Announcement: *a, heard: now})
}

func (d *Reducer) forget(t *target) {
	for id, on := range d.grants {
		if on == t {
			delete(d.grants, id)
		}
	}
}

// grant serves the queue of a service while a slot is free.
func (d *Reducer) grant(now time.Time, service fleet.ServiceName) {
	q := d.queues[service]
	n := 0
	for ; n < len(q); n++ {
		t := d.leastLoaded(now, service)
		if t == nil {
			break
		}
		d.granted++
		id := fleet.GrantID(fmt.Sprintf("%s-%d-%d", d.cfg.Host, d.epoch, d.granted))
		t.used++
		d.grants[id] = t
		r := d.routers[q[n].router]
		r.dirty = true
		r.message.Grants = append(r.message.Grants, fleet.Grant{
			ID: id, Ticket: q[n].ticket.ID, Target: t.Target, Incarnation: t.Incarnation, Address: t.Address,
		})
	}
	d.queues[service] = q[n:]
}

func (d *Reducer) leastLoaded(now time.Time, service fleet.ServiceName) *target {
	var best *target
	for _, t := range d.targets {
		if t.Service != service || t.State != fleet.TargetServing || d.config.DataCentresOut[t.DataCentre] ||
			now.Sub(t.heard) > fleet.TargetMissingAfter || now.Before(t.avoid) || t.used >= t.Slots/fleet.Slots(d.cfg.Share) {
			continue
		}
		if best == nil || t.used < best.used {
			best = t
		}
	}
	return best
}

func (d *Reducer) send() []fleet.Effect {
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
		m := r.message
		m.Dispatcher, m.Epoch, m.Version, m.Router = d.cfg.Host, d.epoch, d.config.Version, id
		m.Ack, m.Validity = r.ack, validity
		effects = append(effects, dispatch.SendGrants{To: id, Message: m, Until: d.until})
		r.message, r.dirty = fleet.DispatcherGrants{RouterIncarnation: m.RouterIncarnation}, false
	}
	return effects
}
