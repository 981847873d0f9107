package core

import (
	"io"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Guards against a stream of which the first part comes from one software version and the rest from
// another one, after the targets of the first have just left.
func TestSoleVersionOfAService(t *testing.T) {
	convey.Convey("With a control host that leads and a target of version v1", t, func() {
		self := netip.MustParseAddrPort("127.0.0.1:0")
		clock := &manualClock{now: time.Unix(1_700_000_000, 0)}
		c, err := New(Config{
			Self: self, DataCentre: "a", DataFolder: t.TempDir(), DemandWindow: time.Second, Clock: clock, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		convey.So(err, convey.ShouldBeNil)
		convey.Reset(func() { _ = c.storage.Close() })
		announce := func(id string, i int, v fleet.SoftwareVersion) {
			a := simAnnouncement(id, i)
			a.SoftwareVersion = v
			c.mergeNotice(fleet.TargetsNotice{Announced: []fleet.AgedAnnouncement{{Announcement: a}}})
		}
		sole := func() []fleet.SoftwareVersion {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.targets.Versions("pool", clock.now.Add(-10*time.Second))
		}
		announce("t-1", 1, "v1")
		clock.now = clock.now.Add(time.Minute)
		c.mergeNotice(fleet.TargetsNotice{Alive: []fleet.TargetID{"t-1"}})
		convey.So(sole(), convey.ShouldResemble, []fleet.SoftwareVersion{"v1"})
		convey.Convey("a version that has just left counts", func() {
			announce("t-2", 2, "v2")
			c.mergeNotice(fleet.TargetsNotice{Ended: []fleet.TargetEnd{{Target: "t-1", Incarnation: 1}}})
			clock.now = clock.now.Add(9 * time.Second)
			c.mergeNotice(fleet.TargetsNotice{Alive: []fleet.TargetID{"t-2"}})
			convey.So(sole(), convey.ShouldResemble, []fleet.SoftwareVersion{"v1", "v2"})
			convey.So(c.soleVersion(&fleet.SoleVersionRequest{Service: "pool", Age: 10 * time.Second}).Several, convey.ShouldBeTrue)
			clock.now = clock.now.Add(2 * time.Second)
			convey.So(sole(), convey.ShouldResemble, []fleet.SoftwareVersion{"v2"})
		})
		convey.Convey("a host without contact to a quorum, or without targets, is not sure", func() {
			convey.So(*c.soleVersion(&fleet.SoleVersionRequest{Service: "pool", Age: 10 * time.Second}), convey.ShouldBeZeroValue)
			convey.So(*c.soleVersion(&fleet.SoleVersionRequest{Service: "other", Age: 10 * time.Second}), convey.ShouldBeZeroValue)
		})
	})
	convey.Convey("A host of a quorum knows the version once it has been up for the time", t, func() {
		self := netip.MustParseAddrPort("127.0.0.1:0")
		c, err := New(Config{
			Self: self, Seeds: []netip.AddrPort{self}, Bootstrap: true, DataCentre: "a", DataFolder: t.TempDir(), DemandWindow: time.Second, Clock: fleet.SystemClock{},
			Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		convey.So(err, convey.ShouldBeNil)
		convey.So(c.Start(), convey.ShouldBeNil)
		convey.Reset(func() { convey.So(c.Stop(), convey.ShouldBeNil) })
		// The target must be announced within the time that is asked for at the end.
		time.Sleep(10 * time.Millisecond)
		c.mergeNotice(fleet.TargetsNotice{Announced: []fleet.AgedAnnouncement{{Announcement: simAnnouncement("t-1", 1)}}})
		convey.So(c.soleVersion(&fleet.SoleVersionRequest{Service: "pool", Age: time.Hour}).Sole, convey.ShouldBeFalse)
		for end := time.Now().Add(5 * time.Second); !c.HasQuorumContact() && time.Now().Before(end); {
			time.Sleep(10 * time.Millisecond)
		}
		convey.So(c.soleVersion(&fleet.SoleVersionRequest{Service: "pool", Age: time.Millisecond}).Several, convey.ShouldBeFalse)
		convey.So(c.soleVersion(&fleet.SoleVersionRequest{Service: "pool", Age: time.Since(c.startTime) - time.Millisecond}).Sole, convey.ShouldBeTrue)
	})
}
