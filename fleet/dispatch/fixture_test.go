package dispatch

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

var start = time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)

func testFleet() *fleet.Fleet {
	f := &fleet.Fleet{
		Region:      "lv-riga",
		DataCentres: []fleet.DataCentreName{"riga-a", "riga-b"},
		Services: map[fleet.ServiceName]fleet.Service{
			"drafter": {
				Name: "drafter", Protocol: fleet.ProtocolModel, MaxCost: 1000, RequestTimeout: 20 * time.Second,
				QueueTimeout: 30 * time.Second,
			},
			"permit-desk": {
				Name: "permit-desk", Protocol: fleet.ProtocolPlain, MaxCost: 500, RequestTimeout: 5 * time.Second,
				DependsOn: []fleet.ServiceName{"drafter"},
			},
		},
		Customers: map[fleet.CustomerName]fleet.Customer{},
		Policy: fleet.Policy{
			QueuePerRouter: 2048, QueuePerCustomer: 256, StandingSlots: 1, ReturnRamp: 10 * time.Second,
			QuarantineFor: 10 * time.Minute,
		},
	}
	for i := range 16 {
		name := fleet.CustomerName(fmt.Sprintf("c%02d", i))
		f.Customers[name] = fleet.Customer{Name: name, Weight: fleet.Weight(1 + i%2)}
	}
	return f
}

// fixture passes single events to a reducer and collects its messages.
type fixture struct {
	r         *Reducer
	now       time.Time
	config    fleet.Confirmed
	reports   map[fleet.HostID]fleet.Sequence
	announced map[fleet.TargetID]*fleet.Announcement
	// sent collects the messages since the last call of takeSent.
	sent []fleet.DispatcherGrants
}

func newFixture(cfg Config) *fixture {
	cfg.Host = "dispatcher-1"
	f := &fixture{
		r: New(cfg), now: start, reports: map[fleet.HostID]fleet.Sequence{}, announced: map[fleet.TargetID]*fleet.Announcement{},
		config: fleet.Confirmed{Version: 1, Fleet: testFleet(), DataCentresOut: map[fleet.DataCentreName]bool{}},
	}
	f.confirm()
	f.event(LeaseHeld{Epoch: 1, NotAfter: f.now.Add(time.Hour)})
	f.report("r1", fleet.RouterReport{})
	f.takeSent()
	return f
}

func (f *fixture) event(ev fleet.Event) {
	for _, e := range f.r.Reduce(f.now, ev) {
		if m, ok := e.(SendGrants); ok {
			f.sent = append(f.sent, m.Message)
		}
	}
}

func (f *fixture) confirm() {
	f.event(ConfigConfirmed{Config: f.config, NotAfter: f.now.Add(time.Hour)})
}

// advance advances the time in ticks of 50 ms, with reports from all routers every
// AnnounceInterval.
func (f *fixture) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(50 * time.Millisecond)
		f.event(Tick{})
		if f.now.Sub(start)%fleet.AnnounceInterval == 0 {
			f.heartbeat()
		}
	}
}

// heartbeat sends a report from every known router; r1 relays all announcements.
func (f *fixture) heartbeat() {
	for _, o := range f.r.routerList {
		f.report(o.id, fleet.RouterReport{})
	}
}

// report sends the next report of a router; the first one is full.
func (f *fixture) report(host fleet.HostID, m fleet.RouterReport) {
	f.reports[host]++
	m.Router, m.Sequence, m.Epoch, m.Version = host, f.reports[host], 1, f.config.Version
	if m.Incarnation == 0 {
		m.Incarnation = 1
	}
	if m.DataCentre == "" {
		m.DataCentre = "riga-a"
	}
	m.Full = m.Full || f.reports[host] == 1
	if host == "r1" {
		m.Targets = append(m.Targets, f.announcements()...)
	}
	f.event(ReportReceived{Report: m})
}

func (f *fixture) announcements() []fleet.Announcement {
	list := []fleet.Announcement{}
	for _, t := range f.r.targetList {
		if a := f.announced[t.id]; a != nil {
			a.Sequence++
			list = append(list, *a)
		}
	}
	return list
}

// target makes a target announce itself through r1.
func (f *fixture) target(id fleet.TargetID, service fleet.ServiceName, dc fleet.DataCentreName, slots fleet.Slots) *fleet.Announcement {
	a := &fleet.Announcement{
		Target: id, Incarnation: 1, Sequence: 1, Service: service, DataCentre: dc, Slots: slots, State: fleet.TargetServing,
		Address: netip.MustParseAddrPort("127.0.0.1:9000"),
	}
	f.announced[id] = a
	f.report("r1", fleet.RouterReport{Targets: []fleet.Announcement{*a}})
	return a
}

func newTicket(id string, customer fleet.CustomerName) fleet.Ticket {
	return fleet.Ticket{
		ID: fleet.TicketID(id), Request: fleet.RequestID("q-" + id), Customer: customer, Service: "drafter",
		DataCentre: "riga-a", Content: fleet.ContentHash("h-" + id), Attempt: 1, Patience: 30 * time.Second,
	}
}

// takeSent returns the messages sent since the last call.
func (f *fixture) takeSent() []fleet.DispatcherGrants {
	sent := f.sent
	f.sent = nil
	return sent
}

func (f *fixture) grants() []fleet.Grant {
	var list []fleet.Grant
	for _, m := range f.takeSent() {
		list = append(list, m.Grants...)
	}
	return list
}

func (f *fixture) refusals() []fleet.TicketRefusal {
	var list []fleet.TicketRefusal
	for _, m := range f.takeSent() {
		list = append(list, m.Refusals...)
	}
	return list
}

func (f *fixture) end(host fleet.HostID, g fleet.Grant, o fleet.Outcome, spent fleet.Cost) {
	f.report(host, fleet.RouterReport{Ended: []fleet.GrantEnd{{
		Grant: g.ID, Ticket: g.Ticket, Outcome: o, Spent: spent, FirstToken: 20 * time.Millisecond,
	}}})
}
