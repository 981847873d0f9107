package placement

import (
	"cmp"
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
	// ExtraRequestRatio is the fraction of a service's requests in Retries.Window that all routers
	// together may send to a second target while the first one is still running them, see ExtraDue.
	ExtraRequestRatio float64
	Cold              ColdLimits
	// SilentAfter is the time without announcements after which a target is removed, unless
	// it answered a request within that time.
	SilentAfter time.Duration
	// RollbackTime is the time within which a bad version of a roll-out must get no more requests;
	// 0 means 5 s.
	RollbackTime time.Duration
	Policy       Policy
}

// Router is the reducer of one router. It implements fleet.Reducer.
type Router struct {
	cfg     Config
	now     time.Time
	effects []fleet.Effect

	config         *deployment.Configuration
	dataCentresOut map[fleet.DataCentreName]bool
	returnedAt     map[fleet.DataCentreName]time.Time
	directory      *targets.Directory
	// noticeAt is when the state of the targets was last received.
	noticeAt  time.Time
	targets   map[fleet.TargetID]*target
	services  map[fleet.ServiceName][]*target
	peers     peers
	listening bool

	calls           map[CallID]*call
	budgets         map[fleet.ServiceName]*retryBudget
	serviceSlowness map[fleet.ServiceName]*serviceSlowness
	// hotParts has the rate of the whole fleet's work for hot parts, in tokens a second.
	hotParts  map[PartID]float64
	digest    digestState
	admission admission
	report    reportState
	parts     partsState
	limits    limitShare
	paces     paceState
	rollouts  map[fleet.ServiceName]*rollout
	// firstBytes is empty if Config.ExtraRequestRatio is 0.
	firstBytes firstByteTimes
}

// call is a request that has not ended, with its newest attempt.
type call struct {
	Call
	service fleet.ServiceName
	// attempts counts the attempts that may have run.
	attempts int
	// sends counts all attempts.
	sends int
	hedging
	triedTargets []fleet.TargetID
	current      *target
	// currentVersion is the software version that current had when the call was sent.
	currentVersion fleet.SoftwareVersion
	// currentIncarnation is the incarnation that current had when it was chosen.
	currentIncarnation fleet.Incarnation
	// origin is set once the call belongs to a stream that has begun.
	origin      *fleet.StreamOrigin
	answerBegun bool
	// answerSustained is true once the answer has shown that the request does not crash the
	// current target.
	answerSustained bool
	// sentAt is when the call was written to the current target, or when the target was chosen
	// until then.
	sentAt time.Time
	// source is the target from which the current target is asked to fetch the shared part, in
	// the incarnation sourceIncarnation; nil for none.
	source            *target
	sourceIncarnation fleet.Incarnation
	// prefillTokens is the number of prompt tokens that the current target has to process.
	prefillTokens     int
	expectedFirstByte time.Duration
	// assumedSlowness is the slowness of the current target and its service when the call was
	// sent.
	assumedSlowness float64
	// trust is the factor by which expectedFirstByte is reduced, see serviceSlowness.
	trust   float64
	rollout callRollout
}

// New returns a Router without configuration and targets. It refuses calls until it has them.
func New(cfg Config) *Router {
	cfg.RollbackTime = cmp.Or(cfg.RollbackTime, defaultRollbackTime)
	return &Router{
		cfg: cfg, directory: targets.New(),
		dataCentresOut: map[fleet.DataCentreName]bool{}, returnedAt: map[fleet.DataCentreName]time.Time{},
		targets: map[fleet.TargetID]*target{}, services: map[fleet.ServiceName][]*target{},
		peers: newPeers(), calls: map[CallID]*call{}, budgets: map[fleet.ServiceName]*retryBudget{},
		serviceSlowness: map[fleet.ServiceName]*serviceSlowness{}, admission: newAdmission(), report: newReportState(), parts: newPartsState(),
		rollouts:   map[fleet.ServiceName]*rollout{},
		firstBytes: newFirstByteTimes(),
	}
}

