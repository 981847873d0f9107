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

// manual returns a request whose prompt begins with a manual of its own.
func manual(letter string, tokens int) string {
	return fmt.Sprintf(`{"messages":[{"role":"system","content":%q},{"role":"user","content":"question %d"}],"max_tokens":%d}`,
		strings.Repeat(letter, fleet.PrefixBytes), tokens, tokens)
}

// ranAt returns the name of the target that ran a request.
func ranAt(f *harness.Fleet, id fleet.RequestID) string {
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
	f := boot(t, 3, 2, 2, harness.Targets(2, 0))
	convey.Convey("Requests go to the free target that holds their prompt's prefix", t, func() {
		ask := func(letter string, tokens int) string {
			a, err := f.Call(f.Routers[0], harness.Model, http.MethodPost, completions, "", manual(letter, tokens))
			convey.So(err, convey.ShouldBeNil)
			convey.So(a.Status, convey.ShouldEqual, http.StatusOK)
			return ranAt(f, a.RequestID)
		}
		// While the first request runs the second one has to go elsewhere.
		held := make(chan fleet.RequestID, 1)
		go func() {
			a, _ := f.Call(f.Routers[0], harness.Model, http.MethodPost, completions, "", manual("a", 60))
			held <- a.RequestID
		}()
		time.Sleep(200 * time.Millisecond)
		holderOfB := ask("b", 5)
		holderOfA := ranAt(f, <-held)
		convey.So(holderOfA, convey.ShouldNotBeEmpty)
		convey.So(holderOfB, convey.ShouldNotEqual, holderOfA)
		// The next announcements tell of both prefixes.
		time.Sleep(2 * fleet.AnnounceInterval)
		for i := range 3 {
			convey.So(ask("a", 3+i), convey.ShouldEqual, holderOfA)
			convey.So(ask("b", 3+i), convey.ShouldEqual, holderOfB)
		}
	})
}
