package feed

import (
	"encoding/json"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/deployment"
	"github.com/fuchsiashed/fuchsiashed/fleet/packed"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"
)

// TestRolloutsBeforeTheFirstRequest guards against a router that serves requests before it knows of
// a roll-out, because its first notice came from a control host without contact to a majority.
func TestRolloutsBeforeTheFirstRequest(t *testing.T) {
	convey.Convey("A router passes on the roll-outs of each notice, and takes no configuration from an unconfirmed one that names roll-outs", t, func() {
		text, err := packed.Compress([]byte("text"))
		convey.So(err, convey.ShouldBeNil)
		control := startControl(&fleet.ConfigReply{NumberedConfig: fleet.NumberedConfig{Number: 3, Text: text}})
		var mu sync.Mutex
		var events []fleet.Event
		origins := NewOrigins(fleet.SystemClock{}, slog.New(slog.DiscardHandler))
		f := New(Config{
			Self: "router-0", Seeds: []netip.AddrPort{control}, Origins: origins, Clock: fleet.SystemClock{}, Log: slog.New(slog.DiscardHandler),
			Decode: func([]byte) (*deployment.Configuration, error) {
				return deployment.New(deployment.Configuration{Number: 3})
			},
			Reduce: func(ev fleet.Event) []fleet.Effect {
				mu.Lock()
				defer mu.Unlock()
				switch ev.(type) {
				case placement.RolloutsNoticed, placement.ConfigChanged:
					events = append(events, ev)
				}
				return nil
			},
		})
		f.updateConnections()
		convey.Reset(func() {
			f.clients.Stop()
			f.wg.Wait()
		})
		for end := time.Now().Add(5 * time.Second); len(f.clients.Connected()) == 0 && time.Now().Before(end); {
			time.Sleep(5 * time.Millisecond)
		}
		rollouts := []fleet.Rollout{{Service: "s", To: "v2", Number: 7, Revision: 1, State: fleet.RolloutActive, Share: 0.1}}
		for _, n := range []fleet.Notice{
			{Number: 3, Rollouts: rollouts},
			{Number: 3, Confirmed: true, Rollouts: rollouts},
		} {
			f.wg.Wait()
			convey.So(f.Config(), convey.ShouldBeNil)
			_, addr := f.newerConfig()
			convey.So(addr.IsValid(), convey.ShouldBeFalse)
			params, err := json.Marshal(&n)
			convey.So(err, convey.ShouldBeNil)
			convey.So(f.handleNotification(control, fleet.MethodNotice, params), convey.ShouldBeNil)
		}
		f.wg.Wait()
		mu.Lock()
		defer mu.Unlock()
		convey.So(len(events), convey.ShouldEqual, 3)
		convey.So(events[0], convey.ShouldResemble, placement.RolloutsNoticed{Control: control, Rollouts: rollouts})
		convey.So(events[1], convey.ShouldResemble, placement.RolloutsNoticed{Control: control, Confirmed: true, Rollouts: rollouts})
		convey.So(events[2], convey.ShouldHaveSameTypeAs, placement.ConfigChanged{})
	})
	convey.Convey("A host without contact to a majority that knows of no roll-out gives the configuration: after a loss of all power, requests are served before there is a leader", t, func() {
		f := New(Config{Origins: NewOrigins(fleet.SystemClock{}, slog.New(slog.DiscardHandler)), Clock: fleet.SystemClock{}, Log: slog.New(slog.DiscardHandler)})
		convey.So(f.offersConfig(&fleet.Notice{Number: 3}), convey.ShouldBeTrue)
		convey.So(f.offersConfig(&fleet.Notice{}), convey.ShouldBeFalse)
	})
	convey.Convey("A notice with a malformed roll-out is refused", t, func() {
		f := New(Config{Origins: NewOrigins(fleet.SystemClock{}, slog.New(slog.DiscardHandler)), Clock: fleet.SystemClock{}, Log: slog.New(slog.DiscardHandler)})
		convey.So(f.handleNotification(netip.AddrPort{}, fleet.MethodNotice, []byte(`{"Confirmed":true,"Rollouts":[{"Service":"s","To":"v2","Number":1,"Revision":1,"State":"Active","Share":2}]}`)), convey.ShouldNotBeNil)
	})
}
