package placement

import (
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/deployment"
	"github.com/fuchsiashed/fuchsiashed/fleet/targets"
)

// Config configures a Router.
type Config struct {
	Self       fleet.HostID
	DataCentre fleet.DataCentreName
	Retries    RetryLimits
	Cold       ColdLimits
	// SilentAfter is the silence after which a target gets no work, unless it answered
	// a request since.
	SilentAfter time.Duration
	Policy      Policy
}

// Router is the reducer of one router. It implements fleet.Reducer.
type Router struct {
	cfg    Config
	now    time.Time
	effect []fleet.Effect

	config    *deployment.Configuration
	out       map[fleet.DataCentreName]bool
	returned  map[fleet.DataCentreName]time.Time
	directory *targets.Directory
	targets   map[fleet.TargetID]*target
	services  map[fleet.ServiceName][]*target
	routers   []fleet.HostID
	listening bool

	calls   map[CallID]*call
	budgets map[fleet.ServiceName]*budget
	paces   map[fleet.ServiceName]float64
	keys    keyRates
	digest  digestState
	admit   admission
	report  reportState
}

// call is a request that has not ended.
type call struct {
	Call
	service  fleet.ServiceName
	attempts int
	// sends counts the attempts, those included that reached nobody.
	sends   int
	tried   []fleet.TargetID
	current *target
	begun   bool
	sentAt  time.Time
	// read is the number of prompt tokens that the current target has to read.
	read     int
	expected time.Duration
}

// New makes a Router that knows nothing.
func New(cfg Config) *Router {
	return &Router{
		cfg: cfg, directory: targets.New(),
		out: map[fleet.DataCentreName]bool{}, returned: map[fleet.DataCentreName]time.Time{},
		targets: map[fleet.TargetID]*target{}, services: map[fleet.ServiceName][]*target{},
		calls: map[CallID]*call{}, budgets: map[fleet.ServiceName]*budget{},
		paces: map[fleet.ServiceName]float64{}, keys: keyRates{}, admit: newAdmission(), report: newReportState(),
	}
}

// Reduce implements fleet.Reducer.
func (r *Router) Reduce(now time.Time, ev fleet.Event) []fleet.Effect {
	r.now, r.effect = now, nil
	switch ev := ev.(type) {
	case ConfigChanged:
		r.config = ev.Config
	case DataCentresOutChanged:
		r.setOut(ev.Out)
	case TargetsNoticeReceived:
		r.hear(&ev.TargetsNotice)
	case PeersChanged:
		r.routers, r.listening = ev.Routers, ev.Listening
	case DigestReceived:
		r.hearDigest(&ev.LoadDigest)
	case Tick:
		r.tick()
	case ReportDue:
		r.emit(Report{RouterLoad: r.makeReport()})
	case CallArrived:
		r.ask(ev.Call)
	case AnswerBegun:
		r.begin(ev)
	case AttemptEnded:
		r.end(ev)
	}
	return r.effect
}

func (r *Router) emit(e fleet.Effect) { r.effect = append(r.effect, e) }

// setOut exchanges the data centres that are out. The targets of one that returns may
// be cold without having said so yet.
func (r *Router) setOut(out []fleet.DataCentreName) {
	now := map[fleet.DataCentreName]bool{}
	for _, dc := range out {
		now[dc] = true
	}
	for dc := range r.out {
		if !now[dc] {
			r.returned[dc] = r.now
		}
	}
	r.out = now
}

// hear takes what targets said.
func (r *Router) hear(n *fleet.TargetsNotice) {
	for _, h := range n.Announced {
		if r.directory.Announce(r.now.Add(-h.Age), h.Announcement) != targets.Ignored {
			r.heardAgain(h.Target, h.Incarnation)
		}
	}
	for _, id := range n.Alive {
		r.directory.Refresh(r.now, id)
	}
	for _, end := range n.Ended {
		r.directory.End(r.now, end)
	}
	r.index()
}

// heardAgain clears the doubts about a target that started anew.
func (r *Router) heardAgain(id fleet.TargetID, inc fleet.Incarnation) {
	if t := r.targets[id]; t != nil && t.incarnation != inc {
		t.reset(inc)
	}
}

// index follows the directory.
func (r *Router) index() {
	seen := map[fleet.TargetID]bool{}
	r.services = map[fleet.ServiceName][]*target{}
	for _, e := range r.directory.All() {
		t := r.targets[e.Target]
		if t == nil {
			t = newTarget(e.Target, e.Incarnation)
			r.targets[e.Target] = t
		}
		t.entry = e
		seen[e.Target] = true
		r.services[e.Service] = append(r.services[e.Service], t)
	}
	for id, t := range r.targets {
		if !seen[id] {
			t.entry = nil
			if t.running == 0 {
				delete(r.targets, id)
			}
		}
	}
}

// tick drops what is out of date.
func (r *Router) tick() {
	if r.listening {
		since := r.now.Add(-r.cfg.SilentAfter)
		gone := r.directory.Expire(r.now, since, func(id fleet.TargetID) bool {
			t := r.targets[id]
			return t != nil && t.answeredAt.After(since)
		})
		if len(gone) > 0 {
			r.index()
		}
	}
	r.keys.forget(r.now)
}

