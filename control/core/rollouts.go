package core

import (
	"context"
	"expvar"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
	"github.com/fuchsiashed/fuchsiashed/fleet/registry"
	"github.com/fuchsiashed/fuchsiashed/fleet/rollout"
)

// reviewInterval is the time between two reviews of the active roll-outs at the leader. Routers
// report as often at most.
const reviewInterval = 100 * time.Millisecond

// aloneFor is the time without targets of other versions after which a service has none. Targets
// that crash are back sooner.
const aloneFor = 15 * time.Second

// rolloutDecisions counts the leader's decisions on roll-outs by the state that they lead to and the
// reason, and those that were not committed.
var rolloutDecisions = expvar.NewMap("RolloutDecisions")

// rolloutBoard has the committed roll-outs as this host knows them, for notices.
type rolloutBoard struct {
	mu       sync.Mutex
	rollouts []fleet.Rollout
	// at is when they were committed here.
	at time.Time
}

func (b *rolloutBoard) set(now time.Time, rollouts []fleet.Rollout) (changed []fleet.Rollout) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range rollouts {
		same := func(o fleet.Rollout) bool { return o.Number == r.Number && o.Revision == r.Revision }
		if !slices.ContainsFunc(b.rollouts, same) {
			changed = append(changed, r)
		}
	}
	b.rollouts, b.at = rollouts, now
	return changed
}

// list returns the roll-outs with the time that is left of them now.
func (b *rolloutBoard) list(now time.Time) []fleet.Rollout {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := slices.Clone(b.rollouts)
	for i := range out {
		out[i].Left -= now.Sub(b.at)
	}
	return out
}

// hasActive reports whether a roll-out is in progress.
func (b *rolloutBoard) hasActive() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(b.rollouts, func(r fleet.Rollout) bool { return r.State == fleet.RolloutActive })
}

// onRolloutsChange stores newly committed roll-outs and queues a notice about them.
func (c *Core) onRolloutsChange(rollouts []fleet.Rollout) {
	for _, r := range c.board.set(c.cfg.Clock.Now(), rollouts) {
		c.cfg.Log.Info(logevent.RolloutChanged, append(rolloutFields(&r), "left", r.Left.String())...)
	}
	c.hub.queueNotice()
}

// rolloutFields returns the fields by which log lines name a roll-out.
func rolloutFields(r *fleet.Rollout) []any {
	return []any{
		logevent.FieldService, string(r.Service), "to", string(r.To), logevent.FieldRollout, uint64(r.Number),
		logevent.FieldRevision, r.Revision, "state", string(r.State), "share", r.Share,
	}
}

// rolloutLeader decides on the active roll-outs while this host leads. It starts anew in each term.
type rolloutLeader struct {
	limits rollout.Limits

	mu   sync.Mutex
	term fleet.Term
	led  map[fleet.RolloutNumber]*ledRollout
}

// ledRollout is a roll-out that this host decides on.
type ledRollout struct {
	control *rollout.Controller
	// proposing is true while a change is on its way to the log.
	proposing bool
}

// addReport passes on what a router reports of the roll-outs. A heartbeat has nothing.
func (l *rolloutLeader) addReport(now time.Time, r *fleet.RouterLoad) {
	if r.Sequence == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for number, led := range l.led {
		ev := rollout.Reported{Host: r.Host}
		for i := range r.Rollouts {
			if r.Rollouts[i].Number == number {
				ev.Outcomes = append(ev.Outcomes, r.Rollouts[i])
			}
		}
		led.control.Reduce(now, ev)
	}
}

// reset forgets all counts, after the end of a term.
func (l *rolloutLeader) reset(term fleet.Term) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term, l.led = term, map[fleet.RolloutNumber]*ledRollout{}
}

// decision is a change that the leader proposes.
type decision struct {
	rollout fleet.Rollout
	rollout.Changed
	due                    time.Duration
	newTargets, oldTargets int
}

// review passes a roll-out to its Controller and returns the change to propose, or nil.
func (l *rolloutLeader) review(now time.Time, term fleet.Term, ev *rollout.Reviewed) *decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != term {
		l.term, l.led = term, map[fleet.RolloutNumber]*ledRollout{}
	}
	led := l.led[ev.Rollout.Number]
	if led == nil {
		led = &ledRollout{control: rollout.New(now, l.limits)}
		l.led[ev.Rollout.Number] = led
	}
	if led.proposing {
		return nil
	}
	for _, e := range led.control.Reduce(now, *ev) {
		if ch, ok := e.(rollout.Changed); ok {
			led.proposing = true
			return &decision{rollout: ev.Rollout, Changed: ch, due: ev.Left, newTargets: ev.NewTargets, oldTargets: ev.OldTargets}
		}
	}
	return nil
}

