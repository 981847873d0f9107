package experiment

import (
	"fmt"
	"net/netip"
	"runtime"
	"time"

	"github.com/fuchsiashed/fuchsiashed/bench/internal/figures"
	"github.com/fuchsiashed/fuchsiashed/bench/internal/virtual"
	"github.com/fuchsiashed/fuchsiashed/bench/internal/workload"
	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/dispatch"
)

// holding is what a dispatcher holds in one measurement of memory.
type holding struct {
	routers, targets, customers, waiting, running int
}

// memory measures what the dispatcher holds for each router, target, customer,
// waiting ticket and running request.
func memory(p *figures.Printer) error {
	base := holding{routers: 90, targets: 625, customers: 250, waiting: 5000, running: 5000}
	baseBytes := heapOf(base)
	p.Print("Memory.Dispatcher.Base", float64(baseBytes), "bytes")
	more := func(name string, n int, change func(h *holding)) {
		h := base
		change(&h)
		p.Print("Memory.Dispatcher.Per"+name, float64(heapOf(h)-baseBytes)/float64(n), "bytes")
	}
	more("Router", 270, func(h *holding) { h.routers += 270 })
	more("Target", 1875, func(h *holding) { h.targets += 1875 })
	more("Customer", 1000, func(h *holding) { h.customers += 1000 })
	more("WaitingTicket", 50000, func(h *holding) { h.waiting += 50000 })
	more("RunningRequest", 50000, func(h *holding) { h.running += 50000 })
	return nil
}

// heapOf returns the live heap of a dispatcher that holds h.
func heapOf(h holding) int64 {
	before := heapBytes()
	reducer := h.reducer()
	after := heapBytes()
	runtime.KeepAlive(reducer)
	return after - before
}

// reducer makes a dispatcher that holds h.
func (h holding) reducer() *dispatch.Reducer {
	reducer := dispatch.New(dispatch.Config{Host: "dispatcher-1", StandingGrants: true})
	now := virtual.Start
	f := workload.Sized(seed, workload.Size{Routers: h.routers, Targets: 1, Customers: h.customers, Slots: 1, Cost: 400}).Fleet
	reducer.Reduce(now, dispatch.ConfigConfirmed{
		Config: fleet.Confirmed{Version: 1, Hash: "1", Fleet: f}, NotAfter: now.Add(time.Minute),
	})
	reducer.Reduce(now, dispatch.LeaseHeld{Epoch: 1, NotAfter: now.Add(time.Minute)})
	for i := range h.routers {
		reducer.Reduce(now, dispatch.ReportReceived{Report: h.report(i)})
	}
	return reducer
}

// report makes the full report of the router with the given index.
func (h holding) report(i int) fleet.RouterReport {
	r := fleet.RouterReport{
		Router: fleet.HostID(fmt.Sprintf("router-%d", i+1)), Incarnation: 1, DataCentre: "dc-1",
		Sequence: 1, Epoch: 1, Version: 1, Full: true,
	}
	for k := i; k < h.targets; k += h.routers {
		r.Targets = append(r.Targets, h.announcement(k))
	}
	for k := i; k < h.waiting; k += h.routers {
		r.Tickets = append(r.Tickets, h.ticket(k, "w"))
	}
	for k := i; k < h.running; k += h.routers {
		r.Running = append(r.Running, fleet.RunningAttempt{
			Grant: grantID(k), Epoch: 1, Ticket: h.ticket(k, "r"),
			Target: h.announcement(k % h.targets).Target, Incarnation: 1, Spent: 200,
		})
	}
	return r
}

func (h holding) announcement(k int) fleet.Announcement {
	return fleet.Announcement{
		Target: fleet.TargetID(fmt.Sprintf("model-%d", k+1)), Incarnation: 1, Sequence: 1, Service: "model",
		DataCentre: "dc-1", Address: netip.MustParseAddrPort("127.0.0.1:9000"), Slots: 256, State: fleet.TargetServing,
	}
}

func (h holding) ticket(k int, kind string) fleet.Ticket {
	return fleet.Ticket{
		ID: fleet.TicketID(fmt.Sprintf("%s-%016x.1", kind, k)), Request: fleet.RequestID(fmt.Sprintf("%s-%016x", kind, k)),
		Customer: fleet.CustomerName(fmt.Sprintf("customer-%03d", k%h.customers+1)), Service: "model", DataCentre: "dc-1",
		Hint: 400, Prefix: fleet.PrefixHash(k), Content: fleet.ContentHash(fmt.Sprintf("%064x", k)),
		Attempt: 1, Waited: time.Millisecond, Patience: time.Minute,
	}
}
