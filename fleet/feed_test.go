package fleet_test

import (
	"encoding/json"
	"net/netip"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Guards against a router or control host that stops following the targets because of one entry that
// another release or writer has let through.
func TestNoticeWithAnInvalidAnnouncement(t *testing.T) {
	convey.Convey("Of a notice with an invalid announcement, the others are taken", t, func() {
		announced := func(id string, port uint16) fleet.AgedAnnouncement {
			return fleet.AgedAnnouncement{Announcement: fleet.Announcement{
				Target: fleet.TargetID(id), Incarnation: 1, Sequence: 1, Service: "s", DataCentre: "a", Slots: 4,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), port), State: fleet.TargetServing,
			}}
		}
		raw, err := json.Marshal(fleet.TargetsNotice{
			Announced: []fleet.AgedAnnouncement{announced("t-1", 80), announced("t-2", 0), announced("?", 80), announced("t-3", 81)},
			Alive:     []fleet.TargetID{"t-4"},
		})
		convey.So(err, convey.ShouldBeNil)
		n, invalid, err := fleet.DecodeTargetsNotice(raw)
		convey.So(err, convey.ShouldBeNil)
		convey.So(invalid, convey.ShouldHaveLength, 2)
		convey.So(n.Announced, convey.ShouldHaveLength, 2)
		convey.So(n.Announced[1].Target, convey.ShouldEqual, fleet.TargetID("t-3"))
		convey.So(n.Alive, convey.ShouldHaveLength, 1)
	})
}

// Guards against a router whose report of its capacity, out of range, takes all callers or none.
func TestRoomIsChecked(t *testing.T) {
	convey.Convey("A report with a room out of range is refused, one of an earlier release without a room is taken", t, func() {
		var r fleet.RouterLoad
		for _, room := range []string{`{"C":-1}`, `{"O":-1}`, `{"O":9999999}`, `{"P":-0.1}`, `{"P":1e9}`, `{"R":1.1}`, `{"R":-0.1}`} {
			convey.So(fleet.Decode([]byte(`{"Host":"r","Room":`+room+`}`), &r), convey.ShouldNotBeNil)
		}
		convey.So(fleet.Decode([]byte(`{"Host":"r","Room":{"C":139,"O":150,"P":0.144,"R":0.25,"Later":1}}`), &r), convey.ShouldBeNil)
		convey.So(r.Room, convey.ShouldResemble, fleet.Room{Connections: 139, Open: 150, Cores: 0.144, Reduction: 0.25})
		var old fleet.RouterLoad
		convey.So(fleet.Decode([]byte(`{"Host":"r"}`), &old), convey.ShouldBeNil)
		convey.So(old.Room, convey.ShouldBeZeroValue)
	})
}

// Guards against a report or digest whose pace, out of range, takes all parts from a target or gives
// it all.
func TestPacesAreChecked(t *testing.T) {
	convey.Convey("A pace out of range is refused, messages of an earlier release without paces are taken", t, func() {
		var r fleet.RouterLoad
		for _, s := range []string{`{"T":"t","I":1,"N":0}`, `{"T":"t","I":1,"N":2,"L":2.9}`, `{"T":"t","I":1,"N":2,"L":-2.9}`, `{"T":"","I":1,"N":1}`, `{"T":"t","N":1000000}`} {
			convey.So(fleet.Decode([]byte(`{"Host":"r","Paces":[`+s+`]}`), &r), convey.ShouldNotBeNil)
		}
		convey.So(fleet.Decode([]byte(`{"Host":"r","Paces":[{"T":"t","I":1,"N":2,"L":2.7,"Later":1}]}`), &r), convey.ShouldBeNil)
		var d fleet.LoadDigest
		for _, p := range []string{`{"T":"t"}`, `{"T":"t","P":4.1}`, `{"T":"t","P":0.2}`, `{"T":"t","P":1,"A":-1}`, `{"T":"","P":1}`} {
			convey.So(fleet.Decode([]byte(`{"PacesKnown":true,"Paces":[`+p+`]}`), &d), convey.ShouldNotBeNil)
		}
		convey.So(fleet.Decode([]byte(`{"PacesKnown":true,"Paces":[{"T":"t","I":1,"P":1.7,"A":5}]}`), &d), convey.ShouldBeNil)
		var old fleet.LoadDigest
		convey.So(fleet.Decode([]byte(`{}`), &old), convey.ShouldBeNil)
		convey.So(old.PacesKnown, convey.ShouldBeFalse)
	})
}
