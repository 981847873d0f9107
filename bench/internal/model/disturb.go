package model

import (
	"maps"
	"time"

	"github.com/fuchsiashed/fuchsiashed/bench/internal/engine"
	"github.com/fuchsiashed/fuchsiashed/bench/internal/workload"
	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// settleTime is how long after a disturbance its effect is looked at.
const settleTime = 20 * time.Second

func (f *Fleet) disturb(d workload.Disturbance) {
	switch d.Kind {
	case workload.DataCentreOut:
		f.setDataCentre(fleet.DataCentreName(d.Subject), true)
		f.watchNoNewWork(d, func(e *engine.Engine) bool { return string(e.Config().DataCentre) == d.Subject })
		f.queue.After(drainLimit, func() { f.inDataCentre(d.Subject, (*engine.Engine).Stop) })
	case workload.DataCentreIn:
		f.inDataCentre(d.Subject, (*engine.Engine).Start)
		f.setDataCentre(fleet.DataCentreName(d.Subject), false)
	case workload.TargetLeaves:
		e := f.byTarget[fleet.TargetID(d.Subject)]
		e.Leave()
		f.watchNoNewWork(d, func(other *engine.Engine) bool { return other == e })
	case workload.TargetRestarts:
		e := f.byTarget[fleet.TargetID(d.Subject)]
		e.Stop()
		f.queue.After(engineRestart, e.Start)
	case workload.TargetTurnsCold:
		f.byTarget[fleet.TargetID(d.Subject)].TurnCold()
	case workload.DispatcherDies:
		f.takeOver(f.dispatchers[0], f.dispatchers[1])
	}
}

func (f *Fleet) inDataCentre(name string, act func(*engine.Engine)) {
	for _, e := range f.engines {
		if string(e.Config().DataCentre) == name {
			act(e)
		}
	}
}

// setDataCentre accepts a change of configuration; every process learns of it when
// it next asks control, or from a peer that knows it.
func (f *Fleet) setDataCentre(name fleet.DataCentreName, out bool) {
	next := f.config
	next.Version++
	next.DataCentresOut = maps.Clone(next.DataCentresOut)
	delete(next.DataCentresOut, name)
	if out {
		next.DataCentresOut[name] = true
	}
	f.config = next
}

// watchNoNewWork records when the last job started on the targets after now.
func (f *Fleet) watchNoNewWork(d workload.Disturbance, concerns func(*engine.Engine) bool) {
	began := f.queue.Now()
	f.queue.After(settleTime, func() {
		last := time.Duration(0)
		for _, e := range f.engines {
			if concerns(e) && e.LastStart.After(began) {
				last = max(last, e.LastStart.Sub(began))
			}
		}
		f.result.NoNewWork[d.Kind] = max(f.result.NoNewWork[d.Kind], last)
	})
}

// takeOver kills the active dispatcher. The successor gets the lease when it has lapsed.
func (f *Fleet) takeOver(dead, successor *dispatcher) {
	began := f.queue.Now()
	dead.up = false
	for _, r := range f.routers {
		r.links[dead.index].connected = false
	}
	f.meter.watchStarts(began, settleTime)
	lapse := dead.leaseUntil.Sub(began) + electDelay
	f.queue.After(lapse, func() { successor.activate(dead.epoch+1, true) })
}
