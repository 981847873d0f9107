package feed

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
)

// BenchmarkShare measures one origin on its way from a router to a control host, both in this
// process, and its bytes on the wire.
func BenchmarkShare(b *testing.B) {
	var received atomic.Int64
	traffic := &rpc.Traffic{}
	s := rpc.NewServer(rpc.ServerConfig{
		Address: netip.MustParseAddrPort("127.0.0.1:0"), Uncompressed: true, Traffic: traffic,
		Handler: rpc.HandlerFunc(func(_ context.Context, _ fleet.Caller, _ string, params json.RawMessage) (any, error) {
			var begun fleet.StreamsBegun
			if err := fleet.Decode(params, &begun); err != nil {
				return nil, err
			}
			received.Add(int64(len(begun.Origins)))
			return nil, nil
		}),
	})
	if err := s.Start(); err != nil {
		b.Fatal(err)
	}
	defer s.Stop()
	o := NewOrigins(fleet.SystemClock{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	o.clients = rpc.NewClientSet(rpc.ClientSetConfig{Uncompressed: true})
	defer o.clients.Stop()
	o.clients.SetAddresses([]netip.AddrPort{s.Addr()})
	for len(o.clients.Connected()) == 0 {
		time.Sleep(time.Millisecond)
	}
	b.ResetTimer()
	for i := range b.N {
		o.sendToHolders([]fleet.StreamOrigin{{Stream: fleet.RequestID(fmt.Sprintf("%016x", i)), Service: "drafter", Version: "v1.1"}})
		for received.Load() <= int64(i) {
			time.Sleep(10 * time.Microsecond)
		}
	}
	b.ReportMetric(float64(traffic.BytesRead())/float64(b.N), "B/origin")
}
