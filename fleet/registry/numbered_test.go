package registry_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/registry"
)

// outRevision returns the revision of a confirmed read at the leader.
func (c *cluster) outRevision() fleet.OutRevision {
	var got *fleet.OutRevision
	c.ask(c.leader(), registry.Request{ReadConfig: &fleet.ReadConfigRequest{}}, func(a registry.Answer) {
		if r, ok := a.Reply.(*fleet.ReadConfigReply); ok {
			got = &r.OutRevision
		}
	})
	c.runFor(time.Second)
	convey.So(got, convey.ShouldNotBeNil)
	return *got
}

// setOut sends an order to the leader and returns the code of its failure, or 0.
func (c *cluster) setOut(out bool, base *fleet.OutRevision) int64 {
	code := int64(-1)
	r := registry.Request{SetOut: &fleet.SetOutRequest{DataCentre: "a", Out: out, Base: base}}
	c.ask(c.leader(), r, func(a registry.Answer) {
		code = 0
		if a.Failure != nil {
			code = a.Failure.Code
		}
	})
	c.runFor(time.Second)
	return code
}

// Guards against orders that arrive after newer ones and undo them.
func TestOrderThatArrivesLate(t *testing.T) {
	convey.Convey("With an order that is held up on its way", t, func() {
		c := newManagedCluster(3, 11)
		c.start()
		c.runFor(4 * time.Second)
		isOut := func() bool { return len(c.leader().server.State().Numbered().Out) > 0 }
		late := c.outRevision()
		convey.Convey("a newer order stays in force", func() {
			convey.So(c.setOut(false, nil), convey.ShouldEqual, 0)
			convey.So(c.setOut(true, &late), convey.ShouldEqual, fleet.CodeSuperseded)
			convey.So(isOut(), convey.ShouldBeFalse)
		})
		convey.Convey("newer orders of both kinds stay in force, after a change of the leader too", func() {
			base := late
			convey.So(c.setOut(true, &base), convey.ShouldEqual, 0)
			base = c.outRevision()
			convey.So(c.setOut(false, &base), convey.ShouldEqual, 0)
			c.leader().crashFor(time.Second)
			c.runFor(3 * time.Second)
			convey.So(c.setOut(true, &late), convey.ShouldEqual, fleet.CodeSuperseded)
			convey.So(isOut(), convey.ShouldBeFalse)
		})
		convey.Convey("it takes effect if there is no newer one", func() {
			convey.So(c.put(3, "three"), convey.ShouldBeTrue)
			convey.So(c.setOut(true, &late), convey.ShouldEqual, 0)
			convey.So(isOut(), convey.ShouldBeTrue)
		})
		convey.Convey("an order of an earlier release takes effect", func() {
			convey.So(c.setOut(true, nil), convey.ShouldEqual, 0)
			convey.So(isOut(), convey.ShouldBeTrue)
		})
		convey.So(c.violation, convey.ShouldBeEmpty)
	})
}
