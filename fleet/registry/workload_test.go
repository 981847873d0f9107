package registry_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/registry"
)

const fleetText = `
[Fleet]
Region = lv-riga
[DataCentre riga-a]
[DataCentre riga-b]
[Service drafter]
Protocol = Model
MaxCost = 4000
[Customer riga-centrs]
KeyHash = 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef
`

// workload runs clients of a cluster and checks that the answers are consistent with earlier
// ones.
type workload struct {
	*cluster
	// paused stops new changes and calls.
	paused bool
	// padding is the number of bytes added to each fleet text.
	padding int
	// minVersion is the highest version that was reported to any client as accepted.
	minVersion fleet.Version
	accepted   map[fleet.Version]fleet.OperationID
	results    map[fleet.OperationID]fleet.ChangeReply
	// holder may act under the lease with this epoch until the given virtual time.
	holder fleet.HostID
	until  time.Duration
	epoch  fleet.Epoch
	// runs counts the executions of each call, done holds the recorded answers.
	runs     map[fleet.IdempotencyKey]int
	done     map[fleet.IdempotencyKey]string
	keys     int
	changes  int
	replaced int
}

// newWorkload starts the replicas without any clients.
func newWorkload(c *cluster) *workload {
	c.start()
	return &workload{
		cluster: c, accepted: map[fleet.Version]fleet.OperationID{},
		results: map[fleet.OperationID]fleet.ChangeReply{},
		runs:    map[fleet.IdempotencyKey]int{}, done: map[fleet.IdempotencyKey]string{},
	}
}

// startWorkload starts the replicas and three clients of each kind.
func startWorkload(c *cluster) *workload {
	w := newWorkload(c)
	for i := range 3 {
		w.after(0, func() { w.operator(i, 0, 0) })
		w.after(0, func() { w.reader(i) })
		w.after(0, func() { w.dispatcher(fleet.HostID(fmt.Sprintf("d%d", i)), 0) })
		w.after(0, func() {
			w.router(fleet.AttemptID{Router: fleet.HostID(fmt.Sprintf("r%d", i)), Incarnation: 1, Attempt: 1})
		})
	}
	return w
}

// retry sends a request to random replicas until one replies.
func (w *workload) retry(r registry.Request, then func(reply any)) {
	answered := false
	var try func()
	try = func() {
		if answered {
			return
		}
		w.ask(w.nodes[w.rng.IntN(len(w.nodes))], r, func(a registry.Answer) {
			if a.Failure == nil && !answered {
				answered = true
				then(a.Reply)
			}
		})
		w.after(w.randomDuration(50*time.Millisecond, 250*time.Millisecond), try)
	}
	try()
}

// operator changes the configuration repeatedly, in competition with other operators, and
// resends each operation once after its result.
func (w *workload) operator(id, n int, base fleet.Version) {
	if w.paused {
		w.after(100*time.Millisecond, func() { w.operator(id, n, base) })
		return
	}
	op := fleet.OperationID(fmt.Sprintf("op-%d-%d", id, n))
	r := registry.Request{Apply: &fleet.ApplyRequest{
		Operation: op, Base: base, Operator: "tester", Text: fmt.Sprintf("%s; %s %s\n", fleetText, op, strings.Repeat("x", w.padding)),
	}}
	if n%4 == 3 {
		r = registry.Request{DataCentre: &fleet.DataCentreRequest{
			Operation: op, Base: base, DataCentre: "riga-b", Out: n%8 == 3,
		}}
	}
	w.retry(r, func(reply any) {
		c := *reply.(*fleet.ChangeReply)
		w.checkChange(op, base, c)
		w.retry(r, func(again any) { w.checkChange(op, base, *again.(*fleet.ChangeReply)) })
		next := c.Version
		w.after(w.randomDuration(10*time.Millisecond, 200*time.Millisecond), func() { w.operator(id, n+1, next) })
	})
}

func (w *workload) checkChange(op fleet.OperationID, base fleet.Version, c fleet.ChangeReply) {
	first, known := w.results[op]
	if known && (first.Accepted != c.Accepted || first.Version != c.Version) {
		w.reportViolation("operation %s got %+v and then %+v", op, first, c)
	}
	w.results[op] = c
	if !c.Accepted {
		return
	}
	if other, taken := w.accepted[c.Version]; taken && other != op || c.Version != base+1 {
		w.reportViolation("version %d based on %d goes to %s and %s", c.Version, base, other, op)
	}
	w.accepted[c.Version] = op
	w.minVersion = max(w.minVersion, c.Version)
	w.changes++
}

