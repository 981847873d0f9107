package fleet

// StreamOrigin says which software began a stream. Only targets of the same service and
// software version can continue it.
type StreamOrigin struct {
	// Stream is the request whose response brought the first event.
	Stream  RequestID       `json:"R"`
	Service ServiceName     `json:"S"`
	Version SoftwareVersion `json:"V,omitempty"`
}
