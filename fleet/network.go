package fleet

import "context"

// Caller sends requests and notifications to one peer process.
type Caller interface {
	// Call sends a request and decodes the result into reply.
	Call(ctx context.Context, method string, params, reply any) error
	// Notify sends a message that has no answer. It may be lost.
	Notify(ctx context.Context, method string, params any) error
}

// Storage is the durable log of a control replica. Nothing counts before Sync returns.
type Storage interface {
	// Append adds records; they may be lost until the next Sync.
	Append(records ...[]byte) error
	// Sync makes all appended records durable.
	Sync() error
	// Discard forgets the records appended since the last Sync, after an error.
	Discard()
	// Replace atomically exchanges everything stored for the given records, durably.
	Replace(records ...[]byte) error
	// Records returns all durable records in order.
	Records() ([][]byte, error)
	// Close releases the storage.
	Close() error
}
