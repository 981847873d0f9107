package core

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// stoppedClock is a clock that the test moves.
type stoppedClock struct {
	fleet.SystemClock
	now time.Time
}

func (c *stoppedClock) Now() time.Time { return c.now }

// TestSuspendedHostNamesAllRouters: the silence of routers that a suspended host did not
// hear is its own.
func TestSuspendedHostNamesAllRouters(t *testing.T) {
	convey.Convey("A host that wakes does not name the first router alone that it hears", t, func() {
		clock := &stoppedClock{now: time.Unix(1_700_000_000, 0)}
		c := &Core{cfg: Config{Clock: clock}, started: clock.now.Add(-time.Minute)}
		c.hub = newHub(c)
		add := func(i int) *follower {
			f := &follower{heard: clock.now, JoinRequest: fleet.JoinRequest{
				Host: fleet.HostID(fmt.Sprint("router-", i)), Role: fleet.RoleRouter,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80), DataCentre: "a",
			}}
			c.hub.followers[fleet.Caller(&peer{i})] = f
			return f
		}
		var followers []*follower
		for i := range 10 {
			followers = append(followers, add(i))
		}
		convey.So(len(c.listed("a", "caller")), convey.ShouldEqual, 10)
		clock.now = clock.now.Add(4 * time.Second)
		followers[3].heard = clock.now
		convey.So(len(c.listed("a", "caller")), convey.ShouldEqual, 10)
		convey.Convey("but leaves out the few that fell silent", func() {
			for _, f := range followers[1:] {
				f.heard = clock.now
			}
			convey.So(len(c.listed("a", "caller")), convey.ShouldEqual, 9)
		})
	})
}

// peer is a caller that nothing is sent to.
type peer struct{ id int }

func (*peer) Call(context.Context, string, any, any) error { return nil }
func (*peer) Notify(context.Context, string, any) error    { return nil }
