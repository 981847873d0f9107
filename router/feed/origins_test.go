package feed

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
)

// startControl starts a control host that replies to each call as given, or not at all if reply
// is nil.
func startControl(reply any) netip.AddrPort {
	s := rpc.NewServer(rpc.ServerConfig{
		Address: netip.MustParseAddrPort("127.0.0.1:0"), Uncompressed: true,
		Handler: rpc.HandlerFunc(func(ctx context.Context, _ fleet.Caller, _ string, _ json.RawMessage) (any, error) {
			if reply == nil {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return reply, nil
		}),
	})
	convey.So(s.Start(), convey.ShouldBeNil)
	convey.Reset(s.Stop)
	return s.Addr()
}

// connectedOrigins returns an Origins that is connected to the control hosts.
func connectedOrigins(controls ...netip.AddrPort) *Origins {
	o := NewOrigins(fleet.SystemClock{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	o.clients = rpc.NewClientSet(rpc.ClientSetConfig{Uncompressed: true})
	o.clients.SetAddresses(controls)
	convey.Reset(o.clients.Stop)
	for end := time.Now().Add(5 * time.Second); len(o.clients.Connected()) < len(controls) && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	convey.So(len(o.clients.Connected()), convey.ShouldEqual, len(controls))
	return o
}

func TestFindOrigin(t *testing.T) {
	origin := fleet.StreamOrigin{Stream: "r-1", Service: "s", Version: "v1"}
	convey.Convey("A control host that does not reply delays no answer of another", t, func() {
		o := connectedOrigins(startControl(nil), startControl(&fleet.StreamOriginReply{}), startControl(&fleet.StreamOriginReply{Found: true, Origin: origin}))
		began := time.Now()
		found, ok := o.Find(context.Background(), "r-1")
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(found, convey.ShouldResemble, origin)
		convey.So(time.Since(began), convey.ShouldBeLessThan, originTimeout)
	})
	convey.Convey("A stream that no control host knows is unknown, at the latest after the time-out", t, func() {
		o := connectedOrigins(startControl(nil), startControl(&fleet.StreamOriginReply{}))
		began := time.Now()
		_, ok := o.Find(context.Background(), "r-1")
		convey.So(ok, convey.ShouldBeFalse)
		convey.So(time.Since(began), convey.ShouldBeLessThan, originTimeout+200*time.Millisecond)
	})
	convey.Convey("A router that is cut off from control knows its own streams only, at once", t, func() {
		o := connectedOrigins()
		o.Share(origin)
		began := time.Now()
		found, ok := o.Find(context.Background(), "r-1")
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(found, convey.ShouldResemble, origin)
		_, ok = o.Find(context.Background(), "r-2")
		convey.So(ok, convey.ShouldBeFalse)
		convey.So(time.Since(began), convey.ShouldBeLessThan, 50*time.Millisecond)
	})
}

// Guards against a stream that goes on at another software version because its caller does not name
// it and this router knows one version only.
func TestSoleVersion(t *testing.T) {
	sole := func(v fleet.SoftwareVersion) *fleet.SoleVersionReply {
		return &fleet.SoleVersionReply{Sole: true, Version: v}
	}
	unknown, several := &fleet.SoleVersionReply{}, &fleet.SoleVersionReply{Several: true}
	for name, c := range map[string]struct {
		replies []any
		want    bool
	}{
		"all know it": {[]any{sole("v1"), sole("v1")}, true},
		"one has just started, one does not reply": {[]any{sole("v1"), unknown, nil}, true},
		"one knows of several":                     {[]any{sole("v1"), several}, false},
		"they know different ones":                 {[]any{sole("v1"), sole("v2")}, false},
		"none is sure":                             {[]any{unknown, nil}, false},
		"this router is cut off":                   {nil, false},
	} {
		convey.Convey(fmt.Sprintf("The version of a service is known if %s: %t", name, c.want), t, func() {
			var controls []netip.AddrPort
			for _, reply := range c.replies {
				controls = append(controls, startControl(reply))
			}
			v, ok := connectedOrigins(controls...).SoleVersion(context.Background(), "s", time.Second)
			convey.So(ok, convey.ShouldEqual, c.want)
			if ok {
				convey.So(v, convey.ShouldEqual, fleet.SoftwareVersion("v1"))
			}
		})
	}
}

func TestHolders(t *testing.T) {
	convey.Convey("A stream keeps its holders when others are connected, but for those that come or go", t, func() {
		var controls []netip.AddrPort
		for i := range 9 {
			controls = append(controls, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7400))
		}
		convey.So(holders("r-1", controls[:2]), convey.ShouldResemble, controls[:2])
		for _, stream := range []fleet.RequestID{"r-1", "r-2", "r-3"} {
			before := holders(stream, controls)
			convey.So(len(before), convey.ShouldEqual, originHolders)
			without := append([]netip.AddrPort{}, controls...)
			for i, c := range without {
				if c == before[0] {
					without = append(without[:i], without[i+1:]...)
					break
				}
			}
			after := holders(stream, without)
			convey.So(after[:originHolders-1], convey.ShouldResemble, before[1:])
		}
	})
}
