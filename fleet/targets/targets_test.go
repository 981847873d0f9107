package targets_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/targets"
)

var start = time.Unix(1_700_000_000, 0)

func announcement(id fleet.TargetID, inc fleet.Incarnation, seq fleet.Sequence, state fleet.TargetState) fleet.Announcement {
	return fleet.Announcement{
		Target: id, Incarnation: inc, Sequence: seq, Service: "drafter", DataCentre: "riga-a",
		Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 8, State: state,
	}
}

func TestLateAnnouncements(t *testing.T) {
	convey.Convey("A late announcement changes nothing", t, func() {
		d := targets.New()
		convey.So(d.Announce(start, announcement("a", 5, 4, fleet.TargetServing)), convey.ShouldEqual, targets.Changed)
		convey.So(d.Announce(start, announcement("a", 5, 5, fleet.TargetServing)), convey.ShouldEqual, targets.Refreshed)
		convey.So(d.Announce(start, announcement("a", 5, 6, fleet.TargetLeaving)), convey.ShouldEqual, targets.Changed)
		convey.So(d.Announce(start, announcement("a", 5, 5, fleet.TargetServing)), convey.ShouldEqual, targets.Ignored)
		convey.So(d.Get("a").State, convey.ShouldEqual, fleet.TargetLeaving)
		convey.Convey("nor does one of an earlier incarnation with a higher sequence number", func() {
			convey.So(d.Announce(start, announcement("a", 6, 1, fleet.TargetServing)), convey.ShouldEqual, targets.Changed)
			convey.So(d.Announce(start, announcement("a", 5, 9, fleet.TargetLeaving)), convey.ShouldEqual, targets.Ignored)
		})
		convey.Convey("nor does one of a target whose address belongs to a target that started later", func() {
			d.Announce(start, announcement("b", 9, 1, fleet.TargetServing))
			convey.So(d.Get("a"), convey.ShouldBeNil)
			convey.So(d.Announce(start, announcement("a", 5, 8, fleet.TargetServing)), convey.ShouldEqual, targets.Ignored)
			convey.So(d.Get("b"), convey.ShouldNotBeNil)
		})
	})
}

func TestEnds(t *testing.T) {
	convey.Convey("Announcements of a target that has ended are ignored", t, func() {
		d := targets.New()
		d.Announce(start, announcement("a", 5, 4, fleet.TargetServing))
		end := d.End(start, fleet.TargetEnd{Target: "a"})
		convey.So(end.Incarnation, convey.ShouldEqual, fleet.Incarnation(5))
		convey.So(d.Announce(start.Add(time.Second), announcement("a", 5, 9, fleet.TargetServing)), convey.ShouldEqual, targets.Ignored)
		convey.Convey("until it starts again", func() {
			convey.So(d.Announce(start.Add(time.Second), announcement("a", 6, 1, fleet.TargetServing)), convey.ShouldEqual, targets.Changed)
		})
	})
	convey.Convey("A late announcement does not add a target whose end arrived first", t, func() {
		d := targets.New()
		d.End(start, fleet.TargetEnd{Target: "a"})
		convey.So(d.Announce(start.Add(time.Second), announcement("a", 5, 9, fleet.TargetServing)), convey.ShouldEqual, targets.Ignored)
	})
	convey.Convey("The end of an earlier incarnation does not remove a later one", t, func() {
		d := targets.New()
		d.Announce(start, announcement("a", 6, 1, fleet.TargetServing))
		d.End(start, fleet.TargetEnd{Target: "a", Incarnation: 5})
		convey.So(d.Get("a"), convey.ShouldNotBeNil)
	})
}

func TestExpire(t *testing.T) {
	convey.Convey("A silent target is removed unless keep returns true", t, func() {
		d := targets.New()
		d.Announce(start, announcement("a", 5, 4, fleet.TargetServing))
		now := start.Add(5 * time.Second)
		convey.So(d.Expire(now, now.Add(-4*time.Second), func(fleet.TargetID) bool { return true }), convey.ShouldBeEmpty)
		convey.So(d.Expire(now, now.Add(-6*time.Second), nil), convey.ShouldBeEmpty)
		d.Refresh(start.Add(3*time.Second), "a")
		convey.So(d.Expire(now, now.Add(-4*time.Second), nil), convey.ShouldBeEmpty)
		convey.So(d.Expire(now.Add(3*time.Second), now.Add(-time.Second), nil), convey.ShouldResemble, []fleet.TargetID{"a"})
		convey.So(d.All(), convey.ShouldBeEmpty)
	})
}

