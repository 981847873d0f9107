package harness_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/soak/internal/harness"
	"github.com/fuchsiashed/fuchsiashed/soak/internal/mutant"
	"github.com/fuchsiashed/fuchsiashed/soak/internal/plan"
)

// network is the second byte of the test's loopback addresses. No other test may use it or the
// next one.
const network = 92

// seeds are the seeds of the plans that TestSeeds runs. Seeds that have failed are added, with
// the cause.
var seeds = []uint64{3, 8}

func TestSeeds(t *testing.T) {
	convey.Convey("There are no violations while processes, connections and targets fail", t, func() {
		binary, err := mutant.Build(t.Context(), t.TempDir(), "")
		convey.So(err, convey.ShouldBeNil)
		for _, seed := range seeds {
			out, err := harness.Run(t.Context(), harness.Config{
				Plan: plan.New(seed, 15*time.Second, 6), Binary: binary, Folder: t.TempDir(), Network: network,
			})
			convey.So(err, convey.ShouldBeNil)
			convey.So(out.Violations, convey.ShouldBeEmpty)
			convey.So(len(out.Record.Requests), convey.ShouldBeGreaterThan, 100)
		}
	})
}
