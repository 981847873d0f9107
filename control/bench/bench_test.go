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

var full = flag.Duration("full", 0, "measure for this long per load, and print the figures")

func TestRun(t *testing.T) {
	convey.Convey("Every figure is printed", t, func() {
		if *full > 0 {
			cfg := bench.Config{Duration: *full, Rounds: 5, Changes: 1000, Nodes: 360, Out: os.Stderr}
			cfg.Folder = t.TempDir()
			convey.So(bench.Run(cfg), convey.ShouldBeNil)
			return
		}
		var out bytes.Buffer
		cfg := bench.Config{Duration: 200 * time.Millisecond, Rounds: 1, Changes: 50, Nodes: 4, Out: &out}
		cfg.Folder = t.TempDir()
		convey.So(bench.Run(cfg), convey.ShouldBeNil)
		convey.So(strings.Count(out.String(), "\n"), convey.ShouldEqual, 16)
	})
}
