package rpc_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
)

// singleTicketReport returns a report with one ticket, as a router sends for each request.
func singleTicketReport(n int, rng *rand.Rand) fleet.RouterReport {
	content := fmt.Sprintf("%016x%016x%016x%016x", rng.Uint64(), rng.Uint64(), rng.Uint64(), rng.Uint64())
	id := fmt.Sprintf("router-17-dnbjeybfxrb1-%d", n)
	return fleet.RouterReport{
		Router: "router-17", Incarnation: 1796345673652136019, DataCentre: "riga-a", Sequence: fleet.Sequence(n + 1), Epoch: 3, Version: 41,
		Tickets: []fleet.Ticket{{
			ID: fleet.TicketID(id + ".1"), Request: fleet.RequestID(id), Customer: "riga-centrs", Service: "drafter", DataCentre: "riga-a",
			Hint: fleet.Cost(rng.IntN(4000)), Prefix: fleet.PrefixHash(rng.Uint64()), Content: fleet.ContentHash(content), Attempt: 1, Patience: 30 * time.Second,
		}},
	}
}

// BenchmarkReport sends reports of one ticket and reports the compressed bytes of each.
func BenchmarkReport(b *testing.B) {
	var traffic rpc.Traffic
	done := make(chan struct{}, b.N)
	s := rpc.NewServer(rpc.ServerConfig{Address: loopback, Handler: rpc.HandlerFunc(
		func(_ context.Context, _ fleet.Caller, _ string, params json.RawMessage) (any, error) {
			done <- struct{}{}
			return nil, fleet.Decode(params, &fleet.RouterReport{})
		},
	)})
	if err := s.Start(); err != nil {
		b.Fatal(err)
	}
	defer s.Stop()
	c := rpc.NewClient(rpc.ClientConfig{Address: s.Addr(), Traffic: &traffic})
	c.Start()
	defer c.Stop()
	if !eventually(c.Connected, time.Second) {
		b.Fatal("no connection")
	}
	rng := rand.New(rand.NewPCG(1, 1))
	start := traffic.BytesWritten()
	for n := 0; b.Loop(); n++ {
		if err := c.Notify(context.Background(), fleet.MethodReport, singleTicketReport(n, rng)); err != nil {
			b.Fatal(err)
		}
		<-done
	}
	b.ReportMetric(float64(traffic.BytesWritten()-start)/float64(b.N), "wireB/op")
}
