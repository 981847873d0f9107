package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

const (
	// slownessGain is the weight of one answer in the slowness of its target,
	// serviceSlownessGain in that of its service. The latter is lower since the answers of
	// all targets of the service count.
	slownessGain, serviceSlownessGain = 0.1, 0.02
	// minSlowness and maxSlowness bound the slowness of targets and services.
	minSlowness, maxSlowness = 0.3, 10.0
	// minSample and maxSample bound the slowness computed from one answer.
	minSample, maxSample = 0.25, 4.0
	// slownessRetention is the time constant with which the slowness of a target that gives no
	// answers returns to 1.
	slownessRetention = 10 * time.Second
	// maxOverFleet bounds the slowness that a router assumes for a service, as a multiple of
	// the median of all routers. A router above it measures its own delay.
	maxOverFleet = 1.5
	// slownessValidity is the time from the last answer in which the slowness of a service is
	// reported.
	slownessValidity = 5 * time.Second
)

// serviceSlowness is the time to the first byte of a service's answers, as a multiple of the
// time expected from its configured capacity.
type serviceSlowness struct {
	// average is the moving average over the answers of all targets.
	average float64
	// trust is the factor by which this router's measurements are reduced because they are far
	// above those of the other routers.
	trust float64
}

// slownessState returns the state of a service's slowness.
func (r *Router) slownessState(service fleet.ServiceName) *serviceSlowness {
	s := r.serviceSlowness[service]
	if s == nil {
		s = &serviceSlowness{average: 1, trust: 1}
		r.serviceSlowness[service] = s
	}
	return s
}

// slownessOf returns the slowness to assume for a service.
func (r *Router) slownessOf(service fleet.ServiceName) float64 {
	s := r.slownessState(service)
	return s.average * s.trust
}

// updateSlowness adjusts the slowness of a call's target and service by the time to the first
// byte. It compares the measured slowness with the present one rather than that at the time of
// sending: of many calls that are under way at once, each would add the same correction again.
func (r *Router) updateSlowness(k *call) {
	if k.prefillTokens == 0 || k.expectedFirstByte <= baseFirstByteTime {
		return
	}
	actual := r.now.Sub(k.sentAt) - baseFirstByteTime
	sample := float64(actual) / float64(k.expectedFirstByte-baseFirstByteTime) * k.trust
	measured := min(max(sample, minSample), maxSample) * k.assumedSlowness
	t, s := k.current, r.slownessState(k.service)
	present := t.slownessAt(r.now)
	correction := measured / (present * s.average)
	r.addPaceSample(k, measured)
	t.slowness, t.slownessSampledAt = clampSlowness(present*math.Pow(correction, t.slownessGain())), r.now
	s.average = clampSlowness(s.average * math.Pow(correction, serviceSlownessGain))
}

// slownessAt returns the slowness of a target. Without answers it returns to 1, as a router that
// sends a target few requests would keep it for minutes after the target has recovered.
func (t *target) slownessAt(now time.Time) float64 {
	age := now.Sub(t.slownessSampledAt)
	if t.pace.known() {
		return t.pace.slowness(t.slowness, age)
	}
	return math.Pow(t.slowness, math.Exp(-float64(age)/float64(slownessRetention)))
}

func clampSlowness(slowness float64) float64 { return min(max(slowness, minSlowness), maxSlowness) }

// measuredSlowness returns what this router measured for each service in the last seconds: the
// service's average times the geometric mean of its targets' slowness.
func (r *Router) measuredSlowness() []fleet.ServiceSlowness {
	var out []fleet.ServiceSlowness
	for service, s := range r.serviceSlowness {
		logs, n := 0.0, 0
		for _, t := range r.services[service] {
			if r.now.Sub(t.answeredAt) < slownessValidity {
				logs += math.Log(t.slownessAt(r.now))
				n++
			}
		}
		if n > 0 {
			out = append(out, fleet.ServiceSlowness{Service: service, Slowness: s.average * math.Exp(logs/float64(n))})
		}
	}
	slices.SortFunc(out, func(a, b fleet.ServiceSlowness) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// applyFleetSlowness compares this router's measurements with the medians of all routers'.
func (r *Router) applyFleetSlowness(medians []fleet.ServiceSlowness) {
	for _, s := range r.serviceSlowness {
		s.trust = 1
	}
	for _, measured := range r.measuredSlowness() {
		for _, m := range medians {
			if m.Service == measured.Service && m.Slowness > 0 {
				r.slownessState(m.Service).trust = min(1, m.Slowness*maxOverFleet/measured.Slowness)
			}
		}
	}
}
