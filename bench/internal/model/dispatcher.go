package model

import (
	"fmt"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/dispatch"
)

// dispatcher drives one dispatch reducer: it passes events to the reducer and sends the
// grants that the reducer returns.
type dispatcher struct {
	sim             *Simulation
	index           int
	id              fleet.HostID
	reducer         fleet.Reducer
	alive           bool
	epoch           fleet.Epoch
	hasPredecessor  bool
	leaseValidUntil time.Time
	configVersion   fleet.Version
}

func newDispatcher(sim *Simulation, index int) *dispatcher {
	return &dispatcher{
		sim: sim, index: index, alive: true, reducer: sim.cfg.NewReducer(index),
		id: fleet.HostID(fmt.Sprintf("dispatcher-%d", index+1)),
	}
}

// start schedules the periodic events. Dispatcher 0 holds the lease from the start. If
// each router has its own dispatcher, every dispatcher holds a lease from the start.
func (d *dispatcher) start() {
	d.sim.queue.After(0, func() {
		d.confirmConfig()
		if d.index == 0 || d.sim.cfg.DispatcherPerRouter {
			d.activate(1, false)
		}
	})
	d.sim.queue.Every(dispatch.TickInterval, func() { d.handleEvent(dispatch.Tick{}) })
	d.sim.queue.Every(leaseRenewInterval, func() {
		if d.epoch > 0 {
			d.renewLease()
		}
	})
	// Processes request the configuration at different times of the interval.
	offset := confirmInterval * time.Duration(d.index+1) / time.Duration(len(d.sim.dispatchers)+1)
	d.sim.queue.After(offset, func() {
		d.confirmConfig()
		d.sim.queue.Every(confirmInterval, d.confirmConfig)
	})
}

// activate makes the dispatcher the holder of the lease. hasPredecessor reports whether
// another dispatcher held the lease before.
func (d *dispatcher) activate(epoch fleet.Epoch, hasPredecessor bool) {
	d.epoch, d.hasPredecessor = epoch, hasPredecessor
	d.renewLease()
}

func (d *dispatcher) renewLease() {
	if !d.alive {
		return
	}
	d.leaseValidUntil = d.sim.queue.Now().Add(fleet.ShortenLease(leaseDuration))
	d.handleEvent(dispatch.LeaseHeld{Epoch: d.epoch, NotAfter: d.leaseValidUntil, Predecessor: d.hasPredecessor})
}

// confirmConfig gives the current configuration to the reducer.
func (d *dispatcher) confirmConfig() {
	d.configVersion = d.sim.config.Version
	d.handleEvent(dispatch.ConfigConfirmed{Config: d.sim.config, NotAfter: d.sim.queue.Now().Add(configValidity)})
}

// receiveReport handles a router's report. If the router has a newer configuration, the
// dispatcher fetches that configuration.
func (d *dispatcher) receiveReport(report fleet.RouterReport) {
	if report.Version > d.configVersion {
		d.configVersion = report.Version
		d.sim.queue.After(configFetchDelay, d.confirmConfig)
	}
	d.handleEvent(dispatch.ReportReceived{Report: report})
}

// handleEvent passes one event to the reducer and performs the effects.
func (d *dispatcher) handleEvent(ev fleet.Event) {
	if !d.alive {
		return
	}
	now := d.sim.queue.Now()
	if d.sim.cfg.OnEvent != nil {
		d.sim.cfg.OnEvent(d.index, now, ev)
	}
	for _, effect := range d.reducer.Reduce(now, ev) {
		grants, ok := effect.(dispatch.SendGrants)
		if !ok {
			continue
		}
		if now.After(grants.Until) {
			d.handleEvent(fleet.Expired{Effect: grants})
			continue
		}
		d.sendGrants(grants)
	}
}

func (d *dispatcher) sendGrants(grants dispatch.SendGrants) {
	for _, r := range d.sim.routers {
		if r.id == grants.To {
			d.sim.queue.After(d.sim.routerDispatcherDelay(), func() { r.links[d.linkIndex()].receiveGrants(&grants.Message) })
			return
		}
	}
}

// linkIndex returns the index of this dispatcher's link in the links of a router.
func (d *dispatcher) linkIndex() int {
	if d.sim.cfg.DispatcherPerRouter {
		return 0
	}
	return d.index
}

// routerDispatcherDelay returns the one-way network delay between a router and a dispatcher.
func (sim *Simulation) routerDispatcherDelay() time.Duration {
	if sim.cfg.DispatcherPerRouter {
		return 0
	}
	return sim.cfg.Trace.OneWayDelay
}