// Guards against a target that is out of use for good at a process that stopped using it by itself.
func TestTargetIsUsedAgain(t *testing.T) {
	later := start.Add(10 * time.Second)
	for name, giveUp := range map[string]func(*targets.Directory){
		"expired":       func(d *targets.Directory) { d.Expire(later, later.Add(-time.Second), nil) },
		"was set aside": func(d *targets.Directory) { d.SetAside(later, "a") },
	} {
		convey.Convey("A target that "+name, t, func() {
			d := targets.New()
			d.Announce(start, announcement("a", 5, 4, fleet.TargetServing))
			giveUp(d)
			convey.So(d.Get("a"), convey.ShouldBeNil)
			convey.Convey("is used again once it announces the same as before", func() {
				convey.So(d.Refresh(later.Add(time.Second), "a"), convey.ShouldEqual, targets.Changed)
				convey.So(d.Get("a").Incarnation, convey.ShouldEqual, fleet.Incarnation(5))
				convey.So(d.Refresh(later.Add(2*time.Second), "a"), convey.ShouldEqual, targets.Refreshed)
			})
			convey.Convey("is not once it has ended", func() {
				d.End(later, fleet.TargetEnd{Target: "a"})
				convey.So(d.Refresh(later.Add(time.Second), "a"), convey.ShouldEqual, targets.Ignored)
			})
			convey.Convey("is not once its address is another target's", func() {
				d.Announce(later, announcement("b", 6, 1, fleet.TargetServing))
				convey.So(d.Refresh(later.Add(time.Second), "a"), convey.ShouldEqual, targets.Ignored)
			})
		})
	}
	convey.Convey("A target that was set aside is not used again for what it announced before", t, func() {
		d := targets.New()
		d.Announce(start, announcement("a", 5, 4, fleet.TargetServing))
		d.SetAside(later, "a")
		convey.So(d.Announce(later.Add(-time.Second), announcement("a", 5, 9, fleet.TargetServing)), convey.ShouldEqual, targets.Ignored)
		convey.So(d.Refresh(later.Add(-time.Second), "a"), convey.ShouldEqual, targets.Ignored)
		convey.So(d.Announce(later.Add(time.Second), announcement("a", 5, 10, fleet.TargetServing)), convey.ShouldEqual, targets.Changed)
	})
}

func TestColdness(t *testing.T) {
	convey.Convey("A target that becomes cold or warm is a change; a shorter cold time is not", t, func() {
		d := targets.New()
		a := announcement("a", 5, 1, fleet.TargetServing)
		d.Announce(start, a)
		a.Sequence, a.ColdFor = 2, 3*time.Second
		convey.So(d.Announce(start, a), convey.ShouldEqual, targets.Changed)
		convey.So(d.Get("a").ColdUntil, convey.ShouldEqual, start.Add(3*time.Second))
		a.Sequence, a.ColdFor = 3, 2*time.Second
		convey.So(d.Announce(start.Add(time.Second), a), convey.ShouldEqual, targets.Refreshed)
		a.Sequence, a.ColdFor = 4, 0
		convey.So(d.Announce(start.Add(2*time.Second), a), convey.ShouldEqual, targets.Changed)
	})
}

// Guards against calls with ever new names that take all memory (callers that exceed limits).
func TestManyNames(t *testing.T) {
	convey.Convey("New names are refused from a number on, known ones are not", t, func() {
		d, now := targets.New(), time.Unix(1_700_000_000, 0)
		id := func(i int) fleet.TargetID { return fleet.TargetID(fmt.Sprint("t-", i)) }
		announcement := func(i int) *fleet.Announcement {
			return &fleet.Announcement{Target: id(i), SoftwareVersion: fleet.SoftwareVersion(id(i)), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)}
		}
		for i := range 20_000 {
			if d.Admits(announcement(i)) {
				d.Announce(now, *announcement(i))
			}
			if i >= 10_000 && d.AdmitsEnd(id(i)) {
				d.End(now, fleet.TargetEnd{Target: id(i)})
			}
		}
		convey.So(d.Admits(announcement(1)), convey.ShouldBeTrue)
		convey.So(d.Admits(announcement(19_999)), convey.ShouldBeFalse)
		convey.So(d.AdmitsEnd(id(1)), convey.ShouldBeTrue)
		convey.So(d.AdmitsEnd(id(19_999)), convey.ShouldBeFalse)
		now = now.Add(time.Hour)
		d.Expire(now, now, nil)
		convey.So(d.Admits(announcement(19_999)) && d.AdmitsEnd(id(19_999)), convey.ShouldBeTrue)
	})
}