// reader checks that a version read is not lower than any known before the request.
func (w *workload) reader(id int) {
	minVersion := w.minVersion
	r := registry.Request{State: &fleet.StateRequest{Host: fleet.HostID(fmt.Sprintf("reader%d", id)), Role: fleet.RoleRouter}}
	for _, n := range w.nodes {
		w.ask(n, r, func(a registry.Answer) {
			s, ok := a.Reply.(*fleet.StateReply)
			if !ok {
				return
			}
			if s.Version < minVersion {
				w.reportViolation("version %d was read after version %d", s.Version, minVersion)
			}
			w.minVersion = max(w.minVersion, s.Version)
		})
	}
	w.after(w.randomDuration(20*time.Millisecond, 100*time.Millisecond), func() { w.reader(id) })
}

// dispatcher acquires and renews one lease, and checks that no other host holds it.
func (w *workload) dispatcher(host fleet.HostID, epoch fleet.Epoch) {
	const duration = 3 * time.Second
	asked, next := w.now, epoch
	r := registry.Request{Lease: &fleet.LeaseRequest{
		Name: "Dispatch/lv-riga", Holder: host, Incarnation: 1, Epoch: epoch, Duration: duration,
	}}
	answer := func(a registry.Answer) {
		l, ok := a.Reply.(*fleet.LeaseReply)
		if !ok {
			return
		}
		next = 0
		if l.Granted {
			next = l.Epoch
			w.recordLease(host, l.Epoch, asked+fleet.ShortenLease(duration))
		}
	}
	for _, n := range w.nodes {
		w.ask(n, r, answer)
	}
	pause := w.randomDuration(200*time.Millisecond, 500*time.Millisecond)
	if w.rng.IntN(8) == 0 {
		pause += 4 * time.Second
	}
	w.after(pause, func() { w.dispatcher(host, next) })
}

// recordLease records that a host may act under the lease until a virtual time. Its clock
// may be as slow as ShortenLease allows for.
func (w *workload) recordLease(host fleet.HostID, epoch fleet.Epoch, until time.Duration) {
	if until <= w.now {
		return
	}
	if w.holder != host && w.now < w.until {
		w.reportViolation("%s holds the lease until %s and %s as well", w.holder, w.until, host)
	}
	if epoch < w.epoch || w.holder != host && epoch == w.epoch {
		w.reportViolation("epoch %d of %s after epoch %d of %s", epoch, host, w.epoch, w.holder)
	}
	if w.holder != host {
		w.until = 0
	}
	w.holder, w.epoch, w.until = host, epoch, max(w.until, until)
}

// router attempts a call that may run once, under a new or a recent idempotency key.
func (w *workload) router(by fleet.AttemptID) {
	if w.paused {
		w.after(100*time.Millisecond, func() { w.router(by) })
		return
	}
	if w.rng.IntN(3) == 0 {
		w.keys++
	}
	key := fleet.IdempotencyKey(fmt.Sprintf("key-%d", w.keys))
	begin := &fleet.LedgerBeginRequest{
		LedgerKey: fleet.LedgerKey{Customer: "riga-centrs", Service: "permit-desk", Key: key}, Body: "abc", By: by,
	}
	answer, isDone := w.done[key]
	w.retry(registry.Request{LedgerBegin: begin}, func(reply any) {
		b := reply.(*fleet.LedgerBeginReply)
		if isDone && (b.State != fleet.LedgerDone || string(b.Answer.Body) != answer) {
			w.reportViolation("%s ran with answer %q and is %s", key, answer, b.State)
		}
		if b.State == fleet.LedgerGranted {
			w.runCall(begin)
		}
	})
	by.Attempt++
	if w.rng.IntN(20) == 0 {
		by.Incarnation++
	}
	w.after(w.randomDuration(20*time.Millisecond, 400*time.Millisecond), func() { w.router(by) })
}

// runCall executes the granted call or reports that it did not run, and records the outcome
// unless the router crashes first.
func (w *workload) runCall(b *fleet.LedgerBeginRequest) {
	end := &fleet.LedgerEndRequest{LedgerKey: b.LedgerKey, By: b.By, Verdict: fleet.NotRun}
	if w.rng.IntN(3) > 0 {
		if w.runs[b.Key]++; w.runs[b.Key] > 1 {
			w.reportViolation("%s ran twice", b.Key)
		}
		end.Verdict = fleet.Ran
		end.Answer = &fleet.RecordedAnswer{Status: 200, Body: fmt.Appendf(nil, "%s by %d", b.Key, b.By.Attempt)}
	}
	if w.rng.IntN(10) == 0 {
		return
	}
	w.after(w.randomDuration(time.Millisecond, 300*time.Millisecond), func() {
		w.retry(registry.Request{LedgerEnd: end}, func(reply any) {
			if reply.(*fleet.LedgerEndReply).Recorded && end.Verdict == fleet.Ran {
				w.done[b.Key] = string(end.Answer.Body)
			}
		})
	})
}
