package routing

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// requestIDs returns the sorted ids of the requests that satisfy f.
func (m *model) requestIDs(f func(q *modelRequest) bool) []fleet.RequestID {
	var ids []fleet.RequestID
	for id, q := range m.requests {
		if f(q) {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// drawRequest draws one of the requests that satisfy f; nil if there is none.
func (m *model) drawRequest(f func(q *modelRequest) bool) (fleet.RequestID, *modelRequest) {
	ids := m.requestIDs(f)
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

// ledgerReplies sends a reply of the ledger to a begin, and possibly to an end.
func (m *model) ledgerReplies() {
	if len(m.pendingLedgerEnds) > 0 && rapid.Bool().Draw(m.t, "recorded") {
		id := m.pendingLedgerEnds[0]
		m.pendingLedgerEnds = m.pendingLedgerEnds[1:]
		m.reduce(LedgerEnded{Request: id})
	}
	id, q := m.drawRequest(func(q *modelRequest) bool { return q.ledgerBegin != nil && !q.ledgerGranted })
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
	q.ledgerGranted = !ev.Failed && ev.Reply.State == fleet.LedgerGranted
	m.reduce(ev)
}

// sendGrants sends a message of a dispatcher, in some cases one of an old or a newer epoch, of
// an old version, for another incarnation, or with an arbitrary acknowledgement.
func (m *model) sendGrants() {
	peer := testPeers[0]
	newest := m.newestSequence(peer)
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
	accepted := msg.Epoch >= m.seenEpoch && msg.RouterIncarnation == 7
	if accepted {
		m.seenEpoch = msg.Epoch
	}
	sent, known := m.sentAt[peer][msg.Ack]
	until := sent.Add(fleet.ShortenLease(msg.Validity))
	for _, id := range m.recentTickets() {
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
		m.receivedGrants[g.ID] = accepted
		if known && accepted && msg.Version >= m.version {
			m.grantExpiry[g.ID] = until
		}
	}
	m.addStanding(&msg, until, known && accepted && msg.Version >= m.version)
	m.addCancel(&msg, accepted)
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
		m.grantExpiry[id] = until
	}
}

// addCancel adds the cancellation of a running attempt to a message.
func (m *model) addCancel(msg *fleet.DispatcherGrants, accepted bool) {
	if rapid.IntRange(0, 7).Draw(m.t, "cancel") > 0 {
		return
	}
	if _, q := m.drawRequest(func(q *modelRequest) bool { return q.currentSend != nil }); q != nil {
		msg.Cancel = append(msg.Cancel, q.currentSend.Grant)
		q.bytesSent = q.bytesSent || accepted
	}
}

func (m *model) newestSequence(p Peer) fleet.Sequence {
	var newest fleet.Sequence
	for s := range m.sentAt[p] {
		newest = max(newest, s)
	}
	return newest
}

// recentTickets returns the last six reported tickets in the order of their ids.
func (m *model) recentTickets() []fleet.TicketID {
	var ids []fleet.TicketID
	for id := range m.tickets {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids[max(0, len(ids)-6):]
}

// endAttempt reports the progress of an attempt and then its end, or that its StartSend
// expired.
func (m *model) endAttempt() {
	id, q := m.drawRequest(func(q *modelRequest) bool { return q.currentSend != nil })
	if q == nil {
		return
	}
	s := *q.currentSend
	if !q.progressed && rapid.IntRange(0, 9).Draw(m.t, "expired") == 0 {
		q.currentSend = nil
		m.reduce(fleet.Expired{Effect: s})
		return
	}
	q.progressed = true
	m.reduce(AttemptProgressed{Request: id, Attempt: s.Attempt, Spent: 1})
	cause := rapid.SampledFrom([]Cause{
		CauseCompleted, CauseCompleted, CauseGrantExpired, CauseConnectFailed, CauseNotRun, CauseUnavailable, CauseReset,
		CauseIdleTimeout, CauseTruncated, CauseWrongAnswer, CauseUnknownStream, CauseCallerGone,
	}).Draw(m.t, "cause")
	ev := AttemptEnded{Request: id, Attempt: s.Attempt, Cause: cause, Wrote: !cause.notRun() || cause == CauseNotRun}
	if cause == CauseCompleted || !cause.notRun() && cause != CauseWrongAnswer && cause != CauseUnavailable && rapid.Bool().Draw(m.t, "answered") {
		q.answerStarted = true
		m.reduce(AnswerBegun{Request: id, Attempt: s.Attempt})
	}
	if q.answerStarted {
		ev.Answered, ev.Offset = true, int64(rapid.IntRange(0, 100).Draw(m.t, "offset"))
	}
	if s.Once && cause == CauseCompleted {
		ev.Answer = &fleet.RecordedAnswer{Status: 200}
	}
	if q.answerStarted && cause.notRun() {
		return
	}
	m.successes += boolToInt(cause == CauseCompleted)
	q.bytesSent = q.bytesSent || !cause.notRun()
	before := q.currentSend
	q.currentSend = nil
	m.reduce(ev)
	if q.currentSend == nil && q.endCount == 0 && m.hasAttempt(id) {
		q.currentSend = before
	}
}

// hasAttempt reports whether the router still has an attempt for a request.
func (m *model) hasAttempt(id fleet.RequestID) bool {
	q := m.r.requests[id]
	return q != nil && q.attempt != nil
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (m *model) confirmRelease() {
	if len(m.pendingReleases) == 0 {
		return
	}
	rel := m.pendingReleases[0]
	m.pendingReleases = m.pendingReleases[1:]
	if q := m.requests[rel.Request]; q != nil {
		q.bytesSent = true
		if !m.hasAttempt(rel.Request) {
			q.currentSend = nil
		}
	}
	m.reduce(AttemptReleased{Request: rel.Request, Grant: rel.Grant, Confirmed: rapid.Bool().Draw(m.t, "confirmed")})
}

func (m *model) advance(limit int) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, limit).Draw(m.t, "pass")) * time.Millisecond)
	m.reduce(Tick{})
}

func (m *model) step() {
	switch rapid.IntRange(0, 15).Draw(m.t, "step") {
	case 0, 1, 2:
		m.accept()
	case 3, 4:
		m.ledgerReplies()
	case 5, 6:
		m.sendGrants()
	case 7, 8, 9:
		m.endAttempt()
	case 10:
		m.confirmRelease()
	case 11, 12:
		m.advance(20)
	case 13:
		m.advance(2000)
	case 14:
		m.injectFault()
	case 15:
		if id, q := m.drawRequest(func(q *modelRequest) bool { return q.endCount == 0 }); q != nil {
			q.bytesSent = q.bytesSent || q.currentSend != nil && !q.currentSend.Detach
			m.reduce(CallerGone{Request: id})
		}
	}
	for id, q := range m.requests {
		if q.currentSend != nil && !m.hasAttempt(id) {
			q.currentSend = nil
		}
	}
}

// injectFault loses a report or a connection, announces a target, or changes the configuration
// or its validity.
func (m *model) injectFault() {
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
		m.reportsComplete = false
		m.reduce(ReportLost{Peer: testPeers[0]})
	case 1:
		m.reportsComplete = false
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

func TestRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.reduce(ConfigConfirmed{Config: testConfig(1), NotAfter: m.now.Add(time.Minute)})
		m.reduce(DispatcherUp{Peer: testPeers[0]})
		m.reduce(DispatcherUp{Peer: testPeers[1]})
		m.sendGrants()
		for range rapid.IntRange(10, 300).Draw(t, "steps") {
			m.step()
		}
		m.shutDown()
	})
}
