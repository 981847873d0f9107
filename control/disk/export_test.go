package disk

// Frame encodes records as one frame; Parse decodes the frames of a file.
var (
	Frame = func(records [][]byte) ([]byte, error) { return appendFrame(nil, records) }
	Parse = parseFrames
)
