package dispatch

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// benchFleet is a reducer under load: every router has tickets, every target is warm.
type benchFleet struct {
	r         *Reducer
	now       time.Time
	routers   int
	targets   int
	customers int
	sequence  []fleet.Sequence
	started   []fleet.Sequence
	open      [][]fleet.GrantEnd
	next      int
	bytes     int
	messages  int
	announce  int
}

func newBenchFleet(routers, targets, customers int) *benchFleet {
	f := &benchFleet{
		r: New(Config{Host: "dispatcher-1", StandingGrants: true}), now: start, routers: routers, targets: targets, customers: customers,
		sequence: make([]fleet.Sequence, routers), started: make([]fleet.Sequence, targets), open: make([][]fleet.GrantEnd, routers),
	}
	config := testFleet()
	for i := range customers {
		name := fleet.CustomerName(fmt.Sprintf("customer-%03d", i))
		config.Customers[name] = fleet.Customer{Name: name, Weight: 1}
	}
	f.send(ConfigConfirmed{Config: fleet.Confirmed{Version: 1, Fleet: config}, NotAfter: start.Add(24 * time.Hour)}, 0)
	f.send(LeaseHeld{Epoch: 1, NotAfter: start.Add(24 * time.Hour)}, 0)
	for i := range routers {
		f.report(i, fleet.RouterReport{Full: true})
	}
	for i := range targets {
		f.report(i%routers, fleet.RouterReport{Targets: []fleet.Announcement{f.announcement(i)}})
		t := f.r.targets[fleet.TargetID(fmt.Sprintf("target-%04d", i))]
		t.limiter.limit = 16
		f.r.refresh(t)
	}
	return f
}

func (f *benchFleet) announcement(i int) fleet.Announcement {
	f.started[i]++
	return fleet.Announcement{
		Target: fleet.TargetID(fmt.Sprintf("target-%04d", i)), Incarnation: 1, Sequence: f.started[i], Service: "drafter",
		DataCentre: []fleet.DataCentreName{"riga-a", "riga-b"}[i%2], Address: netip.MustParseAddrPort("10.0.0.1:9000"),
		Slots: 16, State: fleet.TargetServing,
	}
}

func (f *benchFleet) report(i int, m fleet.RouterReport) {
	f.sequence[i]++
	m.Router, m.Incarnation, m.DataCentre = fleet.HostID(fmt.Sprintf("router-%03d", i)), 1, []fleet.DataCentreName{"riga-a", "riga-b"}[i%2]
	m.Sequence, m.Epoch, m.Version = f.sequence[i], 1, 1
	f.send(ReportReceived{Report: m}, i)
}

// send applies an event and keeps the end of every granted attempt for the reports of its
// router.
func (f *benchFleet) send(ev fleet.Event, _ int) {
	for _, e := range f.r.Reduce(f.now, ev) {
		m, ok := e.(SendGrants)
		if !ok {
			continue
		}
		f.messages++
		var i int
		if _, err := fmt.Sscanf(string(m.To), "router-%d", &i); err != nil {
			panic(err)
		}
		for _, g := range m.Message.Grants {
			f.open[i] = append(f.open[i], fleet.GrantEnd{
				Grant: g.ID, Ticket: g.Ticket, Outcome: fleet.OutcomeCompleted, Spent: 100, FirstToken: 20 * time.Millisecond,
			})
		}
	}
}

// request submits one request through the next router, whose report also ends one attempt if
// it has any.
func (f *benchFleet) request() {
	i := f.next % f.routers
	f.next++
	m := fleet.RouterReport{Tickets: []fleet.Ticket{f.ticket(i)}}
	if len(f.open[i]) > 0 {
		m.Ended = f.open[i][:1:1]
		f.open[i] = f.open[i][1:]
	}
	f.report(i, m)
}

func (f *benchFleet) ticket(i int) fleet.Ticket {
	return fleet.Ticket{
		ID: fleet.TicketID(fmt.Sprintf("router-%03d-%08x.1", i, f.next)), Request: fleet.RequestID(fmt.Sprintf("router-%03d-%08x", i, f.next)),
		Customer: fleet.CustomerName(fmt.Sprintf("customer-%03d", f.next%f.customers)), Service: "drafter",
		DataCentre: []fleet.DataCentreName{"riga-a", "riga-b"}[i%2], Content: "0123456789abcdef0123456789abcdef", Attempt: 1, Patience: 30 * time.Second,
	}
}

