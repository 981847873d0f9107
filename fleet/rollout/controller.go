package rollout

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

const (
	// revertScore is the score from which a version is reverted. A sound one reaches it in fewer
	// than 1 of 100 roll-outs over all reviews and routes; see TestSoundVersions.
	revertScore = 2.8
	// routeDiscount is subtracted from the score of a single route.
	routeDiscount = 0.3
	// doubtScore is the score from which the share is not raised.
	doubtScore = 1.8
	// endScore is the score over all routes and the whole term from which a version is reverted
	// when there is no time left to wait.
	endScore = 2.4
	// minStepAnswers is the number of answers of the new version that a step waits for, for up
	// to twice its time.
	minStepAnswers = 20
	// fewAnswers is the number of answers below which a version is not known to be sound.
	fewAnswers = 100
	// warmUp is the time from the first report that a leader waits before it raises a share. All
	// routers with requests report within it.
	warmUp = 500 * time.Millisecond
	// rateTime is the time over which the rate of answers is measured.
	rateTime = 2 * time.Second
	// announceTime is the time within which a control host that has started learns of all targets, of
	// which some announcements are lost.
	announceTime = 4 * time.Second
	// usualReviews is the number of reviews over which the time for a request is averaged.
	usualReviews = 10
	// minSilent is the number of running requests from which a version without answers is silent,
	// silentTime the time for which it must be so.
	minSilent  = 12
	silentTime = 2 * time.Second
	// silentMultiple is that time as a multiple of the old version's time for a request.
	silentMultiple = 3
	// lagMultiple is the multiple of the old version's time for a request from which the share is
	// not raised to the next step of the move.
	lagMultiple = 2.5
)

// Controller decides on one roll-out during one term of the leader. It implements fleet.Reducer and
// is not safe for concurrent use.
type Controller struct {
	limits  Limits
	judge   *judge
	routers routers
	// rate is that of the answers of both versions, oldRate that of the old one.
	rate, oldRate rateMeter
	// firstReport and lastReport are the times of the reports; zero before the first.
	firstReport, lastReport time.Time
	// seen is the roll-out of the last review, stepSince when its share was first seen, and
	// stepAnswers the number of answers of the new version since.
	seen        fleet.Rollout
	stepSince   time.Time
	stepAnswers int
	// usual is the old version's mean time for a request; 0 if it is not known.
	usual time.Duration
	// targetsSeen is when the new version last had targets, at first the beginning.
	targetsSeen time.Time
	// silentSince is when the new version began not to answer; zero if it answers.
	silentSince time.Time
}

// New returns a Controller that has no reports yet.
func New(now time.Time, limits Limits) *Controller {
	return &Controller{limits: limits, judge: newJudge(now), routers: routers{}, targetsSeen: now}
}

// Reduce implements fleet.Reducer. It accepts Reported and Reviewed, and returns at most one
// Changed.
func (c *Controller) Reduce(now time.Time, ev fleet.Event) []fleet.Effect {
	switch ev := ev.(type) {
	case Reported:
		c.report(now, &ev)
	case Reviewed:
		return c.review(now, &ev)
	}
	return nil
}

func (c *Controller) report(now time.Time, r *Reported) {
	if c.firstReport.IsZero() {
		c.firstReport = now
	}
	c.lastReport = now
	c.routers.report(now, r)
	for i := range r.Outcomes {
		o := &r.Outcomes[i]
		c.judge.add(now, o)
		c.rate.add(now, o.Answers)
		if !o.New {
			c.oldRate.add(now, o.Answers)
		}
		if o.New && o.Answers > 0 {
			c.stepAnswers += o.Answers
			c.silentSince = time.Time{}
		}
	}
}

