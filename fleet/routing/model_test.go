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

// model drives a Router with random events and checks its effects.
type model struct {
	t *rapid.T
	r *Router
	// second gets the same events as r; its effects must be equal.
	second *Router
	now    time.Time
	nextID int

	version fleet.Version
	epoch   fleet.Epoch
	// seenEpoch is the highest epoch among the messages to this incarnation of the router.
	seenEpoch fleet.Epoch
	sentAt    map[Peer]map[fleet.Sequence]time.Time
	acked     map[Peer]fleet.Sequence
	requests  map[fleet.RequestID]*modelRequest
	tickets   map[fleet.TicketID]fleet.RequestID
	// grantExpiry holds the expiry of every valid grant, as the model computes it.
	grantExpiry map[fleet.GrantID]time.Time
	// receivedGrants records for each grant whether the router accepted its message; then its
	// end has to be reported once. reportedEnds counts the reports.
	receivedGrants map[fleet.GrantID]bool
	reportedEnds   map[fleet.GrantID]int
	// reportsComplete is false once a report may have been lost.
	reportsComplete bool
	pendingReleases []ReleaseSend
	// log, if set, records the events; effects then holds the encoded effects of each.
	log               *eventlog.Writer
	effects           []string
	pendingLedgerEnds []fleet.RequestID
	retries           int
	successes         int
	drainedCount      int
}

// modelRequest is the model's view of a request.
type modelRequest struct {
	accepted      RequestAccepted
	ledgerBegin   *LedgerBegin
	ledgerGranted bool
	// currentSend is the StartSend of the running attempt; nil if there is none.
	currentSend *StartSend
	// progressed is set once the attempt has reported progress, so its StartSend cannot expire
	// any more.
	progressed    bool
	answerStarted bool
	// bytesSent reports whether a byte of the request may have reached a target.
	bytesSent      bool
	endCount       int
	ledgerEndCount int
}

func newModel(t *rapid.T) *model {
	cfg := Config{Host: "router-1", Incarnation: 7, DataCentre: "a", Dispatchers: testPeers}
	return &model{
		t: t, r: New(cfg), second: New(cfg), now: testStart, version: 1, epoch: 2, reportsComplete: true,
		sentAt: map[Peer]map[fleet.Sequence]time.Time{}, acked: map[Peer]fleet.Sequence{},
		requests: map[fleet.RequestID]*modelRequest{}, tickets: map[fleet.TicketID]fleet.RequestID{},
		grantExpiry: map[fleet.GrantID]time.Time{}, receivedGrants: map[fleet.GrantID]bool{}, reportedEnds: map[fleet.GrantID]int{},
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
	if again := m.second.Reduce(m.now, ev); !reflect.DeepEqual(effects, again) {
		m.fail("event %#v has different effects in the second router:\n%#v\n%#v", ev, effects, again)
	}
	for _, e := range effects {
		m.check(e)
	}
}

// encode returns effects as text, to compare those of two runs.
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

// check checks an effect against the model and updates the model.
func (m *model) check(e fleet.Effect) {
	switch e := e.(type) {
	case SendReport:
		m.checkReport(e)
	case StartSend:
		m.checkStart(e)
	case LedgerBegin:
		m.requests[e.Request].ledgerBegin = &e
	case LedgerEnd:
		m.checkLedgerEnd(e)
		m.pendingLedgerEnds = append(m.pendingLedgerEnds, e.Request)
	case ReleaseSend:
		m.pendingReleases = append(m.pendingReleases, e)
	case AnswerFailure:
		q := m.requests[e.Request]
		if e.Failure.Verdict == fleet.NotRun && q.bytesSent {
			m.fail("request %s ends as not run after a byte was sent", e.Request)
		}
		m.endRequest(e.Request)
	case AnswerRecorded:
		m.endRequest(e.Request)
	case AnswerDone:
		m.endRequest(e.Request)
	case Drained:
		m.drainedCount++
		if open := m.requestIDs(func(q *modelRequest) bool { return q.endCount == 0 }); len(open) > 0 {
			m.fail("the router is drained while %v are open", open)
		}
	case Decided:
		if e.Decision.Event == EventRetried && e.Decision.Reason != fleet.ReasonStaleGrant && e.Decision.Reason != fleet.ReasonSuspectWithdrawn {
			m.retries++
		}
	}
}

// endRequest records the end of a request, which must be its only one.
func (m *model) endRequest(id fleet.RequestID) {
	q := m.requests[id]
	if q.endCount++; q.endCount > 1 {
		m.fail("request %s ends %d times", id, q.endCount)
	}
	q.currentSend = nil
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
		m.receivedGrants[u.Running.Grant] = true
	}
	for _, end := range e.Report.Ended {
		m.reportedEnds[end.Grant]++
	}
}

