package fleet

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// RPC methods between routers and dispatchers. Both are notifications.
const (
	// MethodReport carries a RouterReport from a router to a dispatcher.
	MethodReport = "Dispatcher.Report"
	// MethodGrants carries a DispatcherGrants from a dispatcher to a router.
	MethodGrants = "Router.Grants"
)

// Ticket asks a dispatcher for a target for one attempt of a request.
type Ticket struct {
	ID       TicketID
	Request  RequestID
	Customer CustomerName
	Service  ServiceName
	// DataCentre is the router's data centre. Targets in it are preferred.
	DataCentre DataCentreName
	// Hint is the caller's rough estimate of the cost; 0 means none.
	Hint Cost `json:",omitempty"`
	// Prefix is the hash of the prompt's leading part; 0 means none.
	Prefix PrefixHash `json:",omitempty"`
	// Content is the same each time a caller sends the request, so that a request that
	// crashes targets is recognised.
	Content ContentHash
	// Attempt counts from 1.
	Attempt int
	// Broken lists the targets at which earlier attempts of the request ended as
	// OutcomeBroken, so that a crash still counts if the dispatcher that received the report
	// of it was lost.
	Broken []TargetDeath `json:",omitempty"`
	// Waited is how long the request had been waiting when the ticket was sent.
	Waited time.Duration `json:",omitempty"`
	// Patience is how much longer the request may wait, counted from when the ticket was
	// sent.
	Patience time.Duration
}

// Check implements Checker.
func (t *Ticket) Check() error {
	if t.Attempt < 1 {
		return errors.Errorf("Attempt is %d; it counts from 1", t.Attempt)
	}
	if t.Hint < 0 || t.Waited < 0 || t.Patience < 0 {
		return errors.New("Hint, Waited and Patience must not be negative")
	}
	return checkAll(
		CheckName("ID", string(t.ID)),
		CheckName("Request", string(t.Request)),
		CheckName("Customer", string(t.Customer)),
		CheckName("Service", string(t.Service)),
		CheckName("DataCentre", string(t.DataCentre)),
		CheckName("Content", string(t.Content)),
	)
}

// Outcome is the way in which a granted attempt ended.
type Outcome string

// The outcomes of a granted attempt.
const (
	// OutcomeCompleted means that the whole answer arrived.
	OutcomeCompleted Outcome = "Completed"
	// OutcomeNotSent means that the grant was not used; no byte was sent.
	OutcomeNotSent Outcome = "NotSent"
	// OutcomeOverloaded means that the target refused the request because it was full.
	OutcomeOverloaded Outcome = "Overloaded"
	// OutcomeBroken means that the connection broke or the target failed mid-request.
	OutcomeBroken Outcome = "Broken"
	// OutcomeUnreached means that no connection to the target could be opened, so that
	// no byte was sent.
	OutcomeUnreached Outcome = "Unreached"
	// OutcomeCancelled means that the caller disconnected and the target confirmed the
	// cancellation.
	OutcomeCancelled Outcome = "Cancelled"
	// OutcomeUnknown means that the request may still be running on the target.
	OutcomeUnknown Outcome = "Unknown"
)

// RunningAttempt is a granted attempt that a router has started and not ended.
type RunningAttempt struct {
	Grant       GrantID
	Epoch       Epoch
	Ticket      Ticket
	Target      TargetID
	Incarnation Incarnation
	// Spent is the cost so far.
	Spent Cost
}

// Progress reports the cost of a running attempt so far.
type Progress struct {
	Grant GrantID
	Spent Cost
	// FirstToken is the time from sending the request to the first byte of the
	// answer; 0 until that byte arrived.
	FirstToken time.Duration `json:",omitempty"`
}

// GrantEnd reports the end of a granted attempt.
type GrantEnd struct {
	Grant   GrantID
	Ticket  TicketID
	Outcome Outcome
	Spent   Cost
	// FirstToken is as in Progress.
	FirstToken time.Duration `json:",omitempty"`
}

// StandingUse reports an attempt that was started on a standing grant.
type StandingUse struct {
	Standing GrantID
	Running  RunningAttempt
}

// RouterReport is what changed at a router since its last report to a dispatcher.
type RouterReport struct {
	Router      HostID
	Incarnation Incarnation
	DataCentre  DataCentreName
	// Sequence numbers the reports of this incarnation to this dispatcher, from 1.
	Sequence Sequence
	// Epoch is the newest lease epoch that the router has received.
	Epoch Epoch
	// Version is the fleet text version that the router uses.
	Version Version
	// Full is true if Tickets and Running list everything that the router has, not just
	// changes: after a (re)connect, in a new epoch, or when the dispatcher set Resync.
	Full bool `json:",omitempty"`
	// Stopping is true once the router accepts no new requests.
	Stopping bool     `json:",omitempty"`
	Tickets  []Ticket `json:",omitempty"`
	// Withdrawn lists tickets that are no longer needed.
	Withdrawn []TicketID       `json:",omitempty"`
	Running   []RunningAttempt `json:",omitempty"`
	Standing  []StandingUse    `json:",omitempty"`
	Progress  []Progress       `json:",omitempty"`
	Ended     []GrantEnd       `json:",omitempty"`
	// Targets lists announcements in full.
	Targets []Announcement `json:",omitempty"`
	// Alive lists announcements that are reduced to heartbeats.
	Alive []TargetAlive `json:",omitempty"`
	// Served lists the counters of the customers served through this router, from which a
	// new lease holder rebuilds its own; only in full reports.
	Served []ServedTotal `json:",omitempty"`
	// Quarantined, Suspects and Limits return what earlier dispatchers had the router
	// store for a new lease holder; only in full reports.
	Quarantined []Quarantine  `json:",omitempty"`
	Suspects    []Suspect     `json:",omitempty"`
	Limits      []TargetLimit `json:",omitempty"`
}

