package registry_test

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/registry"
)

// order proposes a roll-out of 12 s at a log time; it returns nil if the order was superseded.
func (a *applier) order(to fleet.SoftwareVersion, base fleet.RolloutBase, now time.Duration) *fleet.StartRolloutReply {
	r, ok := a.apply(registry.Command{At: epoch.Add(now), Now: registry.LogTime(now), StartRollout: &fleet.StartRolloutRequest{
		Service: "drafter", To: to, Duration: 12 * time.Second, Base: &base,
	}}).(fleet.StartRolloutReply)
	if !ok {
		return nil
	}
	return &r
}

// change proposes a change at a log time and reports whether it took effect.
func (a *applier) change(number fleet.RolloutNumber, revision uint64, state fleet.RolloutState, share float64) bool {
	_, ok := a.apply(registry.Command{ChangeRollout: &registry.ChangeRollout{
		Service: "drafter", Number: number, Revision: revision, State: state, Share: share,
	}}).(fleet.Rollout)
	return ok
}

// Guards against orders and decisions that take effect though they are based on an older state.
func TestRolloutCommands(t *testing.T) {
	convey.Convey("With an active roll-out", t, func() {
		a := newApplier()
		first := a.order("v2", fleet.RolloutBase{}, 0)
		convey.So(first.Rollout.Number, convey.ShouldEqual, 1)
		convey.So(first.Rollout.Revision, convey.ShouldEqual, 1)
		convey.Convey("the same order is acknowledged and another one refused, whatever they are based on", func() {
			convey.So(*a.order("v2", fleet.RolloutBase{Number: 9}, time.Second), convey.ShouldResemble, *first)
			convey.So(a.order("v3", fleet.RolloutBase{Number: 1, Revision: 1}, time.Second).Conflict, convey.ShouldBeTrue)
		})
		convey.Convey("a change has effect at its number and revision only", func() {
			convey.So(a.change(1, 1, fleet.RolloutActive, 0.1), convey.ShouldBeTrue)
			convey.So(a.change(1, 1, fleet.RolloutActive, 1), convey.ShouldBeFalse)
			convey.So(a.change(2, 2, fleet.RolloutActive, 1), convey.ShouldBeFalse)
			convey.So(a.order("v2", fleet.RolloutBase{}, time.Second).Rollout.Share, convey.ShouldEqual, 0.1)
		})
		for _, end := range []fleet.RolloutState{fleet.RolloutCompleted, fleet.RolloutReverted} {
			convey.Convey(fmt.Sprintf("and %s, the end is final", end), func() {
				convey.So(a.change(1, 1, end, 1), convey.ShouldBeTrue)
				convey.So(a.change(1, 2, fleet.RolloutActive, 1), convey.ShouldBeFalse)
				convey.Convey("the order that is resent changes nothing", func() {
					convey.So(a.order("v2", fleet.RolloutBase{}, 5*time.Second).Rollout.State, convey.ShouldEqual, end)
				})
				convey.Convey("an order based on an older state has no effect, and a new one starts a roll-out", func() {
					convey.So(a.order("v3", fleet.RolloutBase{Number: 1, Revision: 1}, 5*time.Second), convey.ShouldBeNil)
					convey.So(a.order("v3", fleet.RolloutBase{Number: 1, Revision: 2}, 5*time.Second).Rollout.Number, convey.ShouldEqual, 2)
				})
				convey.Convey("later, the same version can be ordered again", func() {
					convey.So(a.order("v2", fleet.RolloutBase{Number: 1, Revision: 2}, 30*time.Second).Rollout.Number, convey.ShouldEqual, 2)
				})
			})
		}
		convey.Convey("a state restored from a snapshot goes on alike", func() {
			b := newApplier()
			b.index = a.index
			convey.So(b.state.Restore(a.state.Snapshot()), convey.ShouldBeNil)
			for _, x := range []*applier{a, b} {
				convey.So(x.change(1, 1, fleet.RolloutActive, 0.1), convey.ShouldBeTrue)
				convey.So(x.order("v3", fleet.RolloutBase{}, 0).Conflict, convey.ShouldBeTrue)
			}
			convey.So(bytes.Equal(a.state.Snapshot(), b.state.Snapshot()), convey.ShouldBeTrue)
		})
	})
}

// Guards against a state of the former release that can't be read. The file has the commands and the
// snapshot that the release before roll-outs wrote.
func TestStateWithoutRollouts(t *testing.T) {
	convey.Convey("The log and the snapshot of the former release lead to the same state, which takes an order", t, func() {
		data, err := os.ReadFile("testdata/without-rollouts.txt")
		convey.So(err, convey.ShouldBeNil)
		fromLog, fromSnapshot := newApplier(), newApplier()
		for lines := bufio.NewScanner(bytes.NewReader(data)); lines.Scan(); {
			kind, text, _ := strings.Cut(lines.Text(), " ")
			raw, err := base64.StdEncoding.DecodeString(text)
			convey.So(err, convey.ShouldBeNil)
			if kind == "snapshot" {
				convey.So(fromSnapshot.state.Restore(raw), convey.ShouldBeNil)
				convey.So(bytes.Equal(fromLog.state.Snapshot(), raw), convey.ShouldBeTrue)
				continue
			}
			fromLog.index++
			fromLog.state.Apply(fromLog.index, raw)
		}
		fromSnapshot.index = fromLog.index
		for _, a := range []*applier{fromLog, fromSnapshot} {
			convey.So(a.order("v2", fleet.RolloutBase{}, time.Second).Rollout.Number, convey.ShouldEqual, 1)
		}
	})
}

