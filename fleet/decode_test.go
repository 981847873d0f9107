package fleet_test

import (
	"encoding/json"
	"testing"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// FuzzDecode checks that no input causes a panic, and that an accepted message is accepted
// again after it is encoded.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"Router":"r1","DataCentre":"a","Incarnation":1,"Sequence":1,"Tickets":[{"ID":"t","Request":"q","Customer":"c","Service":"s","DataCentre":"a","Content":"c","Attempt":1}]}`))
	f.Add([]byte(`{"Dispatcher":"d","Router":"r","Epoch":1,"Validity":5,"Grants":[{"Address":"127.0.0.1:1"}]}`))
	f.Add([]byte(`{"Target":"t","Service":"s","DataCentre":"a","Address":"127.0.0.1:1","Slots":1,"State":"Serving"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, m := range []fleet.Checker{
			&fleet.RouterReport{}, &fleet.DispatcherGrants{}, &fleet.Announcement{}, &fleet.ApplyRequest{},
			&fleet.LeaseRequest{}, &fleet.LedgerBeginRequest{}, &fleet.LedgerEndRequest{}, &fleet.StateReply{},
		} {
			if fleet.Decode(data, m) != nil {
				continue
			}
			again, err := json.Marshal(m)
			if err != nil {
				t.Fatalf("encode %T: %v", m, err)
			}
			if err := fleet.Decode(again, m); err != nil {
				t.Fatalf("accepted %s but not its re-encoding: %v", data, err)
			}
		}
	})
}
