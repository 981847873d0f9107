package e2e_test

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/e2e/internal/harness"
)

func TestReplayOfRouter(t *testing.T) {
	f := startFleet(t, 3, 2, 2, harness.TargetsPerDataCentre(2, 1))
	convey.Convey("A router's log replays to the decisions that the router counted", t, func() {
		l := startLoad(t, f, 6*time.Second, 24, 70)
		time.Sleep(time.Second)
		active, _, err := f.ActiveDispatcher()
		convey.So(err, convey.ShouldBeNil)
		convey.So(active.Kill(), convey.ShouldBeNil)
		_, err = l.Wait()
		convey.So(err, convey.ShouldBeNil)
		router := f.Routers[0]
		counted, err := f.Counters(router, "RouterDecisions")
		convey.So(err, convey.ShouldBeNil)
		convey.So(counted["Completed"], convey.ShouldBeGreaterThan, 50)

		log := f.EventLog(router)
		_, err = f.CLI("replay", "--write", log)
		convey.So(err, convey.ShouldBeNil)
		_, err = f.CLI("replay", log)
		convey.So(err, convey.ShouldBeNil)
		raw, err := os.ReadFile(log + ".outcome.json")
		convey.So(err, convey.ShouldBeNil)
		var outcome struct{ Decisions map[string]int }
		convey.So(json.Unmarshal(raw, &outcome), convey.ShouldBeNil)
		replayed := map[string]int{}
		for name, n := range outcome.Decisions {
			event, _, _ := strings.Cut(name, " ")
			replayed[event] += n
		}
		convey.So(replayed, convey.ShouldResemble, counted)
	})
}
