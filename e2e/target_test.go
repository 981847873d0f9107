package e2e_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/e2e/internal/harness"
)

// dataCentreOutTimeout is how long targets may still start requests after their data centre
// was taken out.
const dataCentreOutTimeout = 3 * time.Second

// runsStartedBetween counts the runs that the targets of a data centre started between two
// times.
func runsStartedBetween(f *harness.Fleet, dc string, from, to time.Time) int {
	n := 0
	for _, p := range f.Targets {
		if !strings.Contains(p.Name, dc) {
			continue
		}
		runs, err := f.Runs(p)
		convey.So(err, convey.ShouldBeNil)
		for _, r := range runs {
			if r.Started.After(from) && r.Started.Before(to) {
				n++
			}
		}
	}
	return n
}

func TestDataCentreOutAndIn(t *testing.T) {
	f := startFleet(t, 3, 2, 2, harness.TargetsPerDataCentre(2, 1))
	convey.Convey("A data centre that is out starts no requests, and starts them again once it is in", t, func() {
		l := startLoad(t, f, 11*time.Second, 24, 40)
		time.Sleep(2 * time.Second)
		takenOutAt := time.Now()
		convey.So(runsStartedBetween(f, "dc-b", takenOutAt.Add(-time.Second), takenOutAt), convey.ShouldBeGreaterThan, 0)
		_, err := f.CLI("datacentre", "out", "dc-b")
		convey.So(err, convey.ShouldBeNil)
		time.Sleep(5 * time.Second)
		backInAt := time.Now()
		_, err = f.CLI("datacentre", "in", "dc-b")
		convey.So(err, convey.ShouldBeNil)
		res, err := l.Wait()
		convey.So(err, convey.ShouldBeNil)
		convey.So(res.Unanswered, convey.ShouldEqual, 0)
		convey.So(res.Cut, convey.ShouldEqual, 0)
		convey.So(runsStartedBetween(f, "dc-b", takenOutAt.Add(dataCentreOutTimeout), backInAt), convey.ShouldEqual, 0)
		convey.So(runsStartedBetween(f, "dc-b", backInAt, time.Now()), convey.ShouldBeGreaterThan, 0)
		t.Logf("%d answered, reasons %v", res.Answered, res.Reasons)
	})
}

func TestLeavingTarget(t *testing.T) {
	f := startFleet(t, 3, 2, 2, harness.TargetsPerDataCentre(2, 1))
	convey.Convey("A target that leaves finishes its running requests", t, func() {
		l := startLoad(t, f, 6*time.Second, 24, 45)
		time.Sleep(2 * time.Second)
		convey.So(f.Targets[0].Stop(stopTimeout), convey.ShouldBeNil)
		res, err := l.Wait()
		convey.So(err, convey.ShouldBeNil)
		t.Logf("%d answered, reasons %v", res.Answered, res.Reasons)
		convey.So(res.Unanswered, convey.ShouldEqual, 0)
		convey.So(res.Cut, convey.ShouldEqual, 0)
		convey.So(res.Verdicts["MayHaveRun"], convey.ShouldEqual, 0)
	})
}

func TestBrokenAnswers(t *testing.T) {
	f := startFleet(t, 3, 2, 2, harness.TargetsPerDataCentre(2, 1))
	convey.Convey("Answers that break, end early or stall reach their callers complete or as failures", t, func() {
		l := startLoad(t, f, 9*time.Second, 12, 50)
		for _, injection := range []string{
			`{"Fault":"Reset","Count":4}`, `{"Fault":"Reset","Count":4,"Phase":"Headers"}`,
			`{"Fault":"Reset","Count":4,"Phase":"Accept"}`, `{"Fault":"ShortAnswer","Count":4}`, `{"Fault":"Silent","Count":4}`,
		} {
			time.Sleep(time.Second)
			for _, p := range f.Targets {
				convey.So(f.InjectFault(p, injection), convey.ShouldBeNil)
			}
		}
		res, err := l.Wait()
		convey.So(err, convey.ShouldBeNil)
		t.Logf("%d answered, %d in doubt, verdicts %v, reasons %v", res.Answered, res.InDoubt, res.Verdicts, res.Reasons)
		convey.So(res.Unanswered-res.InDoubt, convey.ShouldEqual, 0)
		// A stream that can't be completed ends with an error event; any other answer ends
		// before its Content-Length, which the caller notices.
		convey.So(res.CutStreams, convey.ShouldEqual, 0)
	})
}

