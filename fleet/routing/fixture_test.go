package routing

import (
	"fmt"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// fixture is a Router that is connected to one dispatcher, and the effects of its last event.
type fixture struct {
	r          *Router
	now        time.Time
	grantCount int
	// lastEffects holds the effects of the last event.
	lastEffects []fleet.Effect
}

func newFixture() *fixture {
	b := &fixture{r: New(Config{Host: "router-1", Incarnation: 7, DataCentre: "a", Dispatchers: testPeers[:1]}), now: testStart}
	b.reduce(ConfigConfirmed{Config: testConfig(1), NotAfter: b.now.Add(time.Hour)})
	b.reduce(DispatcherUp{Peer: testPeers[0]})
	b.sendGrants()
	return b
}

func (b *fixture) reduce(ev fleet.Event) {
	b.lastEffects = b.r.Reduce(b.now, ev)
}

func (b *fixture) grantsMessage() fleet.DispatcherGrants {
	return fleet.DispatcherGrants{
		Dispatcher: "d", Epoch: 1, Version: 1, Router: "router-1", RouterIncarnation: 7,
		Ack: b.r.peers[0].sequence, Validity: time.Second,
	}
}

// sendGrants acknowledges the last report and grants the tickets.
func (b *fixture) sendGrants(tickets ...fleet.TicketID) {
	m := b.grantsMessage()
	for _, t := range tickets {
		b.grantCount++
		m.Grants = append(m.Grants, fleet.Grant{ID: fleet.GrantID(fmt.Sprint("g", b.grantCount)), Ticket: t, Target: "t", Address: testAddress})
	}
	b.reduce(GrantsReceived{Peer: testPeers[0], Message: m})
}

// accept has the router accept an idempotent request.
func (b *fixture) accept(id fleet.RequestID) {
	b.reduce(RequestAccepted{Request: id, Customer: "x", Service: "model", Idempotent: true, Content: "c", Random: uint64(b.grantCount)})
}

func (b *fixture) advance(d time.Duration) {
	b.now = b.now.Add(d)
	b.reduce(Tick{})
}

// findEffect returns the first effect of type T among those of the last event.
func findEffect[T fleet.Effect](b *fixture) (T, bool) {
	for _, e := range b.lastEffects {
		if e, ok := e.(T); ok {
			return e, true
		}
	}
	var none T
	return none, false
}

// lastReport returns the report among the effects of the last event.
func (b *fixture) lastReport() fleet.RouterReport {
	s, _ := findEffect[SendReport](b)
	return s.Report
}

// reports returns the reports to one dispatcher among the effects of the last event.
func (b *fixture) reports(to Peer) []fleet.RouterReport {
	var list []fleet.RouterReport
	for _, e := range b.lastEffects {
		if s, ok := e.(SendReport); ok && s.To == to {
			list = append(list, s.Report)
		}
	}
	return list
}
