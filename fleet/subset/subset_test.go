package subset_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet/subset"
	"github.com/fuchsiashed/fuchsiashed/fleet/weighting"
)

var start = time.Unix(1_700_000_000, 0)

var config = subset.Config{Utilisation: 0.3, Min: 8, ShrinkRate: 0.2}

// routers returns the number of equal routers that have a capacity.
func routers(c weighting.Capacity) int { return int(math.Ceil(float64(c))) }

func ExampleSizer() {
	s := subset.NewSizer(config)
	// Fifty routers use 6 % of their capacity each.
	for i := range 30 {
		n := s.Update(start.Add(time.Duration(i)*500*time.Millisecond), 50, 50*0.06)
		if i%10 == 0 {
			fmt.Println(routers(n))
		}
	}
	// Output:
	// 50
	// 18
	// 10
}

// TestBurstOfCallers guards against a burst that a few routers in use cannot serve while the
// others are idle.
func TestBurstOfCallers(t *testing.T) {
	convey.Convey("All routers that a burst needs are in use with the next measurement", t, func() {
		s := subset.NewSizer(config)
		now := start
		for range 60 {
			now = now.Add(500 * time.Millisecond)
			s.Update(now, 50, 2)
		}
		convey.So(routers(s.Update(now, 50, 2)), convey.ShouldEqual, 8)
		convey.So(routers(s.Update(now.Add(500*time.Millisecond), 50, 6)), convey.ShouldEqual, 20)
		convey.Convey("and most of them still are a second after it", func() {
			convey.So(routers(s.Update(now.Add(1500*time.Millisecond), 50, 2)), convey.ShouldBeGreaterThanOrEqualTo, 16)
		})
	})
}

// TestFewRoutersAreAllUsed guards against a small deployment whose callers are crowded at a part
// of its routers.
func TestFewRoutersAreAllUsed(t *testing.T) {
	convey.Convey("A data centre with fewer routers than the minimum uses all of them", t, func() {
		s := subset.NewSizer(config)
		for i := range 60 {
			convey.So(routers(s.Update(start.Add(time.Duration(i)*time.Second), 2, 0.1)), convey.ShouldEqual, 2)
		}
	})
}
