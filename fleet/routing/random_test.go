package routing

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"reflect"
	"sort"
	"strings"
	"testing"
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

// sorted returns the ids of requests that satisfy f.
func (m *model) sorted(f func(q *modelRequest) bool) []fleet.RequestID {
	var ids []fleet.RequestID
	for id, q := range m.requests {
		if f(q) {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

func (m *model) pick(f func(q *modelRequest) bool) (fleet.RequestID, *modelRequest) {
	ids := m.sorted(f)
	if len(ids) == 0 {
		return "", nil
	}
	id := rapid.SampledFrom(ids).Draw(m.t, "request")
	return id, m.requests[id]
}

func (m *model) accept() {
	m.nextID++
	ev := RequestAccepted{
		Request:    fleet.RequestID(fmt.Sprintf("r-%d", m.nextID)),
		Customer:   rapid.SampledFrom([]fleet.CustomerName{"x", "y"}).Draw(m.t, "customer"),
		Service:    rapid.SampledFrom([]fleet.ServiceName{"model", "plain"}).Draw(m.t, "service"),
		Idempotent: rapid.Bool().Draw(m.t, "idempotent"),
		Content:    "c", Bytes: 100, Random: rapid.Uint64().Draw(m.t, "random"),
	}
	if !ev.Idempotent {
		ev.Key = fleet.IdempotencyKey(ev.Request)
	}
	if rapid.IntRange(0, 3).Draw(m.t, "deadline") == 0 {
		ev.Deadline = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(m.t, "ms")) * time.Millisecond)
	}
	m.requests[ev.Request] = &modelRequest{accepted: ev}
	m.reduce(ev)
}

func (m *model) ledger() {
	if len(m.recording) > 0 && rapid.Bool().Draw(m.t, "recorded") {
		id := m.recording[0]
		m.recording = m.recording[1:]
		m.reduce(LedgerEnded{Request: id})
	}
	id, q := m.pick(func(q *modelRequest) bool { return q.begin != nil && !q.granted })
	if q == nil {
		return
	}
	ev := LedgerBegun{Request: id}
	ev.Reply.State = rapid.SampledFrom([]fleet.LedgerState{
		fleet.LedgerGranted, fleet.LedgerGranted, fleet.LedgerGranted, fleet.LedgerRunning, fleet.LedgerDone, fleet.LedgerMismatch, fleet.LedgerMayHaveRun,
	}).Draw(m.t, "state")
	ev.Failed = rapid.IntRange(0, 5).Draw(m.t, "failed") == 0
	if ev.Reply.State == fleet.LedgerDone {
		ev.Reply.Answer = &fleet.RecordedAnswer{Status: 200}
	}
	q.granted = !ev.Failed && ev.Reply.State == fleet.LedgerGranted
	m.reduce(ev)
}

// grants sends a message of a dispatcher, now and then an old or newer one.
func (m *model) grants() {
	peer := testPeers[0]
	newest := m.newestReport(peer)
	if newest == 0 {
		return
	}
	msg := fleet.DispatcherGrants{
		Dispatcher: "d", Epoch: m.epoch, Version: m.version, Router: "router-1", RouterIncarnation: 7,
		Ack: newest, Validity: time.Duration(rapid.IntRange(1, 3000).Draw(m.t, "validity")) * time.Millisecond,
	}
	switch rapid.IntRange(0, 9).Draw(m.t, "kind") {
	case 0:
		msg.Epoch = m.epoch - 1
	case 1:
		m.epoch++
		msg.Epoch = m.epoch
	case 2:
		msg.Version = m.version - 1
	case 3:
		msg.RouterIncarnation = 6
	case 4:
		msg.Ack = fleet.Sequence(rapid.IntRange(1, int(newest)+3).Draw(m.t, "ack"))
	case 5:
		msg.Resync = true
	}
	heard := msg.Epoch >= m.heard && msg.RouterIncarnation == 7
	if heard {
		m.heard = msg.Epoch
	}
	sent, known := m.sentAt[peer][msg.Ack]
	until := sent.Add(fleet.ShortenLease(msg.Validity))
	for _, id := range m.waitingTickets() {
		switch rapid.IntRange(0, 5).Draw(m.t, "give") {
		case 2:
			msg.Refusals = append(msg.Refusals, fleet.TicketRefusal{Ticket: id, Reason: fleet.ReasonNoTarget})
			continue
		case 3, 4, 5:
			continue
		}
		m.nextID++
		g := fleet.Grant{ID: fleet.GrantID(fmt.Sprintf("g-%d", m.nextID)), Ticket: id, Target: "t", Incarnation: 1, Address: testAddress}
		msg.Grants = append(msg.Grants, g)
		m.held[g.ID] = heard
		if known && heard && msg.Version >= m.version {
			m.leases[g.ID] = until
		}
	}
	m.addStanding(&msg, until, known && heard && msg.Version >= m.version)
	m.addCancel(&msg, heard)
	m.reduce(GrantsReceived{Peer: peer, Message: msg})
}

func (m *model) addStanding(msg *fleet.DispatcherGrants, until time.Time, valid bool) {
	if rapid.IntRange(0, 2).Draw(m.t, "standing") > 0 {
		return
	}
	msg.StandingSet = true
	id := fleet.GrantID(fmt.Sprintf("s-%d-%d", msg.Epoch, rapid.IntRange(1, 2).Draw(m.t, "standing id")))
	msg.Standing = []fleet.StandingGrant{{ID: id, Service: "plain", Target: "t", Incarnation: 1, Address: testAddress, Slots: 2}}
	if valid && m.now.Before(until) {
		m.leases[id] = until
	}
}

// addCancel withdraws a request from its target.
func (m *model) addCancel(msg *fleet.DispatcherGrants, heard bool) {
	if rapid.IntRange(0, 7).Draw(m.t, "cancel") > 0 {
		return
	}
	if _, q := m.pick(func(q *modelRequest) bool { return q.sending != nil }); q != nil {
		msg.Cancel = append(msg.Cancel, q.sending.Grant)
		q.wrote = q.wrote || heard
	}
}

func (m *model) newestReport(p Peer) fleet.Sequence {
	var newest fleet.Sequence
	for s := range m.sentAt[p] {
		newest = max(newest, s)
	}
	return newest
}

func (m *model) waitingTickets() []fleet.TicketID {
	var ids []fleet.TicketID
	for id := range m.tickets {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids[max(0, len(ids)-6):]
}

// attemptEnds ends an attempt, or tells of its progress.
func (m *model) attemptEnds() {
	id, q := m.pick(func(q *modelRequest) bool { return q.sending != nil })
	if q == nil {
		return
	}
	s := *q.sending
	if !q.begun && rapid.IntRange(0, 9).Draw(m.t, "expired") == 0 {
		q.sending = nil
		m.reduce(fleet.Expired{Effect: s})
		return
	}
	q.begun = true
	m.reduce(AttemptProgressed{Request: id, Attempt: s.Attempt, Spent: 1})
	cause := rapid.SampledFrom([]Cause{
		CauseCompleted, CauseCompleted, CauseLapsed, CauseConnect, CauseNotRun, CauseUnavailable, CauseReset,
		CauseSilent, CauseShort, CauseWrong, CauseUnknownStream, CauseCaller,
	}).Draw(m.t, "cause")
	ev := AttemptEnded{Request: id, Attempt: s.Attempt, Cause: cause, Wrote: !cause.notRun() || cause == CauseNotRun}
	if cause == CauseCompleted || !cause.notRun() && cause != CauseWrong && cause != CauseUnavailable && rapid.Bool().Draw(m.t, "answered") {
		q.answered = true
		m.reduce(AnswerBegun{Request: id, Attempt: s.Attempt})
	}
	if q.answered {
		ev.Answered, ev.Offset = true, int64(rapid.IntRange(0, 100).Draw(m.t, "offset"))
	}
	if s.Once && cause == CauseCompleted {
		ev.Answer = &fleet.RecordedAnswer{Status: 200}
	}
	if q.answered && cause.notRun() {
		return
	}
	m.successes += btoi(cause == CauseCompleted)
	q.wrote = q.wrote || !cause.notRun()
	before := q.sending
	q.sending = nil
	m.reduce(ev)
	if q.sending == nil && q.ended == 0 && m.resumed(id) {
		q.sending = before
	}
}

// resumed says whether the router still holds the attempt of a request.
func (m *model) resumed(id fleet.RequestID) bool {
	q := m.r.requests[id]
	return q != nil && q.attempt != nil
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (m *model) release() {
	if len(m.releases) == 0 {
		return
	}
	rel := m.releases[0]
	m.releases = m.releases[1:]
	if q := m.requests[rel.Request]; q != nil {
		q.wrote = true
		if !m.resumed(rel.Request) {
			q.sending = nil
		}
	}
	m.reduce(AttemptReleased{Request: rel.Request, Grant: rel.Grant, Confirmed: rapid.Bool().Draw(m.t, "confirmed")})
}

func (m *model) pass(limit int) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, limit).Draw(m.t, "pass")) * time.Millisecond)
	m.reduce(Tick{})
}

