package rpc_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
)

// TestEncodedNotifications guards against encoded notifications that are torn apart by other
// messages on the connection, or arrive in another order.
func TestEncodedNotifications(t *testing.T) {
	for _, uncompressed := range []bool{false, true} {
		convey.Convey(fmt.Sprintf("Encoded notifications arrive whole and in order between calls, uncompressed: %v", uncompressed), t, func() {
			peers := make(chan fleet.Subscriber, 1)
			s := rpc.NewServer(rpc.ServerConfig{Address: loopback, Uncompressed: uncompressed, Handler: rpc.HandlerFunc(
				func(_ context.Context, peer fleet.Caller, method string, params json.RawMessage) (any, error) {
					if method == "Join" {
						peers <- peer.(fleet.Subscriber)
					}
					return params, nil
				},
			)})
			convey.So(s.Start(), convey.ShouldBeNil)
			defer s.Stop()
			var mu sync.Mutex
			var received []int
			c := rpc.NewClient(rpc.ClientConfig{Address: s.Addr(), Uncompressed: uncompressed, Handler: rpc.HandlerFunc(
				func(_ context.Context, _ fleet.Caller, _ string, params json.RawMessage) (any, error) {
					var n int
					if err := json.Unmarshal(params, &n); err != nil {
						return nil, err
					}
					mu.Lock()
					defer mu.Unlock()
					received = append(received, n)
					return nil, nil
				},
			)})
			c.Start()
			defer c.Stop()
			convey.So(eventually(c.Connected, time.Second), convey.ShouldBeTrue)
			convey.So(c.Call(context.Background(), "Join", 0, nil), convey.ShouldBeNil)
			peer := <-peers
			const pairs = 200
			failed := make(chan error, 1)
			go func() {
				for i := range pairs {
					var echoed string
					if err := c.Call(context.Background(), "Echo", fmt.Sprint("call ", i), &echoed); err != nil {
						failed <- err
						return
					}
				}
				failed <- nil
			}()
			for i := range pairs {
				first, err := rpc.EncodeNotification("Count", 2*i)
				convey.So(err, convey.ShouldBeNil)
				second, err := rpc.EncodeNotification("Count", 2*i+1)
				convey.So(err, convey.ShouldBeNil)
				convey.So(peer.NotifyEncoded(context.Background(), first, second), convey.ShouldBeNil)
			}
			convey.So(<-failed, convey.ShouldBeNil)
			all := func() bool {
				mu.Lock()
				defer mu.Unlock()
				return len(received) == 2*pairs
			}
			convey.So(eventually(all, 2*time.Second), convey.ShouldBeTrue)
			for i, n := range received {
				convey.So(n, convey.ShouldEqual, i)
			}
		})
	}
}
