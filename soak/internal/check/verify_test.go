package check_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"

	"github.com/fuchsiashed/fuchsiashed/soak/internal/check"
)

const second = time.Second

var limits = check.Limits{RetryRatio: 0.2, RetryExtra: 1, RetryWindow: 10 * second, ColdFor: 2 * second, MaxColdRequests: 1}

// validRecord returns a record without violations.
func validRecord() check.Record {
	return check.Record{
		Requests: []check.Request{
			{ID: "a", Kind: check.AtMostOnce, Router: "router-1", Sent: second, Ended: 2 * second, Status: 200, Verdict: fleet.Ran, Whole: true, Own: true},
			{ID: "b", Kind: check.AtMostOnce, Router: "router-1", Sent: second, Ended: 2 * second, Status: 503, Verdict: fleet.NotRun, Whole: true},
		},
		Executions: []check.Execution{{ID: "a", Target: "target-1", At: second}},
		Acks:       []check.Acknowledgement{{Number: 3, At: second}},
		Reads:      []check.ConfigRead{{Number: 3, Same: true, Sent: 2 * second, At: 3 * second}},
		Exclusions: []check.Exclusion{{Targets: map[string]bool{"target-1": true}, Acknowledged: 10 * second, Grace: second, Until: 20 * second, Rule: "LeftGetsNothing"}},
		Stops:      []check.PlannedStop{{Router: "router-1", From: second, To: 9 * second}},
		ColdStarts: []check.ColdStart{{Target: "target-1", At: second}},
		Limits:     limits,
	}
}

func TestVerify(t *testing.T) {
	for rule, violate := range map[string]func(*check.Record){
		"": func(*check.Record) {},
		"AtMostOnce": func(r *check.Record) {
			r.Executions = append(r.Executions, check.Execution{ID: "a", Target: "target-2", At: second})
		},
		"NotRunIsTrue": func(r *check.Record) {
			r.Executions = append(r.Executions, check.Execution{ID: "b", Target: "target-2", At: second})
		},
		"OneVersion":     func(r *check.Record) { r.Requests[0].Versions = []string{"v1", "v2"} },
		"WholeOwnAnswer": func(r *check.Record) { r.Requests[0].Own = false },
		"NeverBack": func(r *check.Record) {
			r.Reads = append(r.Reads, check.ConfigRead{Number: 2, Same: true, Sent: 4 * second, At: 5 * second})
		},
		"SameContent": func(r *check.Record) { r.Reads[0].Same = false },
		"LeftGetsNothing": func(r *check.Record) {
			r.Executions = append(r.Executions, check.Execution{ID: "c", Target: "target-1", At: 12 * second})
		},
		"StopCutsNothing": func(r *check.Record) { r.Requests[0].Whole = false },
		"RetryBudget": func(r *check.Record) {
			for range 3 {
				r.Executions = append(r.Executions, check.Execution{ID: "c", Target: "target-2", At: 4 * second})
			}
		},
		"ColdAllowance": func(r *check.Record) {
			r.Executions = append(r.Executions, check.Execution{ID: "c", Target: "target-1", At: second})
		},
	} {
		convey.Convey("Verify finds the violated rule, if any: "+rule, t, func() {
			r := validRecord()
			violate(&r)
			found := check.Verify(&r)
			if rule == "" {
				convey.So(found, convey.ShouldBeEmpty)
				return
			}
			convey.So(found, convey.ShouldNotBeEmpty)
			convey.So(found[0].Rule, convey.ShouldEqual, rule)
		})
	}
	convey.Convey("Requests to a target that left during a fault are no violation", t, func() {
		r := validRecord()
		r.Executions = append(r.Executions, check.Execution{ID: "c", Target: "target-1", At: 12 * second})
		r.Faults = []check.FaultInterval{{From: 8 * second, To: 9 * second, What: "Kill"}}
		convey.So(check.Verify(&r), convey.ShouldBeEmpty)
	})
}
