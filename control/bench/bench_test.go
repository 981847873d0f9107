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
			convey.So(bench.Run(bench.Config{Folder: t.TempDir(), Duration: *full, Nodes: 360, Out: os.Stderr}), convey.ShouldBeNil)
			return
		}
		var out bytes.Buffer
		convey.So(bench.Run(bench.Config{Folder: t.TempDir(), Duration: 200 * time.Millisecond, Nodes: 4, Out: &out}), convey.ShouldBeNil)
		convey.So(strings.Count(out.String(), "\n"), convey.ShouldEqual, 16)
	})
}
