package rpc

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"log/slog"
	"runtime/debug"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
)

// handlerPanics counts, by method, the messages whose handling panicked.
var handlerPanics = expvar.NewMap("MessagePanics")

// Recovering returns a Handler that turns a panic of h into an error, so that one message does
// not end the process. It must not be used for messages whose handling may leave state behind
// that breaks an invariant.
func Recovering(h Handler, log *slog.Logger) Handler {
	return HandlerFunc(func(ctx context.Context, peer fleet.Caller, method string, params json.RawMessage) (result any, err error) {
		defer func() {
			if v := recover(); v != nil {
				handlerPanics.Add(method, 1)
				log.Error(logevent.MessagePanicked, "method", method, "error", fmt.Sprint(v), "stack", string(debug.Stack()))
				result, err = nil, NewError(fleet.CodeInvalid, "the message could not be handled", nil)
			}
		}()
		return h.Handle(ctx, peer, method, params)
	})
}
