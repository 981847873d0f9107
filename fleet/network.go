package fleet

import "context"

// Caller sends requests and notifications to one peer process.
type Caller interface {
	// Call sends a request, waits for its result and decodes it into reply.
	Call(ctx context.Context, method string, params, reply any) error
	// Notify sends a notification, which has no reply and may be lost.
	Notify(ctx context.Context, method string, params any) error
}

// Storage is the durable log of a control replica.
type Storage interface {
	// Append adds records, which may be lost until the next Sync returns.
	Append(records ...[]byte) error
	// Sync makes all appended records durable.
	Sync() error
	// Discard drops the records appended since the last Sync. It is called after an error.
	Discard()
	// Replace atomically and durably replaces the whole content with the given records.
	Replace(records ...[]byte) error
	// Records returns all durable records in order.
	Records() ([][]byte, error)
	// Close releases the storage.
	Close() error
}
