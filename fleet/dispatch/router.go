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
	applied   fleet.Sequence
	heardAt   time.Time
	// settled says that a full report made under this lease's epoch was applied.
	settled bool
	// resyncAt is when a full report was last asked for; zero when none is awaited.
	resyncAt time.Time

	tickets  map[fleet.TicketID]*ticket
	attempts map[fleet.GrantID]*attempt
	// byTicket finds the attempts by their tickets, to grant no ticket twice.
	byTicket map[fleet.TicketID]*attempt
	standing map[fleet.GrantID]*standing
	// arrivals is the decaying number of tickets per service, for standing grants.
	arrivals map[fleet.ServiceName]float64
	// lag is the longest time of late from a grant to the report of a first token,
	// without the time to that token; 0 while it is not known.
	lag time.Duration
	// touched lists the customers whose counters the router has to remember.
	touched    map[*customer]bool
	servedAt   time.Time
	standingAt time.Time
	// answeredAt is when the last message was sent to it.
	answeredAt time.Time

	outbox outbox
}

// outbox is what waits to be sent to a router at the end of an event.
type outbox struct {
	queued   bool
	resync   bool
	grants   []fleet.Grant
	refusals []fleet.TicketRefusal
	cancel   []fleet.GrantID
	targets  []fleet.TargetID
	served   []fleet.ServedTotal
	standing bool
	// answer asks for a message even if there is nothing to say.
	answer bool

	quarantined []fleet.Quarantine
	suspects    []fleet.Suspect
	limits      []fleet.TargetLimit
}

// empty says whether there is nothing to send beside standing grants.
func (b *outbox) empty() bool {
	return !b.resync && !b.answer && len(b.grants)+len(b.refusals)+len(b.cancel)+len(b.targets)+len(b.served)+
		len(b.quarantined)+len(b.suspects)+len(b.limits) == 0
}

func newRouter(id fleet.HostID) *router {
	return &router{
		id:       id,
		tickets:  map[fleet.TicketID]*ticket{},
		attempts: map[fleet.GrantID]*attempt{},
		byTicket: map[fleet.TicketID]*attempt{},
		standing: map[fleet.GrantID]*standing{},
		arrivals: map[fleet.ServiceName]float64{},
		touched:  map[*customer]bool{},
	}
}

// post returns the router's outbox, to be sent at the end of the event.
func (r *Reducer) post(to *router) *outbox {
	if !to.outbox.queued {
		to.outbox.queued = true
		r.posts = append(r.posts, to)
	}
	return &to.outbox
}

// flush sends what was posted during the event.
func (r *Reducer) flush() {
	for _, to := range r.posts {
		box := to.outbox
		to.outbox = outbox{}
		if r.phase == passive || !r.now.Before(r.sendUntil()) || r.routers[to.id] != to || !to.connected && !box.resync {
			continue
		}
		to.answeredAt = r.now
		r.send(to, box)
	}
	r.posts = r.posts[:0]
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

// sendUntil returns when both the lease and the configuration that messages rest on end.
func (r *Reducer) sendUntil() time.Time {
	if r.configUntil.Before(r.lease.until) {
		return r.configUntil
	}
	return r.lease.until
}
