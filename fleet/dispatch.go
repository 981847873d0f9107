package fleet

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Methods of the protocol between routers and dispatchers. Both are notifications.
const (
	// MethodReport carries a RouterReport from a router to a dispatcher.
	MethodReport = "Dispatcher.Report"
	// MethodGrants carries a DispatcherGrants from a dispatcher to a router.
	MethodGrants = "Router.Grants"
)

// Ticket asks for one target for one attempt of a request.
type Ticket struct {
	ID       TicketID
	Request  RequestID
	Customer CustomerName
	Service  ServiceName
	// DataCentre is where the router stands, preferred for the target.
	DataCentre DataCentreName
	// Hint is the caller's rough estimate of the cost; 0 means none.
	Hint Cost `json:",omitempty"`
	// Prefix is the hash of the prompt's leading part; 0 means none.
	Prefix PrefixHash `json:",omitempty"`
	// Content identifies the request over resends, to recognise one that crashes targets.
	Content ContentHash
	// Attempt counts from 1.
	Attempt int
	// Broken lists where earlier attempts of the request ended as OutcomeBroken, so that
	// a crash is known even if the report of it was lost with its dispatcher.
	Broken []TargetDeath `json:",omitempty"`
	// Waited is how long the request had waited when the ticket was sent.
	Waited time.Duration `json:",omitempty"`
	// Patience is how long the request may still wait when the ticket was sent.
	Patience time.Duration
}

