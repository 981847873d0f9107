// Package clients answers the processes that call a control replica.
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

// Replica is the reducer behind its shell.
type Replica interface {
	// Submit hands a request to the replica and waits for the answer.
	Submit(ctx context.Context, r registry.Request) (registry.Answer, error)
	// Deliver takes in a message of another replica.
	Deliver(m quorum.Message)
}

// Handler passes requests and messages to a replica. It implements rpc.Handler.
type Handler struct {
	Replica Replica
}

// Handle implements rpc.Handler.
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
