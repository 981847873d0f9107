package placement

import (
	"maps"
	"math"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

const (
	// slowQuantile is the quantile of the times to the first byte from which on an attempt counts as
	// slow. If an answer after such a time would be late, it is the time that still lets another target
	// answer by the route's goal, but not below minSlowQuantile: of a service whose targets are all slow,
	// most attempts would count as slow.
	slowQuantile, minSlowQuantile = 0.95, 0.8
	// minSlowTime is the shortest time after which an attempt counts as slow: a new connection and the
	// shortest answers take about as long.
	minSlowTime = minRetryTime
	// slowGoalShare is the fraction of a route's goal after which an attempt counts as slow while too
	// few times are known. An answer that has not begun by then can still be replaced in time.
	slowGoalShare = 0.5
	// routeTimesRetention and serviceTimesRetention are the time constants with which the times of a
	// route and of all routes to a service are forgotten. A router with one request a second has about
	// 30 of a route.
	routeTimesRetention, serviceTimesRetention = 30 * time.Second, time.Minute
	// presentTimesRetention is the time constant of those that show how fast a service is now. It is
	// long compared to the 600 ms for which a single target is slow.
	presentTimesRetention = 5 * time.Second
	// minQuantileTimes, minPresentTimes and minTailTimes are the numbers of times from which on they
	// give a high quantile, a median, and the mean of what is left after a long wait.
	minQuantileTimes, minPresentTimes, minTailTimes = 20, 5, 2
	// maxMedianRise is the ratio of the present median of a service to its usual one above which the
	// service counts as overloaded.
	maxMedianRise = 1.5
)

// The buckets of a timeDistribution have bounds that grow by the factor 2^(1/bucketsPerDoubling), from
// shortestTime to about 65 s.
const (
	shortestTime       = time.Millisecond
	bucketsPerDoubling = 8
	timeBuckets        = 16 * bucketsPerDoubling
)

// timeDistribution is a distribution of times that are forgotten exponentially.
type timeDistribution struct {
	retention time.Duration
	weights   [timeBuckets]float64
	total     float64
	// decayedAt is the time that weights and total refer to, newestAt that of the newest entry.
	decayedAt, newestAt time.Time
}

func bucketOf(d time.Duration) int {
	n := int(bucketsPerDoubling * math.Log2(float64(max(d, shortestTime))/float64(shortestTime)))
	return min(n, timeBuckets-1)
}

// bucketEnd returns the upper bound of a bucket.
func bucketEnd(i int) time.Duration {
	return time.Duration(float64(shortestTime) * math.Exp2(float64(i+1)/bucketsPerDoubling))
}

// remainder returns the fraction of the weight at decayedAt that is left now.
func (d *timeDistribution) remainder(now time.Time) float64 {
	return math.Exp(-float64(max(now.Sub(d.decayedAt), 0)) / float64(d.retention))
}

// weight returns the number of times that are not forgotten. It is 0 for a nil distribution.
func (d *timeDistribution) weight(now time.Time) float64 {
	if d == nil {
		return 0
	}
	return d.total * d.remainder(now)
}

func (d *timeDistribution) add(now time.Time, t time.Duration) {
	f := d.remainder(now)
	for i := range d.weights {
		d.weights[i] *= f
	}
	d.weights[bucketOf(t)]++
	d.total = d.total*f + 1
	d.decayedAt, d.newestAt = now, now
}

// quantile returns the time below which the fraction q of the times after the given bucket is; -1
// stands for all buckets.
func (d *timeDistribution) quantile(q float64, after int) time.Duration {
	want := q * d.weightAfter(after)
	for i := after + 1; i < timeBuckets; i++ {
		if want -= d.weights[i]; want <= 0 {
			return bucketEnd(i)
		}
	}
	return bucketEnd(timeBuckets - 1)
}

// weightAfter returns the weight of the buckets after the given one, at decayedAt.
func (d *timeDistribution) weightAfter(bucket int) float64 {
	sum := 0.0
	for _, w := range d.weights[bucket+1:] {
		sum += w
	}
	return sum
}

func (d *timeDistribution) median() time.Duration { return d.quantile(0.5, -1) }

// remaining returns the time that an attempt will probably take which has had no answer for the given
// time: the median of the longer ones. Without such, it will probably take as long again.
func (d *timeDistribution) remaining(now time.Time, waited time.Duration) time.Duration {
	bucket := bucketOf(waited)
	if d == nil || d.weightAfter(bucket)*d.remainder(now) < minTailTimes {
		return waited
	}
	return d.quantile(0.5, bucket) - waited
}

// firstByteTimes has the times from the write of requests without a prompt to the first bytes of their
// answers, at this router.
type firstByteTimes struct {
	routes   map[string]*timeDistribution
	services map[fleet.ServiceName]*serviceTimes
}

// serviceTimes has the times of all routes to a service: the usual ones, and those of the last seconds.
type serviceTimes struct {
	usual, present timeDistribution
}

func newFirstByteTimes() firstByteTimes {
	return firstByteTimes{routes: map[string]*timeDistribution{}, services: map[fleet.ServiceName]*serviceTimes{}}
}

func (f *firstByteTimes) add(now time.Time, k *call, t time.Duration) {
	route := f.routes[k.Route.Name]
	if route == nil {
		route = &timeDistribution{retention: routeTimesRetention}
		f.routes[k.Route.Name] = route
	}
	service := f.services[k.service]
	if service == nil {
		service = &serviceTimes{
			usual:   timeDistribution{retention: serviceTimesRetention},
			present: timeDistribution{retention: presentTimesRetention},
		}
		f.services[k.service] = service
	}
	for _, d := range []*timeDistribution{route, &service.usual, &service.present} {
		d.add(now, t)
	}
}

// prune removes what is forgotten.
func (f *firstByteTimes) prune(now time.Time) {
	const forgotten = 0.01
	maps.DeleteFunc(f.routes, func(_ string, d *timeDistribution) bool { return d.weight(now) < forgotten })
	maps.DeleteFunc(f.services, func(_ fleet.ServiceName, s *serviceTimes) bool { return s.usual.weight(now) < forgotten })
}

// SlowTimeSource names what a SlowTime was derived from.
type SlowTimeSource string

// The sources of a SlowTime.
const (
	SlowTimeOfRoute   SlowTimeSource = "Route"
	SlowTimeOfService SlowTimeSource = "Service"
	SlowTimeOfGoal    SlowTimeSource = "Goal"
)

// SlowTime is the time without an answer after which an attempt counts as slow.
type SlowTime struct {
	// After is 0 if too little is known.
	After  time.Duration
	Source SlowTimeSource
	// Age is that of the newest time that After was derived from; 0 for SlowTimeOfGoal.
	Age time.Duration
}

// slowTime returns the time after which an attempt of a call counts as slow. Few routers have enough
// answers of one route. Until then, those of all routes to the service count, and at first the route's
// goal; but it is no shorter than the few times of the route show.
func (f *firstByteTimes) slowTime(now time.Time, k *call) SlowTime {
	var out SlowTime
	var shortest time.Duration
	route, service := f.routes[k.Route.Name], f.services[k.service]
	switch {
	case route.weight(now) >= minQuantileTimes:
		out = SlowTime{After: route.quantile(slowQuantile, -1), Source: SlowTimeOfRoute, Age: now.Sub(route.newestAt)}
	case service != nil && service.usual.weight(now) >= minQuantileTimes:
		out = SlowTime{After: service.usual.quantile(slowQuantile, -1), Source: SlowTimeOfService, Age: now.Sub(service.usual.newestAt)}
		shortest = service.usual.quantile(minSlowQuantile, -1)
	case k.Route.Goal > 0:
		out = SlowTime{After: seconds(k.Route.Goal.Seconds() * slowGoalShare), Source: SlowTimeOfGoal}
	default:
		return SlowTime{}
	}
	if route != nil {
		shortest = max(shortest, route.quantile(minSlowQuantile, -1))
	}
	if k.Route.Goal > 0 {
		out.After = min(out.After, k.Route.Goal-f.typical(now, k))
	}
	out.After = max(out.After, shortest, minSlowTime)
	return out
}

// typical returns the time that a healthy target will probably take for a call.
func (f *firstByteTimes) typical(now time.Time, k *call) time.Duration {
	if route := f.routes[k.Route.Name]; route != nil {
		return route.median()
	}
	if s := f.services[k.service]; s != nil && s.usual.weight(now) >= minPresentTimes {
		return s.usual.median()
	}
	return baseFirstByteTime
}

// remaining returns the time that a slow attempt of a call will probably still take.
func (f *firstByteTimes) remaining(now time.Time, k *call, waited time.Duration) time.Duration {
	switch k.slow.Source {
	case SlowTimeOfRoute:
		return f.routes[k.Route.Name].remaining(now, waited)
	case SlowTimeOfService:
		if s := f.services[k.service]; s != nil {
			return s.usual.remaining(now, waited)
		}
	}
	return waited
}

// hasRisen reports whether a service takes much longer than usual.
func (f *firstByteTimes) hasRisen(now time.Time, service fleet.ServiceName) bool {
	s := f.services[service]
	if s == nil || s.present.weight(now) < minPresentTimes || s.usual.weight(now) < minQuantileTimes {
		return false
	}
	return float64(s.present.median()) > maxMedianRise*float64(s.usual.median())
}
