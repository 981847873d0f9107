package configsync_test

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/configsync"
	"github.com/fuchsiashed/fuchsiashed/fleet/fleettext"
)

const text = `
[Fleet]
Region = lv-riga
[DataCentre riga-a]
[Service drafter]
Protocol = Model
MaxCost = 4000
[Customer riga-centrs]
KeyHash = 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef
`

// control is a control quorum with a fixed state.
type control struct {
	state fleet.StateReply
	text  string
	fail  error
}

func (c *control) Call(_ context.Context, method string, _, reply any) error {
	if c.fail != nil {
		return c.fail
	}
	switch r := reply.(type) {
	case *fleet.StateReply:
		*r = c.state
	case *fleet.TextReply:
		*r = fleet.TextReply{Version: c.state.Version, Text: c.text}
	default:
		return errors.Errorf("unexpected call %s", method)
	}
	return nil
}

func (c *control) Notify(context.Context, string, any) error { return nil }

type clock struct {
	fleet.SystemClock
	now time.Time
}

func (c *clock) Now() time.Time { return c.now }

func newFollower(c *control, clk *clock) *configsync.Follower {
	return configsync.New(configsync.Config{
		Control:   c,
		Clock:     clk,
		Log:       slog.New(slog.NewTextHandler(io.Discard, nil)),
		Heartbeat: func() fleet.StateRequest { return fleet.StateRequest{Host: "r1", Role: fleet.RoleRouter} },
	})
}

func TestFollower(t *testing.T) {
	ctx := context.Background()
	convey.Convey("Given a follower at version 5", t, func() {
		c := &control{text: text, state: fleet.StateReply{Version: 5, Hash: fleettext.Hash(text), Validity: time.Second}}
		clk := &clock{now: time.Unix(1000, 0)}
		f := newFollower(c, clk)
		_, ok := f.Current()
		convey.So(ok, convey.ShouldBeFalse)
		convey.So(f.Sync(ctx), convey.ShouldBeNil)
		current, ok := f.Current()
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(current.Version, convey.ShouldEqual, fleet.Version(5))

		convey.Convey("a lower version is refused", func() {
			c.state.Version = 4
			convey.So(f.Sync(ctx), convey.ShouldNotBeNil)
			current, _ := f.Current()
			convey.So(current.Version, convey.ShouldEqual, fleet.Version(5))
		})
		convey.Convey("a text with another hash is refused", func() {
			c.state = fleet.StateReply{Version: 6, Hash: "other", Validity: time.Second}
			convey.So(f.Sync(ctx), convey.ShouldNotBeNil)
			current, _ := f.Current()
			convey.So(current.Version, convey.ShouldEqual, fleet.Version(5))
		})
		convey.Convey("a data centre taken out raises the version under the same text", func() {
			c.state.Version, c.state.DataCentresOut = 6, []fleet.DataCentreName{"riga-a"}
			convey.So(f.Sync(ctx), convey.ShouldBeNil)
			current, _ := f.Current()
			convey.So(current.DataCentresOut["riga-a"], convey.ShouldBeTrue)
		})
		convey.Convey("without control the version is unconfirmed once its validity has passed", func() {
			c.fail = errors.New("no quorum")
			clk.now = clk.now.Add(fleet.ShortenLease(time.Second))
			convey.So(f.Sync(ctx), convey.ShouldNotBeNil)
			_, ok := f.Current()
			convey.So(ok, convey.ShouldBeFalse)
		})
	})
}
