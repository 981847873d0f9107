package overload

const (
	// crowdShare is the fraction of new connections from which on a router that rejects them has a
	// crowd of callers, crowdRejections the least number of rejections in a sample.
	crowdShare, crowdRejections = 0.2, 10
	// crowdSamples is the number of samples in a row that make a crowd, 1.5 s: a shorter burst is
	// over before callers could move.
	crowdSamples = 3
)

// CrowdDetector finds out whether a router has more callers than it can serve, by the new
// connections that it rejects.
type CrowdDetector struct {
	samples int
}

// Update takes the numbers of connections that were accepted and rejected since the last sample, and
// reports whether the router has a crowd of callers.
func (d *CrowdDetector) Update(accepted, rejected int64) bool {
	if rejected >= crowdRejections && float64(rejected) >= crowdShare*float64(accepted+rejected) {
		d.samples++
	} else {
		d.samples = 0
	}
	return d.samples >= crowdSamples
}
