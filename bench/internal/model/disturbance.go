package model

import (
	"maps"
	"time"

	"github.com/fuchsiashed/fuchsiashed/bench/internal/engine"
	"github.com/fuchsiashed/fuchsiashed/bench/internal/workload"
	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// observationTime is how long the effect of a disturbance is observed.
const observationTime = 20 * time.Second

func (sim *Simulation) applyDisturbance(d workload.Disturbance) {
	switch d.Kind {
	case workload.DataCentreOut:
		sim.setDataCentre(fleet.DataCentreName(d.Subject), true)
		sim.recordLastStart(d, func(e *engine.Engine) bool { return string(e.Config().DataCentre) == d.Subject })
		sim.queue.After(drainTimeout, func() { sim.forEachEngineIn(d.Subject, (*engine.Engine).Stop) })
	case workload.DataCentreIn:
		sim.forEachEngineIn(d.Subject, (*engine.Engine).Start)
		sim.setDataCentre(fleet.DataCentreName(d.Subject), false)
	case workload.TargetLeaves:
		e := sim.engineByTarget[fleet.TargetID(d.Subject)]
		e.Leave()
		sim.recordLastStart(d, func(other *engine.Engine) bool { return other == e })
	case workload.TargetRestarts:
		e := sim.engineByTarget[fleet.TargetID(d.Subject)]
		e.Stop()
		sim.queue.After(engineRestartDelay, e.Start)
	case workload.TargetTurnsCold:
		sim.engineByTarget[fleet.TargetID(d.Subject)].TurnCold()
	case workload.DispatcherDies:
		sim.failOver(sim.dispatchers[0], sim.dispatchers[1])
	}
}

// forEachEngineIn applies a function to every engine in a data centre.
func (sim *Simulation) forEachEngineIn(name string, apply func(*engine.Engine)) {
	for _, e := range sim.engines {
		if string(e.Config().DataCentre) == name {
			apply(e)
		}
	}
}

// setDataCentre takes a data centre out of service or back in. Every process receives the
// change with its next request to control, or earlier if a peer sends the newer version.
func (sim *Simulation) setDataCentre(name fleet.DataCentreName, out bool) {
	config := sim.config
	config.Version++
	config.DataCentresOut = maps.Clone(config.DataCentresOut)
	delete(config.DataCentresOut, name)
	if out {
		config.DataCentresOut[name] = true
	}
	sim.config = config
}

// recordLastStart records, once observationTime has passed, how long after now the last job
// started on the affected engines, which should get no new work.
func (sim *Simulation) recordLastStart(d workload.Disturbance, affected func(*engine.Engine) bool) {
	began := sim.queue.Now()
	sim.queue.After(observationTime, func() {
		lastStart := time.Duration(0)
		for _, e := range sim.engines {
			if affected(e) && e.LastStart.After(began) {
				lastStart = max(lastStart, e.LastStart.Sub(began))
			}
		}
		sim.result.LastForbiddenStart[d.Kind] = max(sim.result.LastForbiddenStart[d.Kind], lastStart)
	})
}

// failOver kills the active dispatcher. The successor acquires the lease once it
// has expired.
func (sim *Simulation) failOver(failed, successor *dispatcher) {
	began := sim.queue.Now()
	failed.alive = false
	for _, r := range sim.routers {
		r.links[failed.index].connected = false
	}
	sim.meter.monitorStarts(began, observationTime)
	delay := failed.leaseValidUntil.Sub(began) + leaseAcquireDelay
	sim.queue.After(delay, func() { successor.activate(failed.epoch+1, true) })
}