// checkStart checks that a request is sent under a valid grant, one attempt at a time, and that
// a call which may run once is sent once, with a grant of the ledger.
func (m *model) checkStart(e StartSend) {
	q := m.requests[e.Request]
	until, known := m.grantExpiry[e.Grant]
	if !known {
		until, known = m.grantExpiry[standingGrantOf(e.Grant)]
		m.receivedGrants[e.Grant] = true
	}
	switch {
	case !known:
		m.fail("request %s is sent under grant %s, which was never valid", e.Request, e.Grant)
	case !m.now.Before(until) || !e.Until.Equal(until):
		m.fail("grant %s expires at %s; it is used at %s with expiry %s", e.Grant, until, m.now, e.Until)
	case q.endCount > 0 || q.currentSend != nil:
		m.fail("request %s is sent during another attempt or after its end", e.Request)
	case q.answerStarted:
		m.fail("request %s is sent again after a part of its answer was passed on", e.Request)
	case !q.accepted.Idempotent && (!q.ledgerGranted || q.bytesSent):
		m.fail("request %s may run once; it is sent again or without a grant of the ledger", e.Request)
	}
	q.currentSend, q.progressed = &e, false
}

// standingGrantOf returns the standing grant of a grant id STANDING/NUMBER.
func standingGrantOf(g fleet.GrantID) fleet.GrantID {
	for i := len(g) - 1; i >= 0; i-- {
		if g[i] == '/' {
			return g[:i]
		}
	}
	return ""
}

func (m *model) checkLedgerEnd(e LedgerEnd) {
	q := m.requests[e.Request]
	if q.ledgerEndCount++; q.ledgerEndCount > 1 {
		m.fail("the end of request %s is recorded twice", e.Request)
	}
	if e.End.Verdict == fleet.NotRun && q.bytesSent {
		m.fail("request %s is recorded as not run after a byte was sent", e.Request)
	}
	if e.End.By != q.ledgerBegin.Begin.By {
		m.fail("request %s is ended in the ledger by another attempt id than it was begun with", e.Request)
	}
}

// shutDown stops the router, lets every deadline pass, and checks that every request ended
// once.
func (m *model) shutDown() {
	m.reduce(StopRequested{})
	if rapid.Bool().Draw(m.t, "forced") {
		for _, q := range m.requests {
			q.bytesSent = q.bytesSent || q.currentSend != nil
		}
		m.reduce(StopForced{})
	}
	for range 8 {
		m.now = m.now.Add(10 * time.Second)
		m.reduce(Tick{})
		for len(m.pendingReleases) > 0 {
			m.confirmRelease()
		}
	}
	for id, q := range m.requests {
		if q.endCount != 1 {
			m.fail("request %s has ended %d times after all deadlines", id, q.endCount)
		}
	}
	if w := m.r.waiting; w.requests != 0 || w.bytes != 0 || len(w.perCustomer) != 0 || len(m.r.requests) != 0 {
		m.fail("%d requests of %d bytes still count as waiting", w.requests, w.bytes)
	}
	if m.drainedCount != 1 {
		m.fail("the router was drained %d times", m.drainedCount)
	}
	if limit := 10 + m.successes/10; m.retries > limit {
		m.fail("%d retries; the budget allows %d", m.retries, limit)
	}
	if !m.reportsComplete {
		return
	}
	for g, accepted := range m.receivedGrants {
		if n := m.reportedEnds[g]; accepted && n != 1 {
			m.fail("the end of grant %s was reported %d times", g, n)
		}
	}
}
