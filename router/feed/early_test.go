package feed

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
)

// TestReportEarly guards against a router whose connections run out before the control hosts hear of
// it, because reports wait for the next heartbeat.
func TestReportEarly(t *testing.T) {
	convey.Convey("Sixteen reports one after the other reach a control host sooner than as many heartbeats would", t, func() {
		rooms := make(chan fleet.Room, 100)
		s := rpc.NewServer(rpc.ServerConfig{
			Address: netip.MustParseAddrPort("127.0.0.1:0"), Uncompressed: true,
			Handler: rpc.HandlerFunc(func(_ context.Context, _ fleet.Caller, method string, params json.RawMessage) (any, error) {
				if method == fleet.MethodJoin {
					return &fleet.JoinReply{Host: "control-1"}, nil
				}
				var r fleet.RouterLoad
				if err := fleet.Decode(params, &r); err != nil {
					return nil, err
				}
				rooms <- r.Room
				return nil, nil
			}),
		})
		convey.So(s.Start(), convey.ShouldBeNil)
		convey.Reset(s.Stop)
		log := slog.New(slog.DiscardHandler)
		f := New(Config{
			Self: "router-1", Address: netip.MustParseAddrPort("127.0.0.1:1"), Seeds: []netip.AddrPort{s.Addr()}, Clock: fleet.SystemClock{}, Log: log,
			Reduce: func(fleet.Event) []fleet.Effect { return nil }, Origins: NewOrigins(fleet.SystemClock{}, log),
		})
		f.Start()
		convey.Reset(f.Stop)
		<-rooms
		const reports = 16
		begin := time.Now()
		for i := 1; i <= reports; i++ {
			f.SetLoad(0.5, 0, fleet.Room{Connections: 139, Open: i, Reduction: 0.5})
			f.ReportEarly()
			for room := range rooms {
				if room.Open == i {
					break
				}
			}
		}
		convey.So(time.Since(begin), convey.ShouldBeLessThan, reports*heartbeatInterval/2)
	})
}
