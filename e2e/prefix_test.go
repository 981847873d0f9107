package e2e_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/e2e/internal/harness"
	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// requestWithPrefix returns a request whose prompt begins with fleet.PrefixBytes times the
// letter.
func requestWithPrefix(letter string, tokens int) string {
	return fmt.Sprintf(`{"messages":[{"role":"system","content":%q},{"role":"user","content":"question %d"}],"max_tokens":%d}`,
		strings.Repeat(letter, fleet.PrefixBytes), tokens, tokens)
}

// targetThatRan returns the name of the target that ran a request, or "".
func targetThatRan(f *harness.Fleet, id fleet.RequestID) string {
	for _, p := range f.Targets {
		runs, err := f.Runs(p)
		convey.So(err, convey.ShouldBeNil)
		for _, r := range runs {
			if r.RequestID == string(id) {
				return p.Name
			}
		}
	}
	return ""
}

func TestPromptPrefix(t *testing.T) {
	f := startFleet(t, 3, 2, 2, harness.TargetsPerDataCentre(2, 0))
	convey.Convey("Requests go to the free target that has their prompt's prefix in its cache", t, func() {
		targetOf := func(letter string, tokens int) string {
			a, err := f.Call(f.Routers[0], harness.ModelService, http.MethodPost, completionsPath, "", requestWithPrefix(letter, tokens))
			convey.So(err, convey.ShouldBeNil)
			convey.So(a.Status, convey.ShouldEqual, http.StatusOK)
			return targetThatRan(f, a.RequestID)
		}
		// While a target runs the first request, the second one goes to the other target.
		firstRequest := make(chan fleet.RequestID, 1)
		go func() {
			a, _ := f.Call(f.Routers[0], harness.ModelService, http.MethodPost, completionsPath, "", requestWithPrefix("a", 60))
			firstRequest <- a.RequestID
		}()
		time.Sleep(200 * time.Millisecond)
		targetB := targetOf("b", 5)
		targetA := targetThatRan(f, <-firstRequest)
		convey.So(targetA, convey.ShouldNotBeEmpty)
		convey.So(targetB, convey.ShouldNotEqual, targetA)
		// By then the targets have announced both prefixes.
		time.Sleep(2 * fleet.AnnounceInterval)
		for i := range 3 {
			convey.So(targetOf("a", 3+i), convey.ShouldEqual, targetA)
			convey.So(targetOf("b", 3+i), convey.ShouldEqual, targetB)
		}
	})
}