// ask places a new call.
func (r *Router) ask(c Call) {
	if r.config == nil {
		r.emit(Refuse{Call: c.ID, Reason: fleet.ReasonConfigUnconfirmed, RetryAfter: r.cfg.Policy.NoTargetRetryDelay})
		return
	}
	k := &call{Call: c, service: c.Route.Pick(drawOf(&c))}
	r.budget(k.service).asked(r.now)
	if crashes := r.report.crashes(c.Content); crashes >= maxCrashes {
		r.emit(Refuse{Call: c.ID, Reason: fleet.ReasonQuarantined, RetryAfter: quarantineRetry})
		return
	}
	r.report.demanded(k)
	if refusal, ok := r.admitCall(k); !ok {
		r.emit(refusal)
		return
	}
	r.place(k)
}

// place sends a call to the best target, or refuses it when there is none.
func (r *Router) place(k *call) {
	t, reason := r.choose(k)
	if t == nil {
		r.finish(k)
		if k.sends == 0 {
			r.emit(Refuse{Call: k.ID, Reason: fleet.ReasonNoTarget, RetryAfter: r.cfg.Policy.NoTargetRetryDelay})
			return
		}
		r.emit(GiveUp{Call: k.ID, Reason: fleet.ReasonNoTarget, NotRun: k.attempts == 0, RetryAfter: r.cfg.Policy.NoTargetRetryDelay})
		return
	}
	if k.sends == 0 && r.isTooLate(k, reason) {
		r.admit.refund(k.Customer, float64(shareTokens(&k.Call)))
		r.emit(Refuse{Call: k.ID, Reason: fleet.ReasonExpectedLate, RetryAfter: r.returnTime(k, reason), Basis: reason})
		return
	}
	r.send(k, t, reason)
}

func (r *Router) send(k *call, t *target, reason Basis) {
	k.sends++
	k.attempts++
	k.current, k.begun, k.sentAt = t, false, r.now
	k.tried = append(k.tried, t.id)
	k.expected = reason.ExpectedFirstByte
	r.calls[k.ID] = k
	t.take(k)
	r.report.sent(k)
	if r.isCold(t) {
		t.coldSends = append(t.coldSends, r.now)
	}
	r.emit(Send{
		Call: k.ID, Attempt: k.sends, Target: t.id, Incarnation: t.incarnation,
		Address: t.entry.Address, MaxIdle: r.idleConnections(k.service), Basis: reason,
	})
}

// idleConnections returns how many unused connections to keep to a target: the
// connections that it allows are divided among the routers.
func (r *Router) idleConnections(service fleet.ServiceName) int {
	s := r.config.Service(service)
	if s == nil || s.Connections == 0 {
		return maxIdle
	}
	return min(maxIdle, max(1, s.Connections/(2*max(1, len(r.routers)))))
}

// begin notes that an answer has begun.
func (r *Router) begin(ev AnswerBegun) {
	k := r.calls[ev.Call]
	if k == nil || k.sends != ev.Attempt || k.begun {
		return
	}
	k.begun = true
	k.current.begin(k, r.now)
	r.learnPace(k)
}

// end notes that an attempt has ended, and sends the call again where that is allowed.
func (r *Router) end(ev AttemptEnded) {
	k := r.calls[ev.Call]
	if k == nil || k.sends != ev.Attempt {
		return
	}
	t := k.current
	t.release(k)
	r.learn(k, t, ev)
	if ev.Outcome.NotRun() {
		k.attempts--
	}
	switch ev.Outcome {
	case Answered, CallerGone, Truncated, Expired:
		r.finish(k)
		return
	}
	if reason := r.cannotRepeat(k, ev.Outcome); reason != "" {
		r.finish(k)
		r.emit(GiveUp{Call: k.ID, Reason: reason, NotRun: k.attempts == 0, RetryAfter: r.cfg.Policy.DeclinedRetryDelay})
		return
	}
	r.place(k)
}

// cannotRepeat says why a call is not sent again; empty when it may be.
func (r *Router) cannotRepeat(k *call, o Outcome) fleet.Reason {
	if !o.NotRun() && (!k.Route.Repeatable() || k.attempts >= k.Route.Attempts) {
		return reasonOf(o)
	}
	if k.sends >= maxSends || k.Deadline.Sub(r.now) < minRepeatTime {
		return reasonOf(o)
	}
	// A target that was never reached did not count as an arrival.
	if o != Unreached && !r.budget(k.service).repeat(r.now, r.retryShare()) {
		return fleet.ReasonRetryBudget
	}
	return ""
}

func reasonOf(o Outcome) fleet.Reason {
	switch o {
	case Unreached:
		return fleet.ReasonTargetConnect
	case Declined, Misdirected:
		return fleet.ReasonTargetRefused
	case FailedAnswer:
		return fleet.ReasonTargetWrongAnswer
	}
	return fleet.ReasonTargetReset
}

func (r *Router) finish(k *call) { delete(r.calls, k.ID) }

// retryShare is the part of the fleet's second attempts that belongs to this router.
func (r *Router) retryShare() retryShare {
	return retryShare{limits: r.cfg.Retries, routers: max(1, len(r.routers))}
}

func (r *Router) budget(s fleet.ServiceName) *budget {
	b := r.budgets[s]
	if b == nil {
		b = newBudget(r.cfg.Retries.Window)
		r.budgets[s] = b
	}
	return b
}

// isTried says whether a call was sent to a target before.
func (k *call) isTried(id fleet.TargetID) bool { return slices.Contains(k.tried, id) }
