package rollout

import (
	"time"
)

const (
	// trialExposure is the part of the allowed exposure that the trial may use. The rest is for
	// the time until a fault is noticed that shows only while the share rises to 1.
	trialExposure = 0.25
	// maxTrialShare bounds the share of the trial.
	maxTrialShare = 0.5
	// trialSteps is the number of steps to the share of the trial, each twice the one before.
	trialSteps = 3
)

// moveShares are the shares of the move.
var moveShares = []float64{0.2, 0.5, 1}

// schedule divides the time of a roll-out, from its end: a margin in which another leader can take
// over, the time in which the old targets finish, the steps of the move, and before them the trial.
type schedule struct {
	margin, drain, step, trial time.Duration
}

// newSchedule returns the schedule for a time limit and the old version's mean time for a request.
func newSchedule(total, perRequest time.Duration) schedule {
	s := schedule{
		// An election and the first reports after it take about 2 s.
		margin: min(max(total/6, 300*time.Millisecond), 2*time.Second),
		// A report, a commit and a notice take about 300 ms together, and three observations of
		// a fault as long.
		step: min(max(total/20, 300*time.Millisecond), 1500*time.Millisecond),
	}
	s.drain = min(max(drainMultiple*perRequest, s.atFull()+noticeTime), total/4)
	s.trial = max(total-s.move(), total/4)
	return s
}

// noticeTime is the time after which routers know a change.
const noticeTime = 400 * time.Millisecond

// atFull returns the least time for which all requests go to the new version before the end.
func (s *schedule) atFull() time.Duration { return 2 * s.step }

// drainMultiple is the time for old targets to finish as a multiple of the mean time for a request.
const drainMultiple = 3

// move returns the time before the end at which the move begins.
func (s *schedule) move() time.Duration {
	return s.margin + s.drain + time.Duration(len(moveShares))*s.step
}

// urgent reports whether the rest of the move takes all of the time left.
func (s *schedule) urgent(share float64, left time.Duration) bool {
	steps := 0
	for _, m := range moveShares {
		if m > share {
			steps++
		}
	}
	return left <= s.margin+time.Duration(steps)*s.step/2
}

// trialShare returns the share of the trial, for the rate of the service's requests a second.
func (s *schedule) trialShare(l *Limits, total time.Duration, rate float64) float64 {
	allowed := l.ExposureShare*total.Seconds() + float64(l.ExposureSlack)/max(rate, minRate)
	return min(maxTrialShare, trialExposure*allowed/s.trial.Seconds())
}

// minRate is the rate of requests a second below which a service counts as having this one.
const minRate = 0.1

// nextTrialShare returns the share that follows in the trial, or the present one at its end.
func nextTrialShare(share, limit float64) float64 {
	first := limit / (1 << (trialSteps - 1))
	next := min(max(first, 2*share), limit)
	if next < share*minRaise {
		return share
	}
	return next
}

// minRaise is the least factor by which a step raises the share; less is not worth its time.
const minRaise = 1.2

// nextMoveShare returns the share that follows in the move.
func nextMoveShare(share float64) float64 {
	for _, m := range moveShares {
		if m >= share*minRaise {
			return m
		}
	}
	return 1
}
