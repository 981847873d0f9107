package clients

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/registry"
)

// decode decodes and checks the parameters of a method. It fails for an unknown method.
func decode(method string, params json.RawMessage) (registry.Request, error) {
	var r registry.Request
	var v fleet.Checker
	switch method {
	case fleet.MethodState:
		r.State = &fleet.StateRequest{}
		v = r.State
	case fleet.MethodText:
		r.Text = &fleet.TextRequest{}
		v = r.Text
	case fleet.MethodApply:
		r.Apply = &fleet.ApplyRequest{}
		v = r.Apply
	case fleet.MethodDataCentre:
		r.DataCentre = &fleet.DataCentreRequest{}
		v = r.DataCentre
	case fleet.MethodLease:
		r.Lease = &fleet.LeaseRequest{}
		v = r.Lease
	case fleet.MethodLedgerBegin:
		r.LedgerBegin = &fleet.LedgerBeginRequest{}
		v = r.LedgerBegin
	case fleet.MethodLedgerEnd:
		r.LedgerEnd = &fleet.LedgerEndRequest{}
		v = r.LedgerEnd
	case fleet.MethodHistory:
		r.History = &fleet.HistoryRequest{}
		v = r.History
	case fleet.MethodStatus:
		r.Status = &fleet.StatusRequest{}
		v = r.Status
	case fleet.MethodReplace:
		r.Replace = &fleet.ReplaceRequest{}
		v = r.Replace
	case fleet.MethodPutConfig:
		r.PutConfig = &fleet.PutConfigRequest{}
		v = r.PutConfig
	case fleet.MethodReadConfig:
		r.ReadConfig = &fleet.ReadConfigRequest{}
		v = r.ReadConfig
	case fleet.MethodSetOut:
		r.SetOut = &fleet.SetOutRequest{}
		v = r.SetOut
	case fleet.MethodStartRollout:
		r.StartRollout = &fleet.StartRolloutRequest{}
		v = r.StartRollout
	case fleet.MethodReadRollouts:
		r.ReadRollouts = &fleet.ReadRolloutsRequest{}
		v = r.ReadRollouts
	default:
		return r, errors.Errorf("method %q does not exist", method)
	}
	return r, fleet.Decode(params, v)
}
