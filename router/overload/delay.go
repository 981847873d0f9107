package overload

import (
	"runtime/metrics"
	"slices"
	"time"
)

// schedulingLatencies is the runtime's histogram of the times, in seconds, for which goroutines
// were ready to run before they ran.
const schedulingLatencies = "/sched/latencies:seconds"

// delayQuantile is the quantile of the scheduling latencies that a DelayMeter returns.
const delayQuantile = 0.9

// DelayMeter measures how long goroutines wait for the processor. The zero value is ready for
// use. It is not safe for concurrent use.
type DelayMeter struct {
	// seen has the counts of the histogram at the last call.
	seen []uint64
}

// Measure returns the 90th percentile of the scheduling latencies since the last call, or 0 if
// there were none. It is rounded up to the runtime's buckets.
func (m *DelayMeter) Measure() time.Duration {
	sample := []metrics.Sample{{Name: schedulingLatencies}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := sample[0].Value.Float64Histogram()
	counts := slices.Clone(h.Counts)
	if len(m.seen) == len(counts) {
		for i, n := range m.seen {
			counts[i] -= n
		}
	}
	m.seen = h.Counts
	return quantile(counts, h.Buckets, delayQuantile)
}

// quantile returns a quantile of a histogram, as the upper bound of its bucket. bounds has the
// bounds of the buckets in seconds; the outermost ones may be infinite.
func quantile(counts []uint64, bounds []float64, q float64) time.Duration {
	total := uint64(0)
	for _, n := range counts {
		total += n
	}
	if total == 0 {
		return 0
	}
	rank := uint64(q * float64(total))
	sum := uint64(0)
	for i, n := range counts {
		sum += n
		if sum > rank {
			return time.Duration(min(bounds[i+1], maxDelaySeconds) * float64(time.Second))
		}
	}
	return 0
}

// maxDelaySeconds replaces the bound of the histogram's last bucket.
const maxDelaySeconds = 1000.0
