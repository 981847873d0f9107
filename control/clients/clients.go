// Package clients handles the RPC calls to a control replica.
package clients

import (
	"context"
	"encoding/json"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/quorum"
	"github.com/fuchsiashed/fuchsiashed/fleet/registry"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"

	"github.com/fuchsiashed/fuchsiashed/control/replicas"
)

// Replica is a running control replica, such as *shell.Shell.
type Replica interface {
	// Submit passes a request to the replica and waits for the answer.
	Submit(ctx context.Context, r registry.Request) (registry.Answer, error)
	// Deliver passes on a message of another replica.
	Deliver(m quorum.Message)
}

// Handler decodes requests and messages and passes them to a replica. It implements
// rpc.Handler.
type Handler struct {
	Replica Replica
}

// Handle implements rpc.Handler. Its errors carry fleet.CodeInvalid, fleet.CodeUnavailable
// or the code of the replica's failure, with the leader as data if another replica leads.
func (h *Handler) Handle(ctx context.Context, _ fleet.Caller, method string, params json.RawMessage) (any, error) {
	if method == replicas.Method {
		m, err := replicas.Decode(params)
		if err != nil {
			return nil, err
		}
		h.Replica.Deliver(m)
		return nil, nil
	}
	req, err := decode(method, params)
	if err != nil {
		return nil, rpc.NewError(fleet.CodeInvalid, err.Error(), nil)
	}
	answer, err := h.Replica.Submit(ctx, req)
	if err != nil {
		return nil, rpc.NewError(fleet.CodeUnavailable, err.Error(), nil)
	}
	if f := answer.Failure; f != nil {
		return nil, rpc.NewError(f.Code, f.Message, fleet.NotLeader{Leader: f.Leader})
	}
	return answer.Reply, nil
}
