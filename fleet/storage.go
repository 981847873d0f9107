package fleet

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