// maxCrashes is how many targets one request may crash: after the first crash the request
// is not yet known to be the cause.
const maxCrashes = 2

func TestRequestThatCrashesTargets(t *testing.T) {
	f := startFleet(t, 3, 2, 2, harness.TargetsPerDataCentre(3, 1))
	convey.Convey("A request that crashes targets is refused after the second crash, also when it is sent again", t, func() {
		l := startLoad(t, f, 8*time.Second, 12, 60)
		time.Sleep(time.Second)
		body := `{"messages":[{"role":"user","content":"POISON"}],"stream":true,"max_tokens":10}`
		for i := range 8 {
			a, err := f.Call(f.Routers[i%len(f.Routers)], harness.ModelService, http.MethodPost, completionsPath, "", body)
			convey.So(err, convey.ShouldBeNil)
			t.Logf("attempt %d: status %d, verdict %s, reason %s", i+1, a.Status, a.Verdict, a.Reason)
			time.Sleep(500 * time.Millisecond)
		}
		res, err := l.Wait()
		convey.So(err, convey.ShouldBeNil)
		var crashed []string
		for _, p := range f.Targets {
			if !p.Running() {
				crashed = append(crashed, p.Name)
			}
		}
		convey.So(len(crashed), convey.ShouldBeBetweenOrEqual, 1, maxCrashes)
		t.Logf("crashed %v; %d answered, %d in doubt, reasons %v", crashed, res.Answered, res.InDoubt, res.Reasons)
		convey.So(res.Unanswered-res.InDoubt, convey.ShouldEqual, 0)
	})
}

func TestColdTargets(t *testing.T) {
	targets := harness.TargetsPerDataCentre(2, 1)
	for i := range targets {
		// A target crashes if it gets more than 4 concurrent requests before it has completed 6.
		targets[i].Extra = "ColdSlots = 4\nWarmAfter = 6\nColdFailure = Crash"
	}
	f := startFleet(t, 3, 2, 2, targets)
	convey.Convey("Cold targets that would crash under full load get only as many requests as they can run", t, func() {
		l := startLoad(t, f, 8*time.Second, 48, 80)
		time.Sleep(3 * time.Second)
		restarted := f.Targets[0]
		convey.So(restarted.Kill(), convey.ShouldBeNil)
		time.Sleep(time.Second)
		convey.So(restarted.Start(), convey.ShouldBeNil)
		res, err := l.Wait()
		convey.So(err, convey.ShouldBeNil)
		for _, p := range f.Targets {
			convey.So(p.Name+fmt.Sprint(p.Running()), convey.ShouldEqual, p.Name+"true")
		}
		t.Logf("%d answered, reasons %v", res.Answered, res.Reasons)
		convey.So(res.Unanswered-res.InDoubt, convey.ShouldEqual, 0)
	})
}

// maxFloodReduction is the factor by which a flood of another customer may reduce the
// answers to a small customer.
const maxFloodReduction = 3

func TestFloodByOneCustomer(t *testing.T) {
	f := startFleet(t, 3, 2, 2, harness.TargetsPerDataCentre(1, 1))
	convey.Convey("A flood of requests by a large customer doesn't starve the small customers", t, func() {
		served := func(workers int, seed uint64) map[string]int {
			l := startLoad(t, f, 3*time.Second, workers, seed)
			res, err := l.Wait()
			convey.So(err, convey.ShouldBeNil)
			convey.So(res.Unanswered, convey.ShouldEqual, 0)
			return res.Served
		}
		baseline := served(1, 90)
		flood := served(96, 91)
		t.Logf("answered without the flood %v, with the flood %v", baseline, flood)
		for _, c := range []string{"small-1", "small-2"} {
			convey.So(flood[c]*maxFloodReduction, convey.ShouldBeGreaterThanOrEqualTo, baseline[c])
		}
	})
}