// proposed records that a proposal in a term was committed or has failed.
func (l *rolloutLeader) proposed(term fleet.Term, number fleet.RolloutNumber) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if led := l.led[number]; led != nil && l.term == term {
		led.proposing = false
	}
}

// forget drops the Controllers of roll-outs that are not active any more.
func (l *rolloutLeader) forget(active map[fleet.RolloutNumber]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for number := range l.led {
		if !active[number] {
			delete(l.led, number)
		}
	}
}

// runRollouts reviews the active roll-outs while this host leads.
func (c *Core) runRollouts() {
	ticker := time.NewTicker(reviewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.stop:
			return
		case <-ticker.C:
		}
		if c.board.hasActive() {
			c.reviewRollouts()
		}
	}
}

// reviewRollouts reviews all active roll-outs and proposes the changes.
func (c *Core) reviewRollouts() {
	var term fleet.Term
	var leads bool
	var reviews []registry.RolloutReview
	c.shell.Inspect(func(s *registry.Server) {
		if term, leads = s.Leadership(); leads {
			reviews = s.RolloutReviews()
		}
	})
	if !leads {
		c.rollouts.reset(term)
		return
	}
	active := map[fleet.RolloutNumber]bool{}
	for i := range reviews {
		r := &reviews[i]
		if r.State != fleet.RolloutActive {
			continue
		}
		active[r.Number] = true
		ev := rollout.Reviewed{Rollout: r.Rollout, Left: r.Due, Dropped: !c.hasService(r.Service)}
		ev.NewTargets, ev.OldTargets = c.countVersions(&r.Rollout)
		ev.Alone = c.isAlone(r.Service, r.To)
		if d := c.rollouts.review(c.cfg.Clock.Now(), term, &ev); d != nil {
			c.wg.Go(func() { c.propose(term, d) })
		}
	}
	c.rollouts.forget(active)
}

// countVersions returns the numbers of serving targets of a roll-out's service with the new version
// and with others, in the data centres that are in service.
func (c *Core) countVersions(r *fleet.Rollout) (newTargets, oldTargets int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.targets.All() {
		switch {
		case e.Service != r.Service || e.State != fleet.TargetServing || slices.Contains(c.state.Out, e.DataCentre):
		case e.SoftwareVersion == r.To:
			newTargets++
		default:
			oldTargets++
		}
	}
	return newTargets, oldTargets
}

// isAlone reports whether a service has had targets of this version and no other for aloneFor. A host
// that has started lately does not know.
func (c *Core) isAlone(service fleet.ServiceName, to fleet.SoftwareVersion) bool {
	now := c.cfg.Clock.Now()
	if now.Sub(c.startTime) < aloneFor || !c.HasQuorumContact() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	versions := c.targets.Versions(service, now.Add(-aloneFor))
	return len(versions) == 1 && versions[0] == to
}

// propose logs and proposes a decision. It has no effect unless the roll-out is still as it was
// when the decision was made.
func (c *Core) propose(term fleet.Term, d *decision) {
	defer c.rollouts.proposed(term, d.rollout.Number)
	c.logDecision(d)
	rolloutDecisions.Add(string(d.State)+string(d.Reason), 1)
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	a, err := c.shell.Submit(ctx, registry.Request{ChangeRollout: &registry.ChangeRollout{
		Service: d.rollout.Service, Number: d.rollout.Number, Revision: d.rollout.Revision, State: d.State, Share: d.Share,
	}})
	if err == nil && a.Failure != nil {
		err = errors.New(a.Failure.Message)
	}
	if err != nil {
		rolloutDecisions.Add("NotCommitted", 1)
		c.cfg.Log.Warn(logevent.RolloutNotCommitted, append(rolloutFields(&d.rollout), logevent.FieldError, err)...)
	}
}

// logDecision logs a decision with the figures that it rests on and their age.
func (c *Core) logDecision(d *decision) {
	b := &d.Basis
	c.cfg.Log.Info(logevent.RolloutDecided, append(rolloutFields(&d.rollout),
		"nextState", string(d.State), "nextShare", d.Share, logevent.FieldReason, string(d.Reason),
		"newAnswers", b.New.Answers, "newBad", b.New.Bad, "newLevel", b.New.Level,
		"oldAnswers", b.Old.Answers, "oldBad", b.Old.Bad, "oldLevel", b.Old.Level,
		"failureScore", b.Failures, "failureRoute", b.FailuresRoute, "slownessScore", b.Slowness, "slownessRoute", b.SlownessRoute,
		"answersPerS", b.Rate, "oldRunning", b.Running, "few", b.Few, "countsAgeMs", b.Age.Milliseconds(), "countedForMs", b.Since.Milliseconds(),
		"newTargets", d.newTargets, "oldTargets", d.oldTargets, "dueMs", d.due.Milliseconds())...)
}
