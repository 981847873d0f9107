package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/quarantine"
)

var start = time.Unix(1_700_000_000, 0)

// crash is a crash of a target under a request with a part.
func crash(part fleet.PartID, target int) fleet.PartCrash {
	return fleet.PartCrash{Part: part, Target: fleet.TargetID(fmt.Sprint("target-", target)), Incarnation: 1}
}

func ExampleTracker() {
	t := quarantine.New()
	now := start
	for i := range 3 {
		// Each crash breaks a request with the deadly part 7 and one with part 1, which
		// is answered elsewhere.
		t.AddCrash(now, crash(7, i))
		t.AddCrash(now, crash(1, i))
		t.AddAnswer(1)
		now = now.Add(time.Second)
	}
	fmt.Println(len(t.Update(now).Quarantined))
	now = now.Add(time.Second)
	fmt.Println(t.Update(now).Quarantined[0].Part)
	// Output:
	// 0
	// 7
}

func TestTracker(t *testing.T) {
	convey.Convey("A part is not quarantined", t, func() {
		tracker := quarantine.New()
		now := start
		step := func(d time.Duration) { now = now.Add(d) }
		none := func() {
			step(2 * time.Second)
			convey.So(tracker.Update(now).Quarantined, convey.ShouldBeEmpty)
		}
		convey.Convey("for crashes of many targets at the same time", func() {
			for i := range 10 {
				tracker.AddCrash(now, crash(1, i))
				step(30 * time.Millisecond)
			}
			none()
		})
		convey.Convey("for the same target again and again", func() {
			for range 10 {
				tracker.AddCrash(now, crash(1, 0))
				step(time.Second)
			}
			none()
		})
		convey.Convey("for connections that targets reset and then go on", func() {
			for i := range 10 {
				tracker.AddCrash(now, crash(1, i))
				step(time.Second)
				tracker.AddTargetAnswer(now, crash(1, i).Target)
			}
			none()
		})
		convey.Convey("for three crashes while crashes break half of all requests", func() {
			for i := range 3 {
				tracker.AddOutcomes(now, 50, 50)
				tracker.AddCrash(now, crash(1, i))
				step(time.Second)
			}
			none()
		})
	})
	convey.Convey("A quarantine", t, func() {
		tracker := quarantine.New()
		now := start
		for i := range 3 {
			tracker.AddCrash(now, crash(1, i))
			now = now.Add(time.Second)
		}
		now = now.Add(time.Second)
		began := tracker.Update(now)
		convey.So(began.Begun, convey.ShouldResemble, []fleet.PartID{1})
		convey.Convey("ends with an answer", func() {
			tracker.AddAnswer(1)
			convey.So(tracker.Update(now).Ended, convey.ShouldResemble, []fleet.PartID{1})
		})
		convey.Convey("ends five minutes after the last crash", func() {
			convey.So(tracker.Update(now.Add(4*time.Minute)).Quarantined, convey.ShouldHaveLength, 1)
			convey.So(tracker.Update(now.Add(5*time.Minute)).Quarantined, convey.ShouldBeEmpty)
		})
		convey.Convey("is adopted by another tracker for the rest of its time", func() {
			other := quarantine.New()
			other.Adopt(now, began.Quarantined[0])
			convey.So(other.Update(now).Quarantined, convey.ShouldResemble, began.Quarantined)
			convey.So(other.Update(now.Add(5*time.Minute)).Quarantined, convey.ShouldBeEmpty)
		})
	})
}
