package routing

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/eventlog"
)

var (
	testStart   = time.Unix(1_800_000_000, 0)
	testAddress = netip.MustParseAddrPort("10.0.0.1:80")
	testPeers   = []Peer{"dispatcher-1", "dispatcher-2"}
)

func testFleet() *fleet.Fleet {
	service := func(n fleet.ServiceName, p fleet.Protocol) fleet.Service {
		return fleet.Service{Name: n, Protocol: p, RequestTimeout: 20 * time.Second, IdleTimeout: time.Second, QueueTimeout: 5 * time.Second}
	}
	return &fleet.Fleet{
		DataCentres: []fleet.DataCentreName{"a", "b"},
		Services:    map[fleet.ServiceName]fleet.Service{"model": service("model", fleet.ProtocolModel), "plain": service("plain", fleet.ProtocolPlain)},
		Customers:   map[fleet.CustomerName]fleet.Customer{"x": {Name: "x"}, "y": {Name: "y"}},
		Policy: fleet.Policy{
			QueuePerCustomer: 8, QueuePerRouter: 12, QueueBytesPerRouter: 1 << 20,
			RetryBudgetPercent: 10, HostsValidity: time.Second,
		},
	}
}

func testConfig(v fleet.Version) fleet.Confirmed {
	return fleet.Confirmed{Version: v, Fleet: testFleet(), DataCentresOut: map[fleet.DataCentreName]bool{}}
}

// model drives a Router at random and checks everything that it does.
type model struct {
	t      *rapid.T
	r      *Router
	twin   *Router
	now    time.Time
	nextID int

	version fleet.Version
	epoch   fleet.Epoch
	// heard is the highest epoch that the router has heard of.
	heard    fleet.Epoch
	sentAt   map[Peer]map[fleet.Sequence]time.Time
	acked    map[Peer]fleet.Sequence
	requests map[fleet.RequestID]*modelRequest
	tickets  map[fleet.TicketID]fleet.RequestID
	// leases holds the end of every grant, as the model computes it.
	leases   map[fleet.GrantID]time.Time
	held     map[fleet.GrantID]bool
	returned map[fleet.GrantID]int
	// conserved is false once a report may have been lost.
	conserved bool
	releases  []ReleaseSend
	// log, when set, records the events, and effects what came of each.
	log       *eventlog.Writer
	effects   []string
	recording []fleet.RequestID
	retries   int
	successes int
	drained   int
}

type modelRequest struct {
	accepted RequestAccepted
	begin    *LedgerBegin
	granted  bool
	// sending is the command in hand; nil while none is.
	sending  *StartSend
	begun    bool
	answered bool
	wrote    bool
	ended    int
	ledgers  int
}

func newModel(t *rapid.T) *model {
	cfg := Config{Host: "router-1", Incarnation: 7, DataCentre: "a", Dispatchers: testPeers}
	return &model{
		t: t, r: New(cfg), twin: New(cfg), now: testStart, version: 1, epoch: 2, conserved: true,
		sentAt: map[Peer]map[fleet.Sequence]time.Time{}, acked: map[Peer]fleet.Sequence{},
		requests: map[fleet.RequestID]*modelRequest{}, tickets: map[fleet.TicketID]fleet.RequestID{},
		leases: map[fleet.GrantID]time.Time{}, held: map[fleet.GrantID]bool{}, returned: map[fleet.GrantID]int{},
	}
}

func (m *model) fail(format string, args ...any) { m.t.Helper(); m.t.Fatalf(format, args...) }

func (m *model) reduce(ev fleet.Event) {
	effects := m.r.Reduce(m.now, ev)
	if m.log != nil {
		if err := m.log.Write(m.now, ev); err != nil {
			m.fail("record event: %v", err)
		}
		m.effects = append(m.effects, encode(effects))
	}
	if again := m.twin.Reduce(m.now, ev); !reflect.DeepEqual(effects, again) {
		m.fail("event %#v had other effects the second time:\n%#v\n%#v", ev, effects, again)
	}
	for _, e := range effects {
		m.check(e)
	}
}

// encode renders effects, so that those of two runs can be compared.
func encode(effects []fleet.Effect) string {
	var b strings.Builder
	for _, e := range effects {
		raw, err := json.Marshal(e)
		if err != nil {
			return err.Error()
		}
		fmt.Fprintf(&b, "%s %s\n", e.EffectName(), raw)
	}
	return b.String()
}

