package disk

// Frame and Parse are the format of the file, for tests.
var (
	Frame = func(records [][]byte) ([]byte, error) { return appendFrame(nil, records) }
	Parse = parseFrames
)
