package latency_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet/latency"
)

func ExampleHistograms() {
	h := latency.New()
	for range 10 {
		h.Record("FirstByte plan", 100*time.Millisecond)
	}
	s := h.Summaries()["FirstByte plan"]
	fmt.Println(s.Count, s.P50 > 99 && s.P50 < 101)
	// Output: 10 true
}

func TestTimesOutOfBounds(t *testing.T) {
	convey.Convey("Times out of bounds are recorded as the nearest bound", t, func() {
		h := latency.New()
		h.Record("a", -time.Second)
		h.Record("a", 100*time.Hour)
		convey.So(h.Summaries()["a"].Count, convey.ShouldEqual, 2)
		convey.So(h.String(), convey.ShouldContainSubstring, `"Count":2`)
	})
}
