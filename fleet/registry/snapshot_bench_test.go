package registry_test

import (
	"fmt"
	"testing"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/registry"
)

// BenchmarkSnapshot measures a snapshot of a ledger with 100,000 ended calls, and reports
// the snapshot's size in bytes per call.
func BenchmarkSnapshot(b *testing.B) {
	const calls = 100_000
	state := registry.NewState()
	for i := range calls {
		key := fleet.LedgerKey{Customer: "riga-centrs", Service: "permit-desk", Key: fleet.IdempotencyKey(fmt.Sprintf("%08d-permit-filing-000001", i))}
		by := fleet.AttemptID{Router: "router-1", Incarnation: 1_796_345_473_017_073_276, Attempt: fleet.Sequence(i)}
		body := fleet.ContentHash("0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef")
		begin := registry.Command{Begin: &fleet.LedgerBeginRequest{LedgerKey: key, By: by, Body: body}}
		end := registry.Command{End: &fleet.LedgerEndRequest{
			LedgerKey: key, By: by, Verdict: fleet.Ran,
			Answer: &fleet.RecordedAnswer{Status: 200, ContentType: "application/json", Body: make([]byte, 200)},
		}}
		for j, c := range []registry.Command{begin, end} {
			data, err := c.Encode()
			if err != nil {
				b.Fatal(err)
			}
			state.Apply(fleet.Index(2*i+j+1), data)
		}
	}
	for b.Loop() {
		size := len(state.Snapshot())
		b.ReportMetric(float64(size)/calls, "B/call")
	}
}

// BenchmarkApplyBegin measures applying the begin of a ledger call.
func BenchmarkApplyBegin(b *testing.B) {
	state := registry.NewState()
	i := 0
	for b.Loop() {
		i++
		c := registry.Command{Begin: &fleet.LedgerBeginRequest{
			LedgerKey: fleet.LedgerKey{Customer: "riga-centrs", Service: "permit-desk", Key: fleet.IdempotencyKey(fmt.Sprintf("%08d", i))},
			By:        fleet.AttemptID{Router: "router-1", Incarnation: 1, Attempt: fleet.Sequence(i)}, Body: "0123",
		}}
		data, err := c.Encode()
		if err != nil {
			b.Fatal(err)
		}
		state.Apply(fleet.Index(i), data)
	}
}
