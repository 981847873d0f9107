package bench_test

import (
	"bytes"
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/control/bench"
)

var fullDuration = flag.Duration("full", 0, "measure for this long per load, and print the figures")

func TestRun(t *testing.T) {
	convey.Convey("Every figure is printed", t, func() {
		if *fullDuration > 0 {
			cfg := bench.Config{Duration: *fullDuration, Rounds: 5, RestartChanges: 1000, Processes: 360, Out: os.Stderr}
			cfg.Folder = t.TempDir()
			convey.So(bench.Run(cfg), convey.ShouldBeNil)
			return
		}
		var out bytes.Buffer
		cfg := bench.Config{Duration: 200 * time.Millisecond, Rounds: 1, RestartChanges: 50, Processes: 4, Out: &out}
		cfg.Folder = t.TempDir()
		convey.So(bench.Run(cfg), convey.ShouldBeNil)
		convey.So(strings.Count(out.String(), "\n"), convey.ShouldEqual, 16)
	})
}