func (m *model) step() {
	switch rapid.IntRange(0, 15).Draw(m.t, "step") {
	case 0, 1, 2:
		m.accept()
	case 3, 4:
		m.ledger()
	case 5, 6:
		m.grants()
	case 7, 8, 9:
		m.attemptEnds()
	case 10:
		m.release()
	case 11, 12:
		m.pass(20)
	case 13:
		m.pass(2000)
	case 14:
		m.disturb()
	case 15:
		if id, q := m.pick(func(q *modelRequest) bool { return q.ended == 0 }); q != nil {
			q.wrote = q.wrote || q.sending != nil && !q.sending.Detach
			m.reduce(CallerGone{Request: id})
		}
	}
	for id, q := range m.requests {
		if q.sending != nil && !m.resumed(id) {
			q.sending = nil
		}
	}
}

// disturb loses a report or a connection, or changes the configuration.
func (m *model) disturb() {
	switch rapid.IntRange(0, 6).Draw(m.t, "disturbance") {
	case 5:
		m.nextID++
		m.reduce(TargetAnnounced{Announcement: fleet.Announcement{
			Target: "t", Incarnation: 1, Sequence: fleet.Sequence(m.nextID), DataCentre: "b", State: fleet.TargetServing,
		}})
	case 6:
		cfg := testConfig(m.version + 1)
		m.version++
		cfg.DataCentresOut["b"] = rapid.Bool().Draw(m.t, "out")
		m.reduce(ConfigConfirmed{Config: cfg, NotAfter: m.now.Add(time.Minute)})
	case 0:
		m.conserved = false
		m.reduce(ReportLost{Peer: testPeers[0]})
	case 1:
		m.conserved = false
		m.reduce(DispatcherDown{Peer: testPeers[0]})
		m.reduce(DispatcherUp{Peer: testPeers[0]})
	case 2:
		m.version++
		m.reduce(ConfigConfirmed{Config: testConfig(m.version), NotAfter: m.now.Add(time.Minute)})
	case 3:
		m.reduce(ConfigConfirmed{Config: testConfig(m.version), NotAfter: m.now.Add(100 * time.Millisecond)})
	case 4:
		m.reduce(ConfigConfirmed{Config: testConfig(m.version), NotAfter: m.now.Add(time.Minute)})
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

func TestRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.reduce(ConfigConfirmed{Config: testConfig(1), NotAfter: m.now.Add(time.Minute)})
		m.reduce(DispatcherUp{Peer: testPeers[0]})
		m.reduce(DispatcherUp{Peer: testPeers[1]})
		m.grants()
		for range rapid.IntRange(10, 300).Draw(t, "steps") {
			m.step()
		}
		m.settle()
	})
}
