package e2e_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/e2e/internal/harness"
)

// injectRandomFaults kills and freezes random routers, and injects faults into random
// targets, for the duration d.
func injectRandomFaults(t *testing.T, f *harness.Fleet, r *rand.Rand, d time.Duration) {
	t.Helper()
	faults := []string{
		`{"Fault":"Reset","Count":3,"Phase":"Headers"}`, `{"Fault":"Reset","Count":3,"Phase":"Body"}`,
		`{"Fault":"ShortAnswer","Count":3,"Phase":"Body"}`, `{"Fault":"Silent","Count":2,"Phase":"Body"}`,
	}
	for end := time.Now().Add(d); time.Now().Before(end); {
		p := f.Routers[r.IntN(len(f.Routers))]
		pause := time.Duration(200+r.IntN(2500)) * time.Millisecond
		switch r.IntN(4) {
		case 0:
			must(t, p.Kill())
			time.Sleep(pause / 2)
			must(t, p.Start())
		case 1:
			must(t, p.Freeze())
			time.Sleep(pause)
			must(t, p.Resume())
		default:
			target := f.Targets[r.IntN(len(f.Targets))]
			must(t, f.InjectFault(target, faults[r.IntN(len(faults))]))
			time.Sleep(pause / 4)
		}
	}
}

func TestRoutersAtRandom(t *testing.T) {
	const seed = 20261204
	f := startFleet(t, 3, 2, 3, harness.TargetsPerDataCentre(2, 1))
	convey.Convey("Random router crashes, freezes and broken answers cause no wrong answer and no duplicate run", t, func() {
		l := startLoad(t, f, 15*time.Second, 16, 41)
		injectRandomFaults(t, f, rand.New(rand.NewPCG(seed, 1)), 13*time.Second)
		res, err := l.Wait()
		convey.So(err, convey.ShouldBeNil)
		t.Logf("%d answered, %d cut, %d in doubt, %d unanswered, verdicts %v, reasons %v",
			res.Answered, res.Cut, res.InDoubt, res.Unanswered, res.Verdicts, res.Reasons)
		convey.So(res.Answered, convey.ShouldBeGreaterThan, 100)
		convey.So(res.Wrong, convey.ShouldEqual, 0)
		convey.So(res.RanTwice, convey.ShouldBeEmpty)
		convey.So(res.FalseNotRun, convey.ShouldBeEmpty)
	})
}
