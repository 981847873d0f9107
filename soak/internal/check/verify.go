package check

import (
	"fmt"
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Violation is a guarantee that a deployment did not keep.
type Violation struct {
	// Rule names the guarantee.
	Rule string
	// At is the time of the observation, relative to the start of the run.
	At time.Duration
	// Detail describes the observation for the reader of the report.
	Detail string
}

// contactWindow is how long after a fault a process may still be out of contact with
// control; the platform's limits set it.
const contactWindow = 4 * time.Second

const (
	// acceptWindow is how long a router that is asked to stop still accepts new requests; later
	// ones may be refused. The platform's limits for planned work set it.
	acceptWindow = 3 * time.Second
	// maxReportedPerRule bounds the violations reported for one rule.
	maxReportedPerRule = 5
)

// Verify returns the violations that a record shows, up to maxReportedPerRule for each rule. It
// returns nil if there are none.
func Verify(r *Record) []Violation {
	v := verifier{Record: r, executions: map[fleet.RequestID][]Execution{}, counts: map[string]int{}}
	for _, execution := range r.Executions {
		v.executions[execution.ID] = append(v.executions[execution.ID], execution)
	}
	for i := range r.Requests {
		v.checkRequest(&r.Requests[i])
	}
	v.checkConfigReads()
	v.checkExclusions()
	v.checkPlannedStops()
	v.checkRetryBudget()
	v.checkColdStarts()
	return v.violations
}

// verifier collects the violations of one record.
type verifier struct {
	*Record
	executions map[fleet.RequestID][]Execution
	violations []Violation
	// counts holds the number of violations by rule, reported or not.
	counts map[string]int
}

// report adds a violation unless its rule has reached maxReportedPerRule.
func (v *verifier) report(rule string, at time.Duration, format string, args ...any) {
	v.counts[rule]++
	if v.counts[rule] <= maxReportedPerRule {
		v.violations = append(v.violations, Violation{Rule: rule, At: at, Detail: fmt.Sprintf(format, args...)})
	}
}

// faultFree reports whether no fault was active between from-contactWindow and to. Faults of
// targets count only if ofTargets is set.
func (v *verifier) faultFree(from, to time.Duration, ofTargets bool) bool {
	return !slices.ContainsFunc(v.Faults, func(f FaultInterval) bool {
		return (ofTargets || !f.OfTarget) && f.From <= to && f.To >= from-contactWindow
	})
}

// checkRequest checks that a request was executed no more often than its kind and its verdict
// allow, and that a complete response is the right one.
func (v *verifier) checkRequest(req *Request) {
	executions := v.executions[req.ID]
	if req.Kind == AtMostOnce && len(executions) > 1 {
		v.report("AtMostOnce", req.Sent, "%s ran at %s and at %s", req.ID, executions[0].Target, executions[1].Target)
	}
	if req.Verdict == fleet.NotRun && len(executions) > 0 {
		v.report("NotRunIsTrue", req.Sent, "%s was answered %d, not run, and ran at %s", req.ID, req.Status, executions[0].Target)
	}
	if len(req.Versions) > 1 {
		v.report("OneVersion", req.Sent, "%s has events of software versions %v", req.ID, req.Versions)
	}
	if req.Whole && req.Status == 200 && !req.Own {
		v.report("WholeOwnAnswer", req.Sent, "%s (%s) got a whole answer that is not its own: %s", req.ID, req.Kind, req.Err)
	}
}

// checkConfigReads checks that a read returns no configuration older than one that was
// acknowledged or read before the read was sent, and that its content is what was put.
func (v *verifier) checkConfigReads() {
	type observation struct {
		at     time.Duration
		number fleet.ConfigNumber
		how    string
	}
	var observations []observation
	for _, a := range v.Acks {
		observations = append(observations, observation{a.At, a.Number, "acknowledged"})
	}
	for _, r := range v.Reads {
		observations = append(observations, observation{r.At, r.Number, "read"})
	}
	slices.SortFunc(observations, func(a, b observation) int { return int(a.at - b.at) })
	reads := slices.Clone(v.Reads)
	slices.SortFunc(reads, func(a, b ConfigRead) int { return int(a.Sent - b.Sent) })
	next, newest := 0, observation{}
	for _, r := range reads {
		for next < len(observations) && observations[next].at < r.Sent {
			if observations[next].number > newest.number {
				newest = observations[next]
			}
			next++
		}
		if r.Number < newest.number {
			v.report("NeverBack", r.Sent, "%s answered configuration %d; %d was %s at %v", r.From, r.Number, newest.number, newest.how, newest.at)
		}
		if !r.Same {
			v.report("SameContent", r.Sent, "%s answered other content under number %d", r.From, r.Number)
		}
	}
}

// checkExclusions checks that excluded targets receive no requests after the grace period.
// A request is skipped if the fleet had a fault since contactWindow before the acknowledgement.
func (v *verifier) checkExclusions() {
	for _, exclusion := range v.Exclusions {
		for _, execution := range v.Executions {
			if exclusion.Targets[execution.Target] && execution.At > exclusion.Acknowledged+exclusion.Grace && execution.At < exclusion.Until && v.faultFree(exclusion.Acknowledged, execution.At, false) {
				v.report(exclusion.Rule, execution.At, "%s reached %s %v after the acknowledgement", execution.ID, execution.Target, execution.At-exclusion.Acknowledged)
			}
		}
	}
}

// checkPlannedStops checks that the planned stop of a router truncates no response to a request
// that was sent before the end of acceptWindow.
func (v *verifier) checkPlannedStops() {
	for _, stop := range v.Stops {
		for i := range v.Requests {
			req := &v.Requests[i]
			truncated := !req.Whole && len(v.executions[req.ID]) > 0
			if req.Router == stop.Router && truncated && req.Sent < stop.From+acceptWindow && req.Ended > stop.From && req.Ended <= stop.To+time.Second && v.faultFree(stop.From, req.Ended, true) {
				v.report("StopCutsNothing", req.Sent, "%s was cut %v after %s was asked to stop: %s", req.ID, req.Ended-stop.From, stop.Router, req.Err)
			}
		}
	}
}

// checkRetryBudget checks the fleet's retry budget in windows of RetryWindow that start a second
// apart. Windows with faults of the fleet are skipped.
func (v *verifier) checkRetryBudget() {
	limits := &v.Limits
	if limits.RetryWindow == 0 || len(v.Requests) == 0 {
		return
	}
	var retries []time.Duration
	for _, executions := range v.executions {
		slices.SortFunc(executions, func(a, b Execution) int { return int(a.At - b.At) })
		for _, r := range executions[1:] {
			retries = append(retries, r.At)
		}
	}
	end := v.Requests[len(v.Requests)-1].Ended
	for from := time.Duration(0); from < end; from += time.Second {
		to := from + limits.RetryWindow
		if !v.faultFree(from, to, false) {
			continue
		}
		sent, retried := 0, 0
		for i := range v.Requests {
			if req := &v.Requests[i]; req.Sent >= from && req.Sent < to {
				sent++
			}
		}
		for _, at := range retries {
			if at >= from && at < to {
				retried++
			}
		}
		if float64(retried) > limits.RetryRatio*float64(sent)+float64(limits.RetryExtra) {
			v.report("RetryBudget", from, "%d second attempts beside %d requests in %v", retried, sent, limits.RetryWindow)
		}
	}
}

// checkColdStarts checks that a cold target receives no more than MaxColdRequests requests from
// all routers together. Cold starts with faults of the fleet are skipped.
func (v *verifier) checkColdStarts() {
	for _, coldStart := range v.ColdStarts {
		n := 0
		for _, execution := range v.Executions {
			if execution.Target == coldStart.Target && execution.At >= coldStart.At && execution.At < coldStart.At+v.Limits.ColdFor {
				n++
			}
		}
		if n > v.Limits.MaxColdRequests && v.faultFree(coldStart.At, coldStart.At+v.Limits.ColdFor, false) {
			v.report("ColdAllowance", coldStart.At, "%s got %d requests while it was cold", coldStart.Target, n)
		}
	}
}
