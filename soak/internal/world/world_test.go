package world_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/soak/internal/mutant"
	"github.com/fuchsiashed/fuchsiashed/soak/internal/plan"
	"github.com/fuchsiashed/fuchsiashed/soak/internal/world"
)

// network is the second byte of the loopback addresses of the test; no other test uses
// it or the next one.
const network = 92

// seeds are played at each test run. Seeds that failed once are added with their cause.
var seeds = []uint64{3, 8}

func TestSeeds(t *testing.T) {
	convey.Convey("No promise is broken while processes, connections and targets fail", t, func() {
		binary, err := mutant.Build(t.Context(), t.TempDir(), "")
		convey.So(err, convey.ShouldBeNil)
		for _, seed := range seeds {
			out, err := world.Run(t.Context(), world.Config{
				Plan: plan.New(seed, 15*time.Second, 6), Binary: binary, Folder: t.TempDir(), Network: network,
			})
			convey.So(err, convey.ShouldBeNil)
			convey.So(out.Violations, convey.ShouldBeEmpty)
			convey.So(len(out.Record.Requests), convey.ShouldBeGreaterThan, 100)
		}
	})
}