func (c *Controller) review(now time.Time, r *Reviewed) []fleet.Effect {
	if r.Rollout.State != fleet.RolloutActive {
		return nil
	}
	c.judge.advance(now)
	// A router that has been cut off for as long sends nothing to the new version.
	c.routers.prune(now, c.limits.RollbackTime/2)
	if r.Rollout.Share != c.seen.Share || c.stepSince.IsZero() {
		c.stepSince, c.stepAnswers = now, 0
	}
	c.seen = r.Rollout
	c.updateUsual(now, r.Rollout.Share)
	if r.NewTargets > 0 {
		c.targetsSeen = now
	}
	c.checkSilence(now)
	ch := c.decide(now, r)
	if ch == nil {
		return nil
	}
	if ch.State == fleet.RolloutReverted {
		ch.Share = 0
	}
	ch.Basis = c.basis(now)
	return []fleet.Effect{*ch}
}

// decide returns the change to make, or nil.
func (c *Controller) decide(now time.Time, r *Reviewed) *Changed {
	s := newSchedule(r.Rollout.Duration, c.usual)
	if r.Left <= s.margin && c.isWarm(now, r) {
		switch {
		case r.Dropped:
			return &Changed{State: fleet.RolloutReverted, Reason: ReasonDropped}
		case c.hasNoTargets(now, r):
			return &Changed{State: fleet.RolloutReverted, Reason: ReasonNoTargets}
		}
	}
	// Without old targets, a reverted roll-out would leave the service with none.
	if r.OldTargets > 0 {
		if reason := c.fault(now); reason != "" {
			return &Changed{State: fleet.RolloutReverted, Reason: reason}
		}
	}
	if r.Dropped || r.NewTargets == 0 || !c.isWarm(now, r) {
		return nil
	}
	share := r.Rollout.Share
	urgent := s.urgent(share, r.Left)
	if c.isDoubtful() {
		// A version in doubt that has all requests may use half of the margin.
		if !urgent || share >= 1 && r.Left > s.margin/2 {
			return nil
		}
		if c.score() >= endScore && r.OldTargets > 0 {
			return &Changed{State: fleet.RolloutReverted, Reason: ReasonDoubt}
		}
	}
	switch {
	case share >= 1:
		return c.complete(now, r, &s)
	case r.Alone:
		return &Changed{State: fleet.RolloutActive, Share: 1, Reason: ReasonAlone}
	}
	if !c.stepIsDone(now, share, &s, urgent) {
		return nil
	}
	if r.Left <= s.move() {
		if c.isLagging(now) && !urgent {
			return nil
		}
		return &Changed{State: fleet.RolloutActive, Share: nextMoveShare(share), Reason: ReasonMove}
	}
	limit := s.trialShare(&c.limits, r.Rollout.Duration, c.rate.perSecond(now))
	// New targets that are fewer than the old ones take as much less.
	if r.OldTargets > 0 {
		limit = min(limit, float64(r.NewTargets)/float64(r.OldTargets))
	}
	if next := nextTrialShare(share, limit); next > share {
		return &Changed{State: fleet.RolloutActive, Share: next, Reason: ReasonTrial}
	}
	return nil
}

// hasNoTargets reports whether the new version has had no targets for so long that the leader
// would know of them. A leader that knows of no targets at all may have just started.
func (c *Controller) hasNoTargets(now time.Time, r *Reviewed) bool {
	required := announceTime
	if r.OldTargets == 0 {
		required = 2 * announceTime
	}
	return r.NewTargets == 0 && now.Sub(c.targetsSeen) >= required
}

// fault returns why the new version has to be reverted, or "".
func (c *Controller) fault(now time.Time) Reason {
	if c.judge.failing >= failingSlices {
		return ReasonFailing
	}
	if v, _ := c.judge.worst(failures); v >= revertScore {
		return ReasonFailures
	}
	if v, _ := c.judge.worst(slowness); v >= revertScore {
		return ReasonSlow
	}
	if c.isSilent(now) {
		return ReasonSilent
	}
	return ""
}

// score returns the larger score of both kinds of faults over all routes and the whole term.
func (c *Controller) score() float64 {
	return max(c.judge.all[failures].total(), c.judge.all[slowness].total())
}

