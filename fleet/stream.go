package fleet

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// RPC methods by which routers share the origins of streams through control hosts.
const (
	// MethodStreamsBegun is a notification from a router with a StreamsBegun.
	MethodStreamsBegun = "Streams.Begun"
	// MethodStreamOrigin takes a StreamOriginRequest and returns a StreamOriginReply.
	MethodStreamOrigin = "Streams.Origin"
	// MethodSoleVersion takes a SoleVersionRequest and returns a SoleVersionReply.
	MethodSoleVersion = "Streams.SoleVersion"
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

// SoleVersionRequest asks which software version alone a service has had lately.
type SoleVersionRequest struct {
	Service ServiceName
	// Age is how far back no other version may have been there.
	Age time.Duration
}

// Check implements Checker.
func (r *SoleVersionRequest) Check() error {
	if r.Age <= 0 {
		return errors.Errorf("Age is %s; it must be positive", r.Age)
	}
	return CheckName("Service", string(r.Service))
}

// SoleVersionReply has the version that a service has had alone. Neither Sole nor Several is set
// if the control host does not know, since it has not been up for long enough.
type SoleVersionReply struct {
	Sole    bool            `json:",omitempty"`
	Several bool            `json:",omitempty"`
	Version SoftwareVersion `json:",omitempty"`
}

// Check implements Checker.
func (r *SoleVersionReply) Check() error {
	if r.Sole && r.Several {
		return errors.New("Sole and Several exclude each other")
	}
	return nil
}

// StreamOrigins finds out which software began a stream, at any router.
type StreamOrigins interface {
	// Share makes the origin of a stream that this router has begun known to the other
	// routers. It does not block.
	Share(StreamOrigin)
	// Find returns the origin of a stream. ok is false if no process that this router reaches
	// has it.
	Find(ctx context.Context, stream RequestID) (o StreamOrigin, ok bool)
	// SoleVersion returns the software version of all targets that a service has had for the given
	// time. ok is false if there were several, or no process that this router reaches knows.
	SoleVersion(ctx context.Context, service ServiceName, age time.Duration) (v SoftwareVersion, ok bool)
}
