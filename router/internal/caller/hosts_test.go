package caller

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

type fixedConfiguration struct {
	hosts []fleet.HostState
}

func (fixedConfiguration) Current() (fleet.Confirmed, bool) {
	return fleet.Confirmed{Fleet: &fleet.Fleet{}}, false
}

func (c fixedConfiguration) Hosts() []fleet.HostState {
	return append([]fleet.HostState(nil), c.hosts...)
}

func TestStoppingHostIsNotListed(t *testing.T) {
	convey.Convey("A stopping host leaves itself out before control knows of the stop", t, func() {
		s := New(Config{Host: "r1", Stopping: func() bool { return true }, Configuration: fixedConfiguration{hosts: []fleet.HostState{
			{Host: "r1", Role: fleet.RoleRouter, Address: "10.0.0.1:80"},
			{Host: "r2", Role: fleet.RoleRouter, Address: "10.0.0.2:80"},
		}}})
		list := s.chooseHosts(fleet.Confirmed{}, "x", "s")
		convey.So(len(list), convey.ShouldEqual, 1)
		convey.So(list[0].Address, convey.ShouldEqual, "10.0.0.2:80")
		convey.So(s.otherHosts("x", "s"), convey.ShouldEqual, "10.0.0.2:80")
	})
}
