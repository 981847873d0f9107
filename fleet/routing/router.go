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
	// reportCredit is how many reports may follow each other without a pause.
	reportCredit = 16
	// HeartbeatInterval is the most time between two reports to a dispatcher.
	HeartbeatInterval = 250 * time.Millisecond
	// unansweredHeartbeat is the same while the dispatcher has not answered the last one.
	unansweredHeartbeat = 160 * time.Millisecond
	// DispatcherTimeout is the silence of the dispatcher after which standing grants are used.
	DispatcherTimeout = 300 * time.Millisecond
	// DispatcherUnreachableAfter is the silence of the dispatcher after which requests are refused.
	DispatcherUnreachableAfter = 5 * time.Second
	// LedgerTimeout bounds the wait for the ledger.
	LedgerTimeout = 3 * time.Second
	// RecordTimeout bounds how long the end of an answer waits to be recorded.
	RecordTimeout = 2 * time.Second
	// ResumeLimit is how many times in a row an answer is resumed without progress.
	ResumeLimit = 3
	// StopMargin is added to the validity of the hosts answer in a planned stop, for
	// the other hosts to learn that this one stops.
	StopMargin = 4 * time.Second
)

// Config configures a Router.
type Config struct {
	Host        fleet.HostID
	Incarnation fleet.Incarnation
	DataCentre  fleet.DataCentreName
	// Dispatchers lists the dispatchers that the router reports to.
	Dispatchers []Peer
}

// Router is the reducer of a router. It is not safe for concurrent use.
type Router struct {
	cfg Config

	config         fleet.Confirmed
	confirmedUntil time.Time

	requests map[fleet.RequestID]*request
	waiting  waitingCount
	// queued lists requests in the order of their tickets; some may have moved on.
	queued   []fleet.RequestID
	timers   timerHeap
	budget   retryBudget
	attempts fleet.Sequence

	// epoch is the highest lease epoch seen; holder, contact and active tell which host
	// holds the lease, when it answered last, and on which connection.
	epoch    fleet.Epoch
	holder   fleet.HostID
	contact  time.Time
	active   *peer
	peers    []*peer
	standing standingGrants
	// standingStarts numbers the attempts started on standing grants.
	standingStarts uint64
	// releasing holds attempts that are over for the caller but may run on.
	releasing map[fleet.GrantID]*attempt
	targets   map[fleet.TargetID]knownTarget
	retained  retained

	stopping  bool
	drainedAt time.Time
	drained   bool

	// now is the time of the event that is being reduced.
	now time.Time
	// waking says that a Tick has been asked for.
	waking  bool
	effects []fleet.Effect
}

// New makes a Router that knows nothing yet.
func New(cfg Config) *Router {
	r := &Router{
		cfg:       cfg,
		requests:  map[fleet.RequestID]*request{},
		waiting:   waitingCount{perCustomer: map[fleet.CustomerName]int{}},
		releasing: map[fleet.GrantID]*attempt{},
		targets:   map[fleet.TargetID]knownTarget{},
		retained:  newRetained(),
	}
	for _, p := range cfg.Dispatchers {
		r.peers = append(r.peers, newPeer(p))
	}
	return r
}

// Reduce implements fleet.Reducer.
func (r *Router) Reduce(now time.Time, ev fleet.Event) []fleet.Effect {
	r.effects, r.now = nil, now
	r.apply(now, ev)
	r.useStanding(now)
	r.flush(now)
	r.checkDrained(now)
	return r.effects
}

func (r *Router) apply(now time.Time, ev fleet.Event) {
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
		r.expired(now, ev)
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

// confirmed says whether new requests may be taken under the configuration.
func (r *Router) confirmed(now time.Time) bool {
	return r.config.Fleet != nil && now.Before(r.confirmedUntil)
}

// Counts returns how many requests wait and how many run.
func (r *Router) Counts() (waiting, running int) {
	for _, q := range r.requests {
		if q.state == stateSending {
			running++
		}
	}
	return len(r.requests) - running, running
}

// Dispatcher returns the highest lease epoch seen and who holds it.
func (r *Router) Dispatcher() (fleet.Epoch, fleet.HostID) { return r.epoch, r.holder }

// Stopping says whether a planned stop has begun.
func (r *Router) Stopping() bool { return r.stopping }