// orderRollout orders a roll-out at the leader and returns the answer after a second.
func (c *cluster) orderRollout(to fleet.SoftwareVersion, base fleet.RolloutBase) registry.Answer {
	var got registry.Answer
	c.ask(c.leader(), registry.Request{StartRollout: &fleet.StartRolloutRequest{
		Service: "drafter", To: to, Duration: 12 * time.Second, Base: &base,
	}}, func(a registry.Answer) { got = a })
	c.runFor(time.Second)
	return got
}

// rollout returns the roll-out of a confirmed read, with up to 100 attempts.
func (c *cluster) rollout() fleet.Rollout {
	var got fleet.Rollout
	for range 100 {
		if l := c.leader(); l != nil {
			c.ask(l, registry.Request{ReadRollouts: &fleet.ReadRolloutsRequest{}}, func(a registry.Answer) {
				if r, ok := a.Reply.(*fleet.ReadRolloutsReply); ok {
					got, _ = r.Find("drafter")
				}
			})
		}
		c.runFor(100 * time.Millisecond)
		if got.Number > 0 {
			break
		}
	}
	return got
}

// Guards against acknowledged roll-outs that are lost, and against times that begin anew.
func TestRolloutsSurvive(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		convey.Convey(fmt.Sprintf("With seed %d, an acknowledged order outlives the leader, all power and a disk", seed), t, func() {
			c := newManagedCluster(5, seed)
			c.start()
			c.runFor(6 * time.Second)
			convey.So(c.orderRollout("v2", fleet.RolloutBase{}).Failure, convey.ShouldBeNil)
			c.leader().crashFor(2 * time.Second)
			c.runFor(4 * time.Second)
			convey.So(c.rollout().Revision, convey.ShouldEqual, 1)
			for i, n := range c.nodes {
				if i == int(seed%5) {
					n.wipe()
					c.after(time.Second, n.start)
					continue
				}
				n.crashFor(time.Second)
			}
			c.runFor(3 * time.Second)
			r := c.rollout()
			convey.So(r.State, convey.ShouldEqual, fleet.RolloutActive)
			// 5 s passed before the loss of power and 3 s or a little more since, 2 s of them
			// without a leader; the log misses up to 2 s more with each leader.
			convey.So(r.Left, convey.ShouldBeBetween, 2*time.Second, 12*time.Second-3*time.Second)
			convey.So(c.violation, convey.ShouldBeEmpty)
		})
	}
}

// Guards against an order that a suspended host sends when a newer one has begun and ended.
func TestRolloutOrderThatArrivesLate(t *testing.T) {
	convey.Convey("A delayed order does not start a roll-out after newer ones", t, func() {
		c := newManagedCluster(3, 7)
		c.start()
		c.runFor(4 * time.Second)
		convey.So(c.orderRollout("v3", fleet.RolloutBase{}).Failure, convey.ShouldBeNil)
		var done registry.Answer
		c.ask(c.leader(), registry.Request{ChangeRollout: &registry.ChangeRollout{
			Service: "drafter", Number: 1, Revision: 1, State: fleet.RolloutReverted,
		}}, func(a registry.Answer) { done = a })
		c.runFor(time.Second)
		convey.So(done.Failure, convey.ShouldBeNil)
		late := c.orderRollout("v2", fleet.RolloutBase{})
		convey.So(late.Failure, convey.ShouldNotBeNil)
		convey.So(late.Failure.Code, convey.ShouldEqual, fleet.CodeSuperseded)
		convey.So(string(c.rollout().To), convey.ShouldEqual, "v3")
	})
}

// Guards against a time limit that a wrong clock brings forward or that never comes.
func TestTimeLimitOfRollouts(t *testing.T) {
	convey.Convey("Without a leader the limit moves by the outage, and the end is planned as if it did not", t, func() {
		c := newManagedCluster(3, 8)
		c.start()
		c.runFor(4 * time.Second)
		c.orderRollout("v2", fleet.RolloutBase{})
		c.runFor(3 * time.Second)
		for _, n := range c.nodes {
			n.crashFor(3 * time.Second)
		}
		c.runFor(5 * time.Second)
		reviews := c.leader().server.RolloutReviews()
		convey.So(reviews, convey.ShouldHaveLength, 1)
		// 9 s have passed since the order, 3 s of them without power and about 1 s for the election.
		convey.So(reviews[0].Due, convey.ShouldBeBetween, 2*time.Second, 4*time.Second)
		convey.So(reviews[0].Left, convey.ShouldBeBetween, 6*time.Second, 9*time.Second)
	})
}
