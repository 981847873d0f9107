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

// dispatcherState is the number of items of each kind in the state of a dispatcher. waiting
// counts tickets, running requests.
type dispatcherState struct {
	routers, targets, customers, waiting, running int
}

// measureMemory measures the memory of a dispatcher for each router, target, customer,
// waiting ticket and running request.
func measureMemory(p *figures.Printer) error {
	base := dispatcherState{routers: 90, targets: 625, customers: 250, waiting: 5000, running: 5000}
	baseBytes := dispatcherHeap(base)
	p.Print("Memory.Dispatcher.Base", float64(baseBytes), "bytes")
	printPerItem := func(name string, added int, enlarge func(s *dispatcherState)) {
		s := base
		enlarge(&s)
		p.Print("Memory.Dispatcher.Per"+name, float64(dispatcherHeap(s)-baseBytes)/float64(added), "bytes")
	}
	printPerItem("Router", 270, func(s *dispatcherState) { s.routers += 270 })
	printPerItem("Target", 1875, func(s *dispatcherState) { s.targets += 1875 })
	printPerItem("Customer", 1000, func(s *dispatcherState) { s.customers += 1000 })
	printPerItem("WaitingTicket", 50000, func(s *dispatcherState) { s.waiting += 50000 })
	printPerItem("RunningRequest", 50000, func(s *dispatcherState) { s.running += 50000 })
	return nil
}

// dispatcherHeap returns the live heap of a dispatcher with the state s, in bytes.
func dispatcherHeap(s dispatcherState) int64 {
	before := heapBytes()
	reducer := s.newReducer()
	after := heapBytes()
	runtime.KeepAlive(reducer)
	return after - before
}

// newReducer returns a dispatcher with the state s.
func (s dispatcherState) newReducer() *dispatch.Reducer {
	reducer := dispatch.New(dispatch.Config{Host: "dispatcher-1", StandingGrants: true})
	now := virtual.Start
	config := workload.Sized(traceSeed, workload.Size{Routers: s.routers, Targets: 1, Customers: s.customers, Slots: 1, MeanCost: 400}).Fleet
	reducer.Reduce(now, dispatch.ConfigConfirmed{
		Config: fleet.Confirmed{Version: 1, Hash: "1", Fleet: config}, NotAfter: now.Add(time.Minute),
	})
	reducer.Reduce(now, dispatch.LeaseHeld{Epoch: 1, NotAfter: now.Add(time.Minute)})
	for i := range s.routers {
		reducer.Reduce(now, dispatch.ReportReceived{Report: s.report(i)})
	}
	return reducer
}

// report returns the full report of the router with index i.
func (s dispatcherState) report(i int) fleet.RouterReport {
	report := fleet.RouterReport{
		Router: fleet.HostID(fmt.Sprintf("router-%d", i+1)), Incarnation: 1, DataCentre: "dc-1",
		Sequence: 1, Epoch: 1, Version: 1, Full: true,
	}
	for k := i; k < s.targets; k += s.routers {
		report.Targets = append(report.Targets, s.announcement(k))
	}
	for k := i; k < s.waiting; k += s.routers {
		report.Tickets = append(report.Tickets, s.ticket(k, "w"))
	}
	for k := i; k < s.running; k += s.routers {
		report.Running = append(report.Running, fleet.RunningAttempt{
			Grant: grantID(k), Epoch: 1, Ticket: s.ticket(k, "r"),
			Target: s.announcement(k % s.targets).Target, Incarnation: 1, Spent: 200,
		})
	}
	return report
}

func (s dispatcherState) announcement(k int) fleet.Announcement {
	return fleet.Announcement{
		Target: fleet.TargetID(fmt.Sprintf("model-%d", k+1)), Incarnation: 1, Sequence: 1, Service: "model",
		DataCentre: "dc-1", Address: netip.MustParseAddrPort("127.0.0.1:9000"), Slots: 256, State: fleet.TargetServing,
	}
}

func (s dispatcherState) ticket(k int, kind string) fleet.Ticket {
	return fleet.Ticket{
		ID: fleet.TicketID(fmt.Sprintf("%s-%016x.1", kind, k)), Request: fleet.RequestID(fmt.Sprintf("%s-%016x", kind, k)),
		Customer: fleet.CustomerName(fmt.Sprintf("customer-%03d", k%s.customers+1)), Service: "model", DataCentre: "dc-1",
		Hint: 400, Prefix: fleet.PrefixHash(k), Content: fleet.ContentHash(fmt.Sprintf("%064x", k)),
		Attempt: 1, Waited: time.Millisecond, Patience: time.Minute,
	}
}