// Reduce implements fleet.Reducer.
func (r *Router) Reduce(now time.Time, ev fleet.Event) []fleet.Effect {
	r.now, r.effects = now, nil
	r.expirePaces()
	switch ev := ev.(type) {
	case ConfigChanged:
		r.config = ev.Config
	case DataCentresOutChanged:
		r.setDataCentresOut(ev.Out)
	case TargetsNoticeReceived:
		r.applyNotice(&ev.TargetsNotice)
	case PeersChanged:
		r.peers.update(r.now, ev.Routers, ev.Listening)
		r.listening = ev.Listening
	case DigestReceived:
		r.applyDigest(&ev)
	case RolloutsNoticed:
		r.rolloutsNoticed(ev)
	case Tick:
		r.tick()
	case ReportDue:
		r.emit(Report{RouterLoad: r.makeReport()})
	case CallArrived:
		r.callArrived(ev.Call)
	case SendDue:
		r.sendDue(ev)
	case ResponseReceived:
		r.responseReceived(ev)
	case AnswerBegun:
		r.answerBegun(ev)
	case AnswerSustained:
		if k := r.openAttempt(ev.Call, ev.Attempt); k != nil {
			r.sustain(k)
		}
	case ExtraDue:
		r.extraDue(ev)
	case AttemptEnded:
		r.attemptEnded(ev)
	}
	return r.effects
}

func (r *Router) emit(e fleet.Effect) { r.effects = append(r.effects, e) }

// setDataCentresOut replaces the data centres that are out. It records when a data centre
// returns, since its targets may be cold without having announced so yet.
func (r *Router) setDataCentresOut(out []fleet.DataCentreName) {
	current := map[fleet.DataCentreName]bool{}
	for _, dc := range out {
		current[dc] = true
	}
	for dc := range r.dataCentresOut {
		if !current[dc] {
			r.returnedAt[dc] = r.now
		}
	}
	r.dataCentresOut = current
}

// tick removes targets that no longer announce themselves, forgets old cached parts, and updates the
// shares of roll-outs.
func (r *Router) tick() {
	r.dropOldParts()
	if r.listening {
		since := r.now.Add(-r.cfg.SilentAfter)
		gone := r.directory.Expire(r.now, since, func(id fleet.TargetID) bool {
			t := r.targets[id]
			return t != nil && t.answeredAt.After(since)
		})
		if len(gone) > 0 {
			r.rebuildIndex()
		}
	}
	r.refreshRollouts()
	r.firstBytes.prune(r.now)
}

// callArrived admits and places a new call, or refuses it.
func (r *Router) callArrived(c Call) {
	if r.config == nil {
		r.emit(Refuse{Call: c.ID, Reason: fleet.ReasonConfigUnconfirmed, RetryAfter: r.cfg.Policy.NoTargetRetryDelay})
		return
	}
	k := &call{Call: c, service: ServiceOf(&c)}
	if c.Resuming && c.Route.ResumesStreams() && !r.resumeStream(k) {
		r.emit(Refuse{Call: c.ID, Reason: fleet.ReasonStreamUnknown, RetryAfter: minRetryDelay})
		return
	}
	r.budget(k.service).addRequest(r.now)
	if r.isQuarantined(&c) {
		r.emit(Refuse{Call: c.ID, Reason: fleet.ReasonQuarantined, RetryAfter: quarantineRetryDelay})
		return
	}
	r.report.addArrival(k)
	if refusal, ok := r.admitCall(k); !ok {
		r.emit(refusal)
		return
	}
	r.place(k)
}

// isQuarantined reports whether a call, or others with a part of its prompt, crashed targets.
func (r *Router) isQuarantined(c *Call) bool {
	return r.report.crashCount(c.Content) >= maxCrashes || r.parts.isQuarantined(r.now, &c.Prompt)
}

// place sends a call to the best target. It refuses or fails the call if there is none or
// the answer would be late.
func (r *Router) place(k *call) {
	t, basis := r.choose(k)
	if t == nil {
		r.finish(k)
		reason, delay := r.noTargetReason(k)
		if k.sends == 0 {
			r.emit(Refuse{Call: k.ID, Reason: reason, RetryAfter: delay, Basis: Basis{Rollout: r.rolloutBasis(k, nil)}})
			return
		}
		r.emit(GiveUp{Call: k.ID, Reason: reason, NotRun: k.attempts == 0, RetryAfter: delay})
		return
	}
	late := k.sends == 0 && r.isTooLate(k, basis)
	if late && r.isLight(k) {
		t, basis = r.chooseForLight(k, t, basis)
		late = r.now.Add(basis.ExpectedFirstByte).After(k.Deadline)
	}
	basis.Rollout = r.rolloutBasis(k, t)
	if late {
		r.report.addLate(k)
		r.admission.refund(k.Customer, float64(shareTokens(&k.Call)))
		r.emit(Refuse{Call: k.ID, Reason: fleet.ReasonExpectedLate, RetryAfter: r.lateRetryDelay(k, basis), Basis: basis})
		return
	}
	r.send(k, t, basis)
}