// isDoubtful reports whether the new version seems worse than the old one.
func (c *Controller) isDoubtful() bool {
	f, _ := c.judge.worst(failures)
	s, _ := c.judge.worst(slowness)
	return max(f, s) >= doubtScore
}

// isWarm reports whether the leader has collected reports for long enough. After the end of the
// time it doesn't wait for the first one: there may be no routers with requests.
func (c *Controller) isWarm(now time.Time, r *Reviewed) bool {
	if c.firstReport.IsZero() {
		return r.Left <= 0 && now.Sub(c.judge.start) >= 2*warmUp
	}
	return now.Sub(c.firstReport) >= warmUp
}

// stepIsDone reports whether the present share has been judged for long enough.
func (c *Controller) stepIsDone(now time.Time, share float64, s *schedule, urgent bool) bool {
	elapsed := now.Sub(c.stepSince)
	switch {
	case share == 0:
		return true
	case urgent:
		return elapsed >= s.step/2
	case c.stepAnswers < minStepAnswers:
		return elapsed >= 2*s.step
	}
	return elapsed >= s.step
}

// complete returns the end of a roll-out whose share is 1, once all is moved or the time is up.
func (c *Controller) complete(now time.Time, r *Reviewed, s *schedule) *Changed {
	elapsed := now.Sub(c.stepSince)
	switch {
	case elapsed >= s.atFull() && c.routers.running(oldVersion) == 0 && c.routers.follow(r.Rollout.Revision) && !c.isLagging(now):
		return &Changed{State: fleet.RolloutCompleted, Share: 1, Reason: ReasonMoved}
	case r.Left <= s.margin && elapsed >= s.step/2:
		return &Changed{State: fleet.RolloutCompleted, Share: 1, Reason: ReasonTimeUp}
	}
	return nil
}

// checkSilence records since when the new version runs requests without any answer.
func (c *Controller) checkSilence(now time.Time) {
	switch {
	case c.routers.running(newVersion) < minSilent:
		c.silentSince = time.Time{}
	case c.silentSince.IsZero():
		c.silentSince = now
	}
}

// isSilent reports whether the new version has not answered for much longer than the old one
// takes for a request.
func (c *Controller) isSilent(now time.Time) bool {
	if c.silentSince.IsZero() || c.judge.totals[oldVersion].answers == 0 {
		return false
	}
	return now.Sub(c.silentSince) >= max(silentTime, silentMultiple*c.usual)
}

// updateUsual averages the mean time that the old version takes for a request, by Little's law,
// while it gets half of the requests or more.
func (c *Controller) updateUsual(now time.Time, share float64) {
	rate := c.oldRate.perSecond(now)
	if rate == 0 || share > 0.5 {
		return
	}
	t := time.Duration(float64(c.routers.running(oldVersion)) / rate * float64(time.Second))
	if c.usual == 0 {
		c.usual = t
	}
	c.usual += (t - c.usual) / usualReviews
}

// isLagging reports whether the new version takes much longer than the old one for the requests of
// this step, most of which it may not have answered yet.
func (c *Controller) isLagging(now time.Time) bool {
	running := c.routers.running(newVersion)
	perRequest := float64(running) * float64(now.Sub(c.stepSince)) / float64(max(c.stepAnswers, 1))
	return c.usual > 0 && running >= minSilent && perRequest > lagMultiple*float64(c.usual)
}

// basis returns the figures of a decision.
func (c *Controller) basis(now time.Time) Basis {
	b := Basis{
		New: c.judge.totals[newVersion].tally(), Old: c.judge.totals[oldVersion].tally(),
		Rate: c.rate.perSecond(now), Running: c.routers.running(oldVersion),
		Few: c.judge.totals[newVersion].answers < fewAnswers,
	}
	b.Failures, b.FailuresRoute = c.judge.worst(failures)
	b.Slowness, b.SlownessRoute = c.judge.worst(slowness)
	if !c.firstReport.IsZero() {
		b.Age, b.Since = now.Sub(c.lastReport), now.Sub(c.firstReport)
	}
	return b
}
