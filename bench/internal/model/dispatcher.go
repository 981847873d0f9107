package model

import (
	"fmt"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/dispatch"
)

// dispatcher is the shell of one dispatch reducer.
type dispatcher struct {
	f           *Fleet
	index       int
	id          fleet.HostID
	reducer     fleet.Reducer
	up          bool
	epoch       fleet.Epoch
	predecessor bool
	leaseUntil  time.Time
	version     fleet.Version
}

func newDispatcher(f *Fleet, index int) *dispatcher {
	return &dispatcher{
		f: f, index: index, up: true, reducer: f.cfg.NewReducer(index),
		id: fleet.HostID(fmt.Sprintf("dispatcher-%d", index+1)),
	}
}

// run starts the periodic events. Dispatcher 0 holds the lease from the beginning,
// as do all when each router has one of its own.
func (d *dispatcher) run() {
	d.f.queue.After(0, func() {
		d.confirm()
		if d.index == 0 || d.f.cfg.PerRouter {
			d.activate(1, false)
		}
	})
	d.f.queue.Every(dispatch.TickInterval, func() { d.event(dispatch.Tick{}) })
	d.f.queue.Every(renewInterval, func() {
		if d.epoch > 0 {
			d.renew()
		}
	})
	// Processes ask control at different moments of the interval.
	offset := configInterval * time.Duration(d.index+1) / time.Duration(len(d.f.dispatchers)+1)
	d.f.queue.After(offset, func() {
		d.confirm()
		d.f.queue.Every(configInterval, d.confirm)
	})
}

func (d *dispatcher) activate(epoch fleet.Epoch, predecessor bool) {
	d.epoch, d.predecessor = epoch, predecessor
	d.renew()
}

func (d *dispatcher) renew() {
	if !d.up {
		return
	}
	d.leaseUntil = d.f.queue.Now().Add(fleet.ShortenLease(leaseDuration))
	d.event(dispatch.LeaseHeld{Epoch: d.epoch, NotAfter: d.leaseUntil, Predecessor: d.predecessor})
}

func (d *dispatcher) confirm() {
	d.version = d.f.config.Version
	d.event(dispatch.ConfigConfirmed{Config: d.f.config, NotAfter: d.f.queue.Now().Add(configValidity)})
}

// report takes a router's report.
func (d *dispatcher) report(r fleet.RouterReport) {
	if r.Version > d.version {
		d.version = r.Version
		d.f.queue.After(fetchDelay, d.confirm)
	}
	d.event(dispatch.ReportReceived{Report: r})
}

// event gives one event to the reducer and performs its effects.
func (d *dispatcher) event(ev fleet.Event) {
	if !d.up {
		return
	}
	now := d.f.queue.Now()
	if d.f.cfg.Event != nil {
		d.f.cfg.Event(d.index, now, ev)
	}
	for _, effect := range d.reducer.Reduce(now, ev) {
		send, ok := effect.(dispatch.SendGrants)
		if !ok {
			continue
		}
		if now.After(send.Until) {
			d.event(fleet.Expired{Effect: send})
			continue
		}
		d.send(send)
	}
}

func (d *dispatcher) send(s dispatch.SendGrants) {
	for _, r := range d.f.routers {
		if r.id == s.To {
			d.f.queue.After(d.f.delay(), func() { r.links[d.linkIndex()].grants(&s.Message) })
			return
		}
	}
}

func (d *dispatcher) linkIndex() int {
	if d.f.cfg.PerRouter {
		return 0
	}
	return d.index
}

// delay returns the one-way delay between a router and a dispatcher.
func (f *Fleet) delay() time.Duration {
	if f.cfg.PerRouter {
		return 0
	}
	return f.cfg.Trace.OneWay
}
