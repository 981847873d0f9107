package dispatch

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// router is the state of one router process.
type router struct {
	id          fleet.HostID
	incarnation fleet.Incarnation
	dataCentre  fleet.DataCentreName
	version     fleet.Version
	stopping    bool
	// connected is false from the loss of the connection to the next full report.
	connected bool
	// applied is the sequence of the last applied report; heardAt is when any report last
	// came.
	applied fleet.Sequence
	heardAt time.Time
	// reconciled reports whether a full report made under this lease's epoch was applied.
	reconciled bool
	// resyncRequestedAt is when a full report was last requested; zero before the first
	// request.
	resyncRequestedAt time.Time

	tickets  map[fleet.TicketID]*ticket
	attempts map[fleet.GrantID]*attempt
	// byTicket maps tickets to their attempts, so that no ticket is granted twice.
	byTicket map[fleet.TicketID]*attempt
	standing map[fleet.GrantID]*standing
	// arrivals is the decaying number of tickets by service; it decides which routers get
	// standing grants.
	arrivals map[fleet.ServiceName]float64
	// lag is the decaying maximum of the time from a grant to the report of a first token,
	// without the time to that token; 0 while it is unknown.
	lag time.Duration
	// changedCustomers are the customers that were granted requests of the router since their
	// counters were last sent to it.
	changedCustomers map[*customer]bool
	countersSentAt   time.Time
	standingSentAt   time.Time
	// sentAt is when the last message was sent to the router.
	sentAt time.Time

	outbox outbox
}

// outbox holds what is sent to a router at the end of an event.
type outbox struct {
	// queued is set while the router is in Reducer.queuedRouters. resync requests a full
	// report. targets lists the targets whose next announcement is requested, cancel the
	// grants to cancel, and served the counters for the router to retain.
	queued   bool
	resync   bool
	grants   []fleet.Grant
	refusals []fleet.TicketRefusal
	cancel   []fleet.GrantID
	targets  []fleet.TargetID
	served   []fleet.ServedTotal
	standing bool
	// answer requests a message even if it is otherwise empty.
	answer bool

	quarantined []fleet.Quarantine
	suspects    []fleet.Suspect
	limits      []fleet.TargetLimit
}

// empty reports whether there is nothing to send apart from standing grants.
func (b *outbox) empty() bool {
	return !b.resync && !b.answer && len(b.grants)+len(b.refusals)+len(b.cancel)+len(b.targets)+len(b.served)+
		len(b.quarantined)+len(b.suspects)+len(b.limits) == 0
}

func newRouter(id fleet.HostID) *router {
	return &router{
		id:               id,
		tickets:          map[fleet.TicketID]*ticket{},
		attempts:         map[fleet.GrantID]*attempt{},
		byTicket:         map[fleet.TicketID]*attempt{},
		standing:         map[fleet.GrantID]*standing{},
		arrivals:         map[fleet.ServiceName]float64{},
		changedCustomers: map[*customer]bool{},
	}
}

// outboxOf returns the router's outbox, which is sent at the end of the event.
func (r *Reducer) outboxOf(to *router) *outbox {
	if !to.outbox.queued {
		to.outbox.queued = true
		r.queuedRouters = append(r.queuedRouters, to)
	}
	return &to.outbox
}

// flush sends the outboxes that were filled during the event. It discards them without a
// valid lease and configuration.
func (r *Reducer) flush() {
	for _, to := range r.queuedRouters {
		box := to.outbox
		to.outbox = outbox{}
		if r.phase == passive || !r.now.Before(r.sendUntil()) || r.routers[to.id] != to || !to.connected && !box.resync {
			continue
		}
		to.sentAt = r.now
		r.send(to, box)
	}
	r.queuedRouters = r.queuedRouters[:0]
}

func (r *Reducer) send(to *router, box outbox) {
	m := r.envelope(to, GrantValidity)
	m.Resync = box.resync
	m.Grants, m.Refusals, m.Cancel, m.Served = box.grants, box.refusals, box.cancel, box.served
	m.AskTargets = box.targets
	m.Quarantined, m.Suspects, m.Limits = box.quarantined, box.suspects, box.limits
	if !box.empty() {
		r.emit(SendGrants{To: to.id, Message: m, Until: r.sendUntil()})
	}
	if box.standing {
		r.sendStanding(to)
	}
}

func (r *Reducer) envelope(to *router, validity time.Duration) fleet.DispatcherGrants {
	return fleet.DispatcherGrants{
		Dispatcher: r.cfg.Host, Epoch: r.lease.epoch, Version: r.config.Version,
		Router: to.id, RouterIncarnation: to.incarnation, Ack: to.applied, Validity: validity,
	}
}

// sendUntil returns when the lease or the configuration that messages rely on expires,
// whichever is first.
func (r *Reducer) sendUntil() time.Time {
	if r.configValidUntil.Before(r.lease.until) {
		return r.configValidUntil
	}
	return r.lease.until
}
