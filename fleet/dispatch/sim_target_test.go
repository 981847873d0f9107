package dispatch

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// crashingContent is the prefix of contents that crash every target that runs them.
const crashingContent = "POISON"

// simTarget is a fake target that generates one token per step and slot. While it is cold,
// its first tokens take ten times as long and it is overloaded by few requests.
type simTarget struct {
	s           *sim
	id          fleet.TargetID
	dc          fleet.DataCentreName
	service     fleet.ServiceName
	incarnation fleet.Incarnation
	sequence    fleet.Sequence
	slots       fleet.Slots
	running     []*simRun
	announcedAt time.Time
	leaving     time.Time
	// downUntil is when a crashed target starts again.
	downUntil time.Time
	// completions counts the requests completed since the target started or turned cold. A
	// longer request counts once, after warmingTokens.
	completions int
	cold        bool
	announced   bool
}

// simRun is a request that runs on a target.
type simRun struct {
	router  *simRouter
	attempt *simAttempt
	spent   int
	waited  int
	first   bool
	// firstToken is the time to the first token.
	firstToken time.Duration
	// counted is set once the run no longer adds to completions, because it did already or
	// began before its target turned cold.
	counted bool
}

func newSimTarget(s *sim, i int) *simTarget {
	t := &simTarget{
		s: s, id: fleet.TargetID(fmt.Sprintf("t%02d", i)), dc: s.config.Fleet.DataCentres[i%len(s.config.Fleet.DataCentres)],
		service: "drafter", incarnation: 1,
		slots: s.cfg.slots, cold: true,
		announcedAt: s.now.Add(-time.Duration(s.rng.Int64N(int64(fleet.AnnounceInterval)))),
	}
	if i >= s.cfg.targets {
		t.service = "permit-desk"
	}
	return t
}

func (t *simTarget) serving() bool {
	return !t.s.now.Before(t.downUntil) && t.leaving.IsZero() && !t.s.config.DataCentresOut[t.dc]
}

// capacity is how many requests the target runs without being overloaded.
func (t *simTarget) capacity() int {
	if !t.cold {
		return int(t.slots)
	}
	return min(int(t.slots), t.completions+1)
}

// start starts an attempt and reports whether the target accepted it.
func (t *simTarget) start(o *simRouter, a *simAttempt) bool {
	if t.s.now.Before(t.downUntil) || a.incarnation != t.incarnation {
		return false
	}
	if out, ok := t.s.outSince[t.dc]; ok && t.s.now.Sub(out) > 3*time.Second {
		t.s.failf("target %s got work %s after its data centre was taken out", t.id, t.s.now.Sub(out))
	}
	if !t.leaving.IsZero() && t.s.now.Sub(t.leaving) > 3*time.Second {
		t.s.failf("target %s got work %s after it began to leave", t.id, t.s.now.Sub(t.leaving))
	}
	if q := a.request; q.attempt == 1 {
		t.s.waits[q.customer] = append(t.s.waits[q.customer], t.s.now.Sub(q.submitted))
	}
	t.running = append(t.running, &simRun{router: o, attempt: a})
	if len(t.running) > t.capacity() {
		t.s.overloads++
	}
	if len(t.running) > int(t.slots) {
		t.s.failf("target %s runs %d requests on %d slots", t.id, len(t.running), t.slots)
	}
	if t.s.runs[a.ticket.ID]++; t.s.runs[a.ticket.ID] > 1 {
		t.s.failf("ticket %s ran twice", a.ticket.ID)
	}
	return true
}

func (t *simTarget) step() {
	if t.s.now.Before(t.downUntil) {
		return
	}
	for _, run := range slices.Clone(t.running) {
		t.progress(run)
	}
	if t.s.now.Sub(t.announcedAt) >= fleet.AnnounceInterval {
		t.announce()
	}
}

// progress generates one token of a run; a cold target needs longer for the first.
func (t *simTarget) progress(run *simRun) {
	if !slices.Contains(t.running, run) {
		return
	}
	run.waited++
	wait := 4
	if t.cold {
		wait = 4 * 10
	}
	if run.waited < wait {
		return
	}
	if strings.HasPrefix(string(run.attempt.ticket.Content), crashingContent) {
		t.crash(run.attempt.ticket.Content)
		return
	}
	if run.spent == 0 {
		run.firstToken = time.Duration(run.waited) * stepInterval
	}
	run.spent++
	t.s.delivered[run.attempt.ticket.Customer]++
	run.router.progressed(run)
	if run.spent == warmingTokens {
		t.warm(run)
	}
	if run.spent >= run.attempt.request.cost {
		t.remove(run)
		t.warm(run)
		if t.completions >= 2*int(t.slots) {
			t.cold = false
		}
		run.router.ended(run, fleet.OutcomeCompleted)
	}
}

// warmingTokens is the number of tokens after which a long request warms a target as much as
// a completed one.
const warmingTokens = 1900

// warm adds a run that completed, or made warmingTokens, to completions, once.
func (t *simTarget) warm(run *simRun) {
	if !run.counted {
		t.completions++
	}
	run.counted = true
}

func (t *simTarget) remove(run *simRun) {
	if i := slices.Index(t.running, run); i >= 0 {
		t.running = slices.Delete(t.running, i, i+1)
	}
}

// crash interrupts everything that runs on the target, which starts again a second later.
func (t *simTarget) crash(by fleet.ContentHash) {
	if by != "" {
		t.s.crashes[by]++
		t.s.crashedAt = t.s.now
	}
	lost := t.running
	t.running = nil
	for _, run := range lost {
		run.router.ended(run, fleet.OutcomeBroken)
	}
	t.downUntil = t.s.now.Add(time.Second)
	t.incarnation++
	t.sequence = 0
	t.completions, t.cold = 0, true
}

// turnCold makes the target cold without announcing it.
func (t *simTarget) turnCold() {
	t.completions, t.cold = 0, true
	for _, run := range t.running {
		run.counted = true
	}
}

func (t *simTarget) announce() {
	t.announcedAt = t.s.now
	t.sequence++
	a := fleet.Announcement{
		Target: t.id, Incarnation: t.incarnation, Sequence: t.sequence, Service: t.service, DataCentre: t.dc,
		Address: netip.MustParseAddrPort("127.0.0.1:9000"), Slots: t.slots, State: fleet.TargetServing,
	}
	if !t.leaving.IsZero() {
		a.State = fleet.TargetLeaving
	}
	if t.s.cfg.announceRunning {
		for _, run := range t.running {
			a.Running = append(a.Running, run.attempt.request.id)
		}
	}
	for _, o := range t.s.routers {
		if t.s.rng.IntN(len(t.s.routers)) < 2 {
			t.s.later(func() { o.relay(a) })
		}
	}
}