// elapse advances the time by one TickInterval every 65 requests, as at 13,000 requests a
// second for 2,500 targets.
func (f *benchFleet) elapse(n int) {
	if n%65 != 0 {
		return
	}
	f.now = f.now.Add(TickInterval)
	f.send(Tick{}, 0)
	for range max(1, f.targets/100) {
		i := f.announce % f.targets
		f.announce++
		f.report(i%f.routers, fleet.RouterReport{Targets: []fleet.Announcement{f.announcement(i)}})
	}
}

func BenchmarkRequest(b *testing.B) {
	sizes := []struct{ routers, targets, customers int }{{8, 13, 16}, {60, 400, 64}, {360, 2500, 250}}
	for _, size := range sizes {
		b.Run(fmt.Sprintf("Routers=%d/Targets=%d/Customers=%d", size.routers, size.targets, size.customers), func(b *testing.B) {
			f := newBenchFleet(size.routers, size.targets, size.customers)
			for n := range 10 * size.targets {
				f.request()
				f.elapse(n)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				f.request()
				f.elapse(n)
			}
		})
	}
}

// BenchmarkIdleSecond simulates one second without requests: ticks, reports of all routers
// every 250 ms and announcements of all targets every 500 ms.
func BenchmarkIdleSecond(b *testing.B) {
	sizes := []struct{ routers, targets, customers int }{{8, 13, 16}, {360, 2500, 250}}
	for _, size := range sizes {
		b.Run(fmt.Sprintf("Routers=%d/Targets=%d", size.routers, size.targets), func(b *testing.B) {
			f := newBenchFleet(size.routers, size.targets, size.customers)
			b.ResetTimer()
			for range b.N {
				f.idleSecond()
			}
		})
	}
}

func (f *benchFleet) idleSecond() {
	for n := range int(time.Second / TickInterval) {
		f.now = f.now.Add(TickInterval)
		f.send(Tick{}, 0)
		if n%50 == 0 {
			for i := range f.routers {
				f.report(i, fleet.RouterReport{})
			}
		}
		if n%100 == 0 {
			for i := range f.targets {
				f.report(i%f.routers, fleet.RouterReport{Targets: []fleet.Announcement{f.announcement(i)}})
			}
		}
	}
}

// TestMessageSizes logs and bounds the size in bytes of a ticket, a grant and an end, each in
// a message of its own, without the framing of the connection.
func TestMessageSizes(t *testing.T) {
	f := newBenchFleet(8, 13, 16)
	size := func(v any) int {
		raw, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return len(raw)
	}
	envelope := fleet.RouterReport{Router: "router-001", Incarnation: 1764806400000000000, DataCentre: "riga-a", Sequence: 123456, Epoch: 12, Version: 1234}
	withTicket, withEnd := envelope, envelope
	withTicket.Tickets = []fleet.Ticket{f.ticket(1)}
	withEnd.Ended = []fleet.GrantEnd{{Grant: "12-abcde", Ticket: f.ticket(1).ID, Outcome: fleet.OutcomeCompleted, Spent: 500, FirstToken: 20 * time.Millisecond}}
	grants := fleet.DispatcherGrants{
		Dispatcher: "dispatcher-1", Epoch: 12, Version: 1234, Router: "router-001", RouterIncarnation: 1764806400000000000, Ack: 123456,
		Validity: GrantValidity,
	}
	answer := size(grants)
	grants.Grants = []fleet.Grant{{ID: "12-abcde", Ticket: f.ticket(1).ID, Target: "target-0001", Incarnation: 1764806400000000000, Address: netip.MustParseAddrPort("10.0.0.1:9000")}}
	ticket, grant, end, empty := size(withTicket), size(grants), size(withEnd), size(envelope)
	t.Logf("ticket %d, grant %d, end %d bytes; of these envelopes %d and %d", ticket, grant, end, empty, answer)
	if ticket+grant+end > 2000 {
		t.Fatalf("ticket, grant and end take %d bytes", ticket+grant+end)
	}
}