// Check implements Checker.
func (t *Ticket) Check() error {
	if t.Attempt < 1 {
		return errors.Errorf("Attempt is %d; it counts from 1", t.Attempt)
	}
	if t.Hint < 0 || t.Waited < 0 || t.Patience < 0 {
		return errors.New("Hint, Waited and Patience are at least 0")
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

// Outcome says how a granted attempt ended.
type Outcome string

// The outcomes of a granted attempt.
const (
	// OutcomeCompleted means that the whole answer arrived.
	OutcomeCompleted Outcome = "Completed"
	// OutcomeNotSent means that the grant was not used; no byte was sent.
	OutcomeNotSent Outcome = "NotSent"
	// OutcomeOverloaded means that the target refused for lack of room.
	OutcomeOverloaded Outcome = "Overloaded"
	// OutcomeBroken means that the connection broke or the target failed in mid-request.
	OutcomeBroken Outcome = "Broken"
	// OutcomeUnreached means that no connection to the target could be opened, so that
	// no byte was sent.
	OutcomeUnreached Outcome = "Unreached"
	// OutcomeCancelled means that the caller left and the target confirmed the cancellation.
	OutcomeCancelled Outcome = "Cancelled"
	// OutcomeUnknown means that the request may still run on the target.
	OutcomeUnknown Outcome = "Unknown"
)

// RunningAttempt describes a granted attempt that a router has in hand.
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
	// answer; 0 until it came.
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

// StandingUse reports that a request was started on a standing grant.
type StandingUse struct {
	Standing GrantID
	Running  RunningAttempt
}

// RouterReport is all that changed at a router since its last report to a dispatcher.
type RouterReport struct {
	Router      HostID
	Incarnation Incarnation
	DataCentre  DataCentreName
	// Sequence numbers the reports of this incarnation to this dispatcher.
	Sequence Sequence
	// Epoch is the newest lease epoch that the router knows.
	Epoch Epoch
	// Version is the fleet text version that the router runs under.
	Version Version
	// Full says that Tickets and Running are all that the router has, after a
	// (re)connect, a new epoch or a request to resynchronise.
	Full bool `json:",omitempty"`
	// Stopping says that the router takes no new requests.
	Stopping  bool             `json:",omitempty"`
	Tickets   []Ticket         `json:",omitempty"`
	Withdrawn []TicketID       `json:",omitempty"`
	Running   []RunningAttempt `json:",omitempty"`
	Standing  []StandingUse    `json:",omitempty"`
	Progress  []Progress       `json:",omitempty"`
	Ended     []GrantEnd       `json:",omitempty"`
	Targets   []Announcement   `json:",omitempty"`
	// Alive stands for announcements that bring nothing new but that they were made.
	Alive []TargetAlive `json:",omitempty"`
	// Served lists what each customer was served through this router, for a new
	// lease holder to rebuild its counters; only in full reports.
	Served []ServedTotal `json:",omitempty"`
	// Quarantined, Suspects and Limits return what dispatchers told the router to
	// remember, for a new lease holder; only in full reports.
	Quarantined []Quarantine  `json:",omitempty"`
	Suspects    []Suspect     `json:",omitempty"`
	Limits      []TargetLimit `json:",omitempty"`
}

// TargetAlive stands for an announcement that a dispatcher need not have whole.
type TargetAlive struct {
	Target      TargetID
	Incarnation Incarnation
	Sequence    Sequence
}

// ServedTotal is the last counter that a router learned for a customer of a service.
type ServedTotal struct {
	Customer CustomerName
	Service  ServiceName
	// Counter is the customer's virtual service counter, in cost per unit of weight.
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

// Grant permits a router to send one request to one target.
type Grant struct {
	ID          GrantID
	Ticket      TicketID
	Target      TargetID
	Incarnation Incarnation
	Address     netip.AddrPort
}

// StandingGrant permits a router to start requests on a target without a ticket,
// each on one slot, so that slots do not idle while no dispatcher answers.
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
	// Router and RouterIncarnation say for whom the message is; a router that
	// restarted ignores what was meant for its predecessor.
	Router            HostID
	RouterIncarnation Incarnation
	// Ack is the newest report that the dispatcher has applied. All grants of this
	// message run from the moment the router sent that report.
	Ack Sequence
	// Validity is how long the grants may be used, from the moment above.
	Validity time.Duration
	// Resync asks for a full report.
	Resync   bool            `json:",omitempty"`
	Grants   []Grant         `json:",omitempty"`
	Refusals []TicketRefusal `json:",omitempty"`
	// AskTargets lists targets whose next announcements the router has to pass on whole.
	AskTargets []TargetID `json:",omitempty"`
	// Standing replaces the router's standing grants when StandingSet is true.
	StandingSet bool            `json:",omitempty"`
	Standing    []StandingGrant `json:",omitempty"`
	// Cancel lists grants whose requests the router has to cancel at the target.
	Cancel []GrantID `json:",omitempty"`
	// Served gives counters to remember for a take-over.
	Served []ServedTotal `json:",omitempty"`
	// Quarantined, Suspects and Limits are to be remembered for a take-over. Each entry
	// replaces the one of the same content or target; routers return them in full reports.
	Quarantined []Quarantine  `json:",omitempty"`
	Suspects    []Suspect     `json:",omitempty"`
	Limits      []TargetLimit `json:",omitempty"`
}

// Suspect is a request content that ran on a target when that died.
type Suspect struct {
	Content ContentHash
	// For is the remaining time for which it is remembered; 0 means that it was cleared.
	For time.Duration `json:",omitempty"`
	// Deaths lists the targets that died, or seem to have died, with it.
	Deaths []TargetDeath `json:",omitempty"`
}

// TargetDeath is the end of one incarnation of a target.
type TargetDeath struct {
	Target      TargetID
	Incarnation Incarnation
}

// TargetLimit is the number of requests that a target may run at the same time.
type TargetLimit struct {
	Target      TargetID
	Incarnation Incarnation
	Limit       Slots
	// Revision grows with every change, over all lease holders.
	Revision Sequence
}

// Quarantine bars a request content from the fleet for some time.
type Quarantine struct {
	Content ContentHash
	// For is the remaining time.
	For time.Duration
}

// Check implements Checker.
func (g *DispatcherGrants) Check() error {
	if g.Epoch == 0 {
		return errors.New("Epoch counts from 1")
	}
	if g.Validity <= 0 {
		return errors.Errorf("Validity is %s; it is more than 0", g.Validity)
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