// TargetAlive is an announcement reduced to a heartbeat, sent if the dispatcher does not need
// the rest.
type TargetAlive struct {
	Target      TargetID
	Incarnation Incarnation
	Sequence    Sequence
}

// ServedTotal is the last virtual service counter that a router received for a customer
// of a service.
type ServedTotal struct {
	Customer CustomerName
	Service  ServiceName
	// Counter is in cost per unit of weight.
	Counter Cost
}

// Check implements Checker.
func (r *RouterReport) Check() error {
	if err := checkAll(
		CheckName("Router", string(r.Router)),
		CheckName("DataCentre", string(r.DataCentre)),
	); err != nil {
		return err
	}
	if r.Incarnation == 0 || r.Sequence == 0 {
		return errors.New("Incarnation and Sequence count from 1")
	}
	for i := range r.Tickets {
		if err := r.Tickets[i].Check(); err != nil {
			return errors.Wrapf(err, "ticket %d", i)
		}
	}
	for i := range r.Targets {
		if err := r.Targets[i].Check(); err != nil {
			return errors.Wrapf(err, "target %d", i)
		}
	}
	return nil
}

// Grant permits a router to send one attempt of a request to one target.
type Grant struct {
	ID          GrantID
	Ticket      TicketID
	Target      TargetID
	Incarnation Incarnation
	Address     netip.AddrPort
}

// StandingGrant permits a router to run up to Slots requests at a time on a target without
// tickets, so that the target does not idle while no dispatcher answers.
type StandingGrant struct {
	ID          GrantID
	Service     ServiceName
	Target      TargetID
	Incarnation Incarnation
	Address     netip.AddrPort
	Slots       Slots
}

// TicketRefusal ends a ticket without a grant.
type TicketRefusal struct {
	Ticket     TicketID
	Reason     Reason
	Detail     string        `json:",omitempty"`
	RetryAfter time.Duration `json:",omitempty"`
}

// DispatcherGrants is what a dispatcher sends to one router.
type DispatcherGrants struct {
	Dispatcher HostID
	Epoch      Epoch
	Version    Version
	// Router and RouterIncarnation are the addressee. A restarted router ignores messages
	// for its earlier incarnation.
	Router            HostID
	RouterIncarnation Incarnation
	// Ack is the Sequence of the newest report that the dispatcher has applied.
	Ack Sequence
	// Validity is how long the grants of this message may be used, counted from when the
	// router sent the report that Ack names.
	Validity time.Duration
	// Resync asks for a full report.
	Resync   bool            `json:",omitempty"`
	Grants   []Grant         `json:",omitempty"`
	Refusals []TicketRefusal `json:",omitempty"`
	// AskTargets lists targets whose next announcement the router has to pass on in full.
	AskTargets []TargetID `json:",omitempty"`
	// Standing replaces the router's standing grants when StandingSet is true.
	StandingSet bool            `json:",omitempty"`
	Standing    []StandingGrant `json:",omitempty"`
	// Cancel lists grants whose requests the router has to cancel at the target.
	Cancel []GrantID `json:",omitempty"`
	// Served, Quarantined, Suspects and Limits are stored by routers and returned in full
	// reports to a new lease holder. Each entry replaces the one of the same customer and
	// service, content or target.
	Served      []ServedTotal `json:",omitempty"`
	Quarantined []Quarantine  `json:",omitempty"`
	Suspects    []Suspect     `json:",omitempty"`
	Limits      []TargetLimit `json:",omitempty"`
}

// Suspect is a request content that was running on a target when the target crashed.
type Suspect struct {
	Content ContentHash
	// For is how much longer the suspicion is kept; 0 means that it was cleared.
	For time.Duration `json:",omitempty"`
	// Deaths lists the targets that crashed, or seem to have crashed, while running it.
	Deaths []TargetDeath `json:",omitempty"`
}

// TargetDeath is the crash of one incarnation of a target.
type TargetDeath struct {
	Target      TargetID
	Incarnation Incarnation
}

// TargetLimit is the number of requests that may run on a target at the same time.
type TargetLimit struct {
	Target      TargetID
	Incarnation Incarnation
	Limit       Slots
	// Revision grows with every change of the limit, also across lease holders.
	Revision Sequence
}

// Quarantine refuses requests of a content, since they crashed targets.
type Quarantine struct {
	Content ContentHash
	// For is the remaining time of the quarantine.
	For time.Duration
}

// Check implements Checker.
func (g *DispatcherGrants) Check() error {
	if g.Epoch == 0 {
		return errors.New("Epoch counts from 1")
	}
	if g.Validity <= 0 {
		return errors.Errorf("Validity is %s; it must be more than 0", g.Validity)
	}
	for i := range g.Grants {
		if !g.Grants[i].Address.IsValid() {
			return errors.Errorf("grant %d has no Address", i)
		}
	}
	return checkAll(
		CheckName("Dispatcher", string(g.Dispatcher)),
		CheckName("Router", string(g.Router)),
	)
}
