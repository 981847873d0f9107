package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

const (
	// paceValidity is the age from which on the fleet's pace is not used.
	paceValidity = 5 * time.Second
	// ownGain is the weight of one answer of this router in the slowness of a target whose pace is
	// known. A phase of 600 ms has one or two such answers.
	ownGain = 0.3
	// ownRetention is the time constant with which the slowness of a target returns to the pace
	// that the fleet measured.
	ownRetention = time.Second
)

// fleetPace is the pace of a target as all routers measured it; zero if it is unknown.
type fleetPace struct {
	// value is a multiple of the slowness of the service.
	value float64
	// age is that of the newest answer when the list was received.
	age time.Duration
}

func (p fleetPace) known() bool { return p.value > 0 }

// slowness combines the pace with what this router measured by itself, age ago.
func (p fleetPace) slowness(own float64, age time.Duration) float64 {
	return clampSlowness(p.value * math.Pow(own/p.value, math.Exp(-float64(age)/float64(ownRetention))))
}

// slownessGain returns the weight of one answer in the slowness of the target.
func (t *target) slownessGain() float64 {
	if t.pace.known() {
		return ownGain
	}
	return slownessGain
}

// paceState is what the router knows and reports of the pace of targets.
type paceState struct {
	// receivedAt is when the newest list was received; zero if none is in use.
	receivedAt time.Time
	// usual has the slowness of each service by the newest digest, the median of all routers.
	usual   map[fleet.ServiceName]float64
	samples map[fleet.TargetID]fleet.PaceSamples
}

// usesPace reports whether the fleet's pace is used for the targets of a service.
func (r *Router) usesPace(service fleet.ServiceName) bool {
	if r.config == nil || !r.cfg.Policy.TargetPace {
		return false
	}
	s := r.config.Service(service)
	return s != nil && s.Engine != nil
}

// addPaceSample records an answer, as a multiple of the rated time and of the slowness that all
// routers measured for the service. The learnt slowness of the target is no part of it, and so the
// pace has no influence on itself. The division keeps a target that has restarted, whose pace is
// unknown, equal to the others of a service that is slow or fast as a whole. A router that measures
// more than the others measures its own delay and reports none; a target that started lately
// processes parts that it is expected to keep.
func (r *Router) addPaceSample(k *call, measured float64) {
	t := k.current
	if !r.usesPace(k.service) || r.slownessState(k.service).trust < 1 || r.digestAge() > paceValidity {
		return
	}
	if t.incarnation != k.currentIncarnation || t.entry == nil || r.startedLately(t) {
		return
	}
	if usual := r.paces.usual[k.service]; usual > 0 {
		measured /= usual
	}
	s := r.paces.samples[t.id]
	if s.Incarnation != t.incarnation {
		s = fleet.PaceSamples{Target: t.id, Incarnation: t.incarnation}
	}
	s.Answers++
	s.LogSum += min(max(math.Log(measured), -fleet.MaxPaceSample), fleet.MaxPaceSample)
	if r.paces.samples == nil {
		r.paces.samples = map[fleet.TargetID]fleet.PaceSamples{}
	}
	r.paces.samples[t.id] = s
}

// takePaceSamples returns the answers since the last call.
func (r *Router) takePaceSamples() []fleet.PaceSamples {
	const digits = 1000
	var out []fleet.PaceSamples
	for _, s := range r.paces.samples {
		s.LogSum = math.Round(s.LogSum*digits) / digits
		out = append(out, s)
	}
	clear(r.paces.samples)
	slices.SortFunc(out, func(a, b fleet.PaceSamples) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// applyPaces replaces the slowness of services, and the pace of all targets if the digest has a list.
func (r *Router) applyPaces(d *fleet.LoadDigest) {
	if !r.cfg.Policy.TargetPace {
		return
	}
	r.paces.usual = make(map[fleet.ServiceName]float64, len(d.Slowness))
	for _, s := range d.Slowness {
		r.paces.usual[s.Service] = s.Slowness
	}
	if !d.PacesKnown {
		return
	}
	r.paces.receivedAt = r.now
	for _, t := range r.targets {
		t.pace = fleetPace{}
	}
	for _, p := range d.Paces {
		if t := r.targets[p.Target]; t != nil && t.entry != nil && t.incarnation == p.Incarnation && r.usesPace(t.entry.Service) {
			t.pace = fleetPace{value: p.Pace, age: p.Age}
		}
	}
}

// expirePaces drops the pace of all targets if the newest list is too old.
func (r *Router) expirePaces() {
	if r.paces.receivedAt.IsZero() || r.now.Sub(r.paces.receivedAt) <= paceValidity {
		return
	}
	r.paces.receivedAt = time.Time{}
	for _, t := range r.targets {
		t.pace = fleetPace{}
	}
}

// paceCost returns the additional cost in seconds of a target, given the rated time to process the
// own part of a request: of two idle owners, the faster one is better.
func (r *Router) paceCost(t *target, prefill float64) float64 {
	if r.paces.receivedAt.IsZero() || !r.usesPace(t.entry.Service) {
		return 0
	}
	return prefill * t.slownessAt(r.now)
}

// addPace records the fleet's pace of a target in the basis of a placement.
func (r *Router) addPace(t *target, basis *Basis) {
	if t.pace.known() {
		basis.Pace, basis.PaceAge = t.pace.value, t.pace.age+r.now.Sub(r.paces.receivedAt)
	}
}
