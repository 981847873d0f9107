package virtual_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/bench/internal/virtual"
)

func TestQueueOrder(t *testing.T) {
	convey.Convey("Functions run in order of their times, and equal times in the order of scheduling", t, func() {
		q := virtual.NewQueue()
		var got []string
		record := func(s string) func() { return func() { got = append(got, s+q.Elapsed().String()) } }
		q.After(2*time.Second, record("c"))
		q.After(time.Second, record("a"))
		q.After(time.Second, record("b"))
		q.After(3*time.Second, record("late"))
		q.RunUntil(virtual.Start.Add(2 * time.Second))
		convey.So(got, convey.ShouldResemble, []string{"a1s", "b1s", "c2s"})
		convey.So(q.Elapsed(), convey.ShouldEqual, 2*time.Second)
	})
}