func (r *Router) send(k *call, t *target, basis Basis) {
	k.sends++
	k.attempts++
	k.attempt = k.sends
	k.current, k.currentVersion, k.currentIncarnation, k.sentAt = t, t.entry.SoftwareVersion, t.incarnation, r.now
	k.answerBegun, k.answerSustained = false, false
	k.triedTargets = append(k.triedTargets, t.id)
	k.expectedFirstByte = basis.ExpectedFirstByte
	state := r.slownessState(k.service)
	k.assumedSlowness, k.trust = t.slownessAt(r.now)*state.average, state.trust
	r.calls[k.ID] = k
	t.addCall(k)
	r.beginTransfer(k)
	r.report.addSent(k)
	r.countSend(k, t)
	if r.isCold(t) {
		t.coldSends = append(t.coldSends, r.now)
	}
	t.limit.addSend(r.now)
	t.returns.addCall(k)
	k.slow = r.slowTimeOf(k)
	r.emit(Send{
		Call: k.ID, Attempt: k.attempt, Target: t.id, Incarnation: t.incarnation,
		SoftwareVersion: k.currentVersion, Address: t.entry.Address, CopyFrom: k.sourceAddress(),
		MaxIdle: r.idleConnections(k.service), ExtraAfter: k.slow.After, Basis: basis,
	})
}

// idleConnections returns the number of idle connections to keep to a target: half of the
// connections that its service allows, divided by the number of routers.
func (r *Router) idleConnections(service fleet.ServiceName) int {
	s := r.config.Service(service)
	if s == nil || s.Connections == 0 {
		return maxIdleConnections
	}
	return min(maxIdleConnections, max(1, s.Connections/(2*max(1, len(r.peers.listed)))))
}

// answerBegun records that the answer to a call has begun.
func (r *Router) answerBegun(ev AnswerBegun) {
	k := r.openAttempt(ev.Call, ev.Attempt)
	if k == nil || k.answerBegun {
		return
	}
	k.answerBegun = true
	r.countBegin(k, ev.Failed)
	if ev.Stream {
		r.beginStream(k)
	}
	r.parts.addBegin(k)
	if !ev.Failed {
		r.noteKeptPart(k)
	}
	r.transferAnswered(k, ev.Failed)
	k.current.begin(k, r.now)
	// Errors come without the prompt having been processed.
	if !ev.Failed {
		r.updateSlowness(k)
		r.addFirstByteTime(k)
	}
}

// sustain records that the request of a call does not crash its target.
func (r *Router) sustain(k *call) {
	if !k.answerSustained {
		k.answerSustained = true
		r.parts.addSustained(k)
	}
}

// attemptEnded records the end of an attempt, and sends the call again if that is permitted.
func (r *Router) attemptEnded(ev AttemptEnded) {
	k := r.openAttempt(ev.Call, ev.Attempt)
	if k == nil {
		return
	}
	t := k.current
	t.removeCall(k)
	r.countEnd(k, ev.Outcome)
	r.recordOutcome(k, t, ev)
	r.transferAttemptEnded(k, ev.Outcome)
	r.addUnansweredTime(k, ev.Outcome)
	if k = r.closeAttempt(k, ev.Outcome); k == nil {
		return
	}
	if ev.Outcome.endsCall() || ev.Outcome == Superseded {
		r.finish(k)
		return
	}
	if reason := r.retryObstacle(k, ev.Outcome); reason != "" {
		r.finish(k)
		r.emit(GiveUp{Call: k.ID, Reason: reason, NotRun: k.attempts == 0, RetryAfter: r.cfg.Policy.DeclinedRetryDelay})
		return
	}
	r.place(k)
}

// retryObstacle returns the reason why a call may not be sent again, or "" if it may.
func (r *Router) retryObstacle(k *call, o Outcome) fleet.Reason {
	if o == VersionRefused {
		return fleet.ReasonVersionRefused
	}
	if !o.NotRun() && (!k.Route.Repeatable() || k.attempts >= k.Route.Attempts) {
		return failureReason(o)
	}
	if k.sends >= maxSends || k.Deadline.Sub(r.now) < minRetryTime {
		return failureReason(o)
	}
	if r.isQuarantined(&k.Call) {
		return fleet.ReasonQuarantined
	}
	// An attempt that reached no target does not count towards the retry limit.
	if o != Unreached && o != Withdrawn && !r.budget(k.service).tryRetry(r.now, r.retryShare()) {
		return fleet.ReasonRetryBudget
	}
	return ""
}

func (r *Router) finish(k *call) { delete(r.calls, k.ID) }

// isTried reports whether a call was sent to a target before.
func (k *call) isTried(id fleet.TargetID) bool { return slices.Contains(k.triedTargets, id) }
