package fleet

import (
	"context"

	"github.com/pkg/errors"
)

// RPC methods by which routers share the origins of streams through control hosts.
const (
	// MethodStreamsBegun is a notification from a router with a StreamsBegun.
	MethodStreamsBegun = "Streams.Begun"
	// MethodStreamOrigin takes a StreamOriginRequest and returns a StreamOriginReply.
	MethodStreamOrigin = "Streams.Origin"
)

// StreamOrigin says which software began a stream. Only targets of the same service and
// software version can continue it.
type StreamOrigin struct {
	// Stream is the request whose response brought the first event.
	Stream  RequestID       `json:"R"`
	Service ServiceName     `json:"S"`
	Version SoftwareVersion `json:"V,omitempty"`
}

// StreamsBegun lists streams that a router has begun.
type StreamsBegun struct {
	Origins []StreamOrigin
}

// Check implements Checker.
func (b *StreamsBegun) Check() error {
	for i, o := range b.Origins {
		if o.Stream == "" || o.Service == "" {
			return errors.Errorf("Origins[%d] lacks R, the stream, or S, the service", i)
		}
	}
	return nil
}

// StreamOriginRequest asks which software began a stream.
type StreamOriginRequest struct {
	Stream RequestID
}

// Check implements Checker.
func (r *StreamOriginRequest) Check() error {
	if r.Stream == "" {
		return errors.New("Stream is missing")
	}
	return nil
}

// StreamOriginReply is the origin of a stream; Found is false if the control host does not
// know it.
type StreamOriginReply struct {
	Found  bool
	Origin StreamOrigin
}

// Check implements Checker.
func (*StreamOriginReply) Check() error { return nil }

// StreamOrigins finds out which software began a stream, at any router.
type StreamOrigins interface {
	// Share makes the origin of a stream that this router has begun known to the other
	// routers. It does not block.
	Share(StreamOrigin)
	// Find returns the origin of a stream. ok is false if no process that this router reaches
	// has it.
	Find(ctx context.Context, stream RequestID) (o StreamOrigin, ok bool)
}