func (m *model) check(e fleet.Effect) {
	switch e := e.(type) {
	case SendReport:
		m.checkReport(e)
	case StartSend:
		m.checkStart(e)
	case LedgerBegin:
		m.requests[e.Request].begin = &e
	case LedgerEnd:
		m.checkLedgerEnd(e)
		m.recording = append(m.recording, e.Request)
	case ReleaseSend:
		m.releases = append(m.releases, e)
	case AnswerFailure:
		q := m.requests[e.Request]
		if e.Failure.Verdict == fleet.NotRun && q.wrote {
			m.fail("request %s ends as not run after a byte was sent", e.Request)
		}
		m.end(e.Request)
	case AnswerRecorded:
		m.end(e.Request)
	case AnswerDone:
		m.end(e.Request)
	case Drained:
		m.drained++
		if open := m.sorted(func(q *modelRequest) bool { return q.ended == 0 }); len(open) > 0 {
			m.fail("the router is drained while %v are open", open)
		}
	case Decided:
		if e.Decision.Event == EventRetried && e.Decision.Reason != fleet.ReasonStaleGrant && e.Decision.Reason != fleet.ReasonSuspectWithdrawn {
			m.retries++
		}
	}
}

func (m *model) end(id fleet.RequestID) {
	q := m.requests[id]
	if q.ended++; q.ended > 1 {
		m.fail("request %s ends %d times", id, q.ended)
	}
	q.sending = nil
}

func (m *model) checkReport(e SendReport) {
	if m.sentAt[e.To] == nil {
		m.sentAt[e.To] = map[fleet.Sequence]time.Time{}
	}
	m.sentAt[e.To][e.Report.Sequence] = m.now
	for _, t := range e.Report.Tickets {
		m.tickets[t.ID] = t.Request
	}
	if e.To != testPeers[0] {
		return
	}
	for _, u := range e.Report.Standing {
		m.held[u.Running.Grant] = true
	}
	for _, end := range e.Report.Ended {
		m.returned[end.Grant]++
	}
}

func (m *model) checkStart(e StartSend) {
	q := m.requests[e.Request]
	until, known := m.leases[e.Grant]
	if !known {
		until, known = m.leases[standingOf(e.Grant)]
		m.held[e.Grant] = true
	}
	switch {
	case !known:
		m.fail("request %s is sent under grant %s, which nobody gave", e.Request, e.Grant)
	case !m.now.Before(until) || !e.Until.Equal(until):
		m.fail("grant %s holds until %s; it is used at %s until %s", e.Grant, until, m.now, e.Until)
	case q.ended > 0 || q.sending != nil:
		m.fail("request %s is sent twice at a time or after its end", e.Request)
	case q.answered:
		m.fail("request %s is sent again after a part of its answer was passed on", e.Request)
	case !q.accepted.Idempotent && (!q.granted || q.wrote):
		m.fail("request %s may run once and is sent again or without the ledger", e.Request)
	}
	q.sending, q.begun = &e, false
}

func standingOf(g fleet.GrantID) fleet.GrantID {
	for i := len(g) - 1; i >= 0; i-- {
		if g[i] == '/' {
			return g[:i]
		}
	}
	return ""
}

func (m *model) checkLedgerEnd(e LedgerEnd) {
	q := m.requests[e.Request]
	if q.ledgers++; q.ledgers > 1 {
		m.fail("the end of request %s is recorded twice", e.Request)
	}
	if e.End.Verdict == fleet.NotRun && q.wrote {
		m.fail("request %s is recorded as not run after a byte was sent", e.Request)
	}
	if e.End.By != q.begin.Begin.By {
		m.fail("request %s is ended by another attempt than it was begun by", e.Request)
	}
}

// settle stops the router and lets every deadline pass.
func (m *model) settle() {
	m.reduce(StopRequested{})
	if rapid.Bool().Draw(m.t, "forced") {
		for _, q := range m.requests {
			q.wrote = q.wrote || q.sending != nil
		}
		m.reduce(StopForced{})
	}
	for range 8 {
		m.now = m.now.Add(10 * time.Second)
		m.reduce(Tick{})
		for len(m.releases) > 0 {
			m.release()
		}
	}
	for id, q := range m.requests {
		if q.ended != 1 {
			m.fail("request %s has ended %d times after all deadlines", id, q.ended)
		}
	}
	if w := m.r.waiting; w.requests != 0 || w.bytes != 0 || len(w.perCustomer) != 0 || len(m.r.requests) != 0 {
		m.fail("%d requests of %d bytes still count as waiting", w.requests, w.bytes)
	}
	if m.drained != 1 {
		m.fail("the router was drained %d times", m.drained)
	}
	if limit := 10 + m.successes/10; m.retries > limit {
		m.fail("%d retries; the budget allows %d", m.retries, limit)
	}
	if !m.conserved {
		return
	}
	for g, heard := range m.held {
		if n := m.returned[g]; heard && n != 1 {
			m.fail("the end of grant %s was reported %d times", g, n)
		}
	}
}
