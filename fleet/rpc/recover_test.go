package rpc_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
)

// TestPanicEndsOneMessage guards against one malformed message that ends the process.
func TestPanicEndsOneMessage(t *testing.T) {
	convey.Convey("A message whose handling panics gets an error, the next ones are handled", t, func() {
		handler := rpc.HandlerFunc(func(_ context.Context, _ fleet.Caller, method string, params json.RawMessage) (any, error) {
			if method == "Panic" {
				var none map[string]int
				none["a"]++
			}
			return params, nil
		})
		s := rpc.NewServer(rpc.ServerConfig{Address: loopback, Handler: rpc.Recovering(handler, slog.New(slog.DiscardHandler))})
		convey.So(s.Start(), convey.ShouldBeNil)
		defer s.Stop()
		c := rpc.NewClient(rpc.ClientConfig{Address: s.Addr()})
		c.Start()
		defer c.Stop()
		convey.So(eventually(c.Connected, time.Second), convey.ShouldBeTrue)
		convey.So(c.Notify(context.Background(), "Panic", 1), convey.ShouldBeNil)
		convey.So(c.Call(context.Background(), "Panic", 1, nil), convey.ShouldHaveSameTypeAs, &rpc.Error{})
		var got int
		convey.So(c.Call(context.Background(), "Echo", 7, &got), convey.ShouldBeNil)
		convey.So(got, convey.ShouldEqual, 7)
	})
}
