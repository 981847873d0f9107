package routing

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/invariant"
)

// Timing of the router's decisions.
const (
	// ReportInterval is the mean time between two reports to a dispatcher under load.
	ReportInterval = 500 * time.Microsecond
	// maxReportBurst is how many reports may be sent in a row without a pause.
	maxReportBurst = 16
	// HeartbeatInterval is the longest time between two reports to a dispatcher.
	HeartbeatInterval = 250 * time.Millisecond
	// unansweredHeartbeatInterval replaces HeartbeatInterval while the last report is
	// unanswered.
	unansweredHeartbeatInterval = 160 * time.Millisecond
	// DispatcherTimeout is how long a report may be unanswered before standing grants are used.
	DispatcherTimeout = 300 * time.Millisecond
	// DispatcherUnreachableAfter is how long a report may be unanswered before requests are
	// refused.
	DispatcherUnreachableAfter = 5 * time.Second
	// LedgerTimeout bounds the wait for the reply to LedgerBegin.
	LedgerTimeout = 3 * time.Second
	// RecordTimeout bounds how long the end of an answer is held back until the ledger records
	// it.
	RecordTimeout = 2 * time.Second
	// ResumeLimit is how many times in a row an answer is resumed without a new byte.
	ResumeLimit = 3
	// StopMargin is added to the validity of the hosts answer in a planned stop, so that the
	// other hosts have received the notice that this one stops.
	StopMargin = 4 * time.Second
)

// Config is a router's identity and the dispatchers that it may use.
type Config struct {
	Host        fleet.HostID
	Incarnation fleet.Incarnation
	DataCentre  fleet.DataCentreName
	// Dispatchers lists the dispatchers that the router reports to.
	Dispatchers []Peer
}

// Router is the reducer of a router process. It is not safe for concurrent use.
type Router struct {
	cfg Config

	config         fleet.Confirmed
	confirmedUntil time.Time

	requests map[fleet.RequestID]*request
	waiting  waitingTotals
	// queued lists requests in the order of their tickets. It may contain requests that have
	// ended or no longer wait for a grant.
	queued []fleet.RequestID
	timers timerHeap
	budget retryBudget
	// ledgerAttempts numbers the attempt ids that the router gives to the ledger.
	ledgerAttempts fleet.Sequence

	// epoch is the highest lease epoch seen. leaseHolder and activePeer are the host that holds
	// the lease and its connection, lastReply is when its last message arrived.
	epoch       fleet.Epoch
	leaseHolder fleet.HostID
	lastReply   time.Time
	activePeer  *peer
	peers       []*peer
	standing    standingGrants
	// standingStarts counts the attempts started on standing grants; it numbers their grants.
	standingStarts uint64
	// releasing holds attempts that are over for the caller but may still run at their targets.
	releasing map[fleet.GrantID]*attempt
	targets   map[fleet.TargetID]knownTarget
	retained  retainedState

	stopping bool
	// drainNotBefore is when a planned stop starts to refuse new requests; it is not drained
	// before.
	drainNotBefore time.Time
	drained        bool

	// now is the time of the event that is being reduced.
	now time.Time
	// tickRequested is set while a Tick is requested for a report that is due.
	tickRequested bool
	effects       []fleet.Effect
}

// New returns a Router that has no configuration and no connections yet.
func New(cfg Config) *Router {
	r := &Router{
		cfg:       cfg,
		requests:  map[fleet.RequestID]*request{},
		waiting:   waitingTotals{perCustomer: map[fleet.CustomerName]int{}},
		releasing: map[fleet.GrantID]*attempt{},
		targets:   map[fleet.TargetID]knownTarget{},
		retained:  newRetainedState(),
	}
	for _, p := range cfg.Dispatchers {
		r.peers = append(r.peers, newPeer(p))
	}
	return r
}

// Reduce implements fleet.Reducer.
func (r *Router) Reduce(now time.Time, ev fleet.Event) []fleet.Effect {
	r.effects, r.now = nil, now
	r.reduceEvent(now, ev)
	r.useStandingGrants(now)
	r.flush(now)
	r.checkDrained(now)
	return r.effects
}

// reduceEvent applies an event, without the standing grants and reports that may follow from
// it.
func (r *Router) reduceEvent(now time.Time, ev fleet.Event) {
	switch ev := ev.(type) {
	case RequestAccepted:
		r.accept(now, ev)
	case LedgerBegun:
		r.ledgerBegun(now, ev)
	case LedgerEnded:
		r.ledgerEnded(now, ev)
	case DispatcherUp:
		r.dispatcherUp(ev.Peer)
	case DispatcherDown:
		r.dispatcherDown(ev.Peer)
	case ReportLost:
		r.reportLost(ev.Peer)
	case GrantsReceived:
		r.grantsReceived(now, ev)
	case AnswerBegun:
		r.answerBegun(ev)
	case AttemptProgressed:
		r.attemptProgressed(ev)
	case AttemptEnded:
		r.attemptEnded(now, ev)
	case AttemptReleased:
		r.attemptReleased(now, ev)
	case CallerGone:
		r.callerGone(now, ev.Request)
	case TargetAnnounced:
		r.targetAnnounced(now, ev.Announcement)
	case ConfigConfirmed:
		r.configConfirmed(ev)
	case StopRequested:
		r.stopRequested(now)
	case StopForced:
		r.stopForced(now)
	case fleet.Expired:
		r.effectExpired(now, ev)
	case Tick:
		r.tick(now)
	default:
		invariant.Check(false, "KnownEvent", "event %s is not known to the router", ev.EventName())
	}
}

func (r *Router) emit(e fleet.Effect) { r.effects = append(r.effects, e) }

func (r *Router) configConfirmed(ev ConfigConfirmed) {
	if ev.Config.Version < r.config.Version {
		return
	}
	r.config = ev.Config
	r.confirmedUntil = ev.NotAfter
}

// confirmed reports whether the configuration is confirmed at this time, so that new requests
// may be admitted.
func (r *Router) confirmed(now time.Time) bool {
	return r.config.Fleet != nil && now.Before(r.confirmedUntil)
}

// Counts returns the number of requests that have an attempt at a target (running) and of all
// other open requests (waiting).
func (r *Router) Counts() (waiting, running int) {
	for _, q := range r.requests {
		if q.state == stateSending {
			running++
		}
	}
	return len(r.requests) - running, running
}

// Dispatcher returns the highest lease epoch seen and the host that holds that lease.
func (r *Router) Dispatcher() (fleet.Epoch, fleet.HostID) { return r.epoch, r.leaseHolder }

// Stopping reports whether a planned stop has begun.
func (r *Router) Stopping() bool { return r.stopping }
