package process_test

import (
	"os"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/bench/internal/process"
)

func TestRead(t *testing.T) {
	convey.Convey("A busy process uses CPU time and memory", t, func() {
		before, err := process.Read(os.Getpid())
		convey.So(err, convey.ShouldBeNil)
		rounds := 0
		for began := time.Now(); time.Since(began) < 200*time.Millisecond; {
			rounds++
		}
		after, err := process.Read(os.Getpid())
		convey.So(err, convey.ShouldBeNil)
		convey.So(rounds, convey.ShouldBeGreaterThan, 0)
		convey.So(after.CPU, convey.ShouldBeGreaterThan, before.CPU)
		convey.So(after.ResidentBytes, convey.ShouldBeGreaterThan, 1<<20)
	})
}
