package check

import (
	"fmt"
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Violation is a promise that was broken.
type Violation struct {
	Rule   string
	At     time.Duration
	Detail string
}

// contact is how long a process must have been without faults to be in touch
// (contactWindowMs of the platform's sheets).
const contact = 4 * time.Second

const (
	// openTime is how long a router that stops takes every request; one that is sent
	// later may meet a closed door (RULES.md of the platform, planned work).
	openTime = 3 * time.Second
	// most bounds the violations of one rule that are told.
	most = 5
)

// Judge returns the promises that a record breaks.
func Judge(r *Record) []Violation {
	j := judge{Record: r, runs: map[fleet.RequestID][]Run{}, told: map[string]int{}}
	for _, run := range r.Runs {
		j.runs[run.ID] = append(j.runs[run.ID], run)
	}
	for i := range r.Requests {
		j.request(&r.Requests[i])
	}
	j.reads()
	j.absences()
	j.stops()
	j.retries()
	j.coldStarts()
	return j.found
}

type judge struct {
	*Record
	runs  map[fleet.RequestID][]Run
	found []Violation
	told  map[string]int
}

func (j *judge) tell(rule string, at time.Duration, format string, args ...any) {
	j.told[rule]++
	if j.told[rule] <= most {
		j.found = append(j.found, Violation{Rule: rule, At: at, Detail: fmt.Sprintf(format, args...)})
	}
}

// calm says whether nothing was wrong from before a moment until another one.
func (j *judge) calm(from, to time.Duration, ofTargets bool) bool {
	return !slices.ContainsFunc(j.Faults, func(f Interval) bool {
		return (ofTargets || !f.OfTarget) && f.From <= to && f.To >= from-contact
	})
}

func (j *judge) request(q *Request) {
	runs := j.runs[q.ID]
	if q.Kind == Once && len(runs) > 1 {
		j.tell("AtMostOnce", q.Sent, "%s ran at %s and at %s", q.ID, runs[0].Target, runs[1].Target)
	}
	if q.Verdict == fleet.NotRun && len(runs) > 0 {
		j.tell("NotRunIsTrue", q.Sent, "%s was answered %d, not run, and ran at %s", q.ID, q.Status, runs[0].Target)
	}
	if q.Whole && q.Status == 200 && !q.Own {
		j.tell("WholeOwnAnswer", q.Sent, "%s (%s) got a whole answer that is not its own: %s", q.ID, q.Kind, q.Err)
	}
}

// reads checks that what was acknowledged is read afterwards, and never an older number
// than one that was read before.
func (j *judge) reads() {
	type seen struct {
		at     time.Duration
		number fleet.ConfigNumber
		what   string
	}
	var known []seen
	for _, a := range j.Acks {
		known = append(known, seen{a.At, a.Number, "acknowledged"})
	}
	for _, r := range j.Reads {
		known = append(known, seen{r.At, r.Number, "read"})
	}
	slices.SortFunc(known, func(a, b seen) int { return int(a.at - b.at) })
	reads := slices.Clone(j.Reads)
	slices.SortFunc(reads, func(a, b Read) int { return int(a.Sent - b.Sent) })
	next, newest := 0, seen{}
	for _, r := range reads {
		for next < len(known) && known[next].at < r.Sent {
			if known[next].number > newest.number {
				newest = known[next]
			}
			next++
		}
		if r.Number < newest.number {
			j.tell("NeverBack", r.Sent, "%s answered configuration %d; %d was %s at %v", r.From, r.Number, newest.number, newest.what, newest.at)
		}
		if !r.Same {
			j.tell("SameContent", r.Sent, "%s answered other content under number %d", r.From, r.Number)
		}
	}
}

// absences checks that nobody sends to those who left.
func (j *judge) absences() {
	for _, a := range j.Absences {
		for _, run := range j.Runs {
			if a.Targets[run.Target] && run.At > a.Acknowledged+a.Grace && run.At < a.Until && j.calm(a.Acknowledged, run.At, false) {
				j.tell(a.Rule, run.At, "%s reached %s %v after the acknowledgement", run.ID, run.Target, run.At-a.Acknowledged)
			}
		}
	}
}

// stops checks that a planned stop cuts nothing.
func (j *judge) stops() {
	for _, s := range j.Stops {
		for i := range j.Requests {
			q := &j.Requests[i]
			cut := !q.Whole && len(j.runs[q.ID]) > 0
			if q.Router == s.Router && cut && q.Sent < s.From+openTime && q.Ended > s.From && q.Ended <= s.To+time.Second && j.calm(s.From, q.Ended, true) {
				j.tell("StopCutsNothing", q.Sent, "%s was cut %v after %s was asked to stop: %s", q.ID, q.Ended-s.From, s.Router, q.Err)
			}
		}
	}
}

// retries checks the fleet's budget for second attempts in each window.
func (j *judge) retries() {
	l := &j.Limits
	if l.RetryWindow == 0 || len(j.Requests) == 0 {
		return
	}
	var second []time.Duration
	for _, runs := range j.runs {
		slices.SortFunc(runs, func(a, b Run) int { return int(a.At - b.At) })
		for _, r := range runs[1:] {
			second = append(second, r.At)
		}
	}
	end := j.Requests[len(j.Requests)-1].Ended
	for from := time.Duration(0); from < end; from += time.Second {
		to := from + l.RetryWindow
		if !j.calm(from, to, false) {
			continue
		}
		sent, again := 0, 0
		for i := range j.Requests {
			if q := &j.Requests[i]; q.Sent >= from && q.Sent < to {
				sent++
			}
		}
		for _, at := range second {
			if at >= from && at < to {
				again++
			}
		}
		if float64(again) > l.RetryRatio*float64(sent)+float64(l.RetryExtra) {
			j.tell("RetryBudget", from, "%d second attempts beside %d requests in %v", again, sent, l.RetryWindow)
		}
	}
}

// coldStarts checks that a cold target gets little over all routers.
func (j *judge) coldStarts() {
	for _, c := range j.ColdStarts {
		n := 0
		for _, r := range j.Runs {
			if r.Target == c.Target && r.At >= c.At && r.At < c.At+j.Limits.ColdFor {
				n++
			}
		}
		if n > j.Limits.ColdMost && j.calm(c.At, c.At+j.Limits.ColdFor, false) {
			j.tell("ColdAllowance", c.At, "%s got %d requests while it was cold", c.Target, n)
		}
	}
}
