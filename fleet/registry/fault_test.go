package registry_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet/internal/fault"
)

// mechanism is a part of the protocol with a run that goes wrong without it.
type mechanism struct {
	name            string
	off             fault.Set
	keepIncarnation bool
	run             func(w *workload)
}

var mechanisms = []mechanism{
	{name: "Entries are synced before they are acknowledged", off: fault.Set{SkipEntrySync: true}, run: loseUnsynced},
	{name: "No vote is granted while a leader is heard", off: fault.Set{IgnoreLeader: true}, run: partLeaderFromCandidate},
	{name: "A leader answers under its lease only", off: fault.Set{AnswerUnconfirmed: true}, run: isolateLeader},
	{name: "A new leader waits out the leases of the former", off: fault.Set{ForgetLeases: true}, run: crashLeader},
	{name: "Changes are compared and set", off: fault.Set{SkipCompare: true}, run: quietly},
	{name: "Results of operations are kept", off: fault.Set{ForgetOperations: true}, run: quietly},
	{name: "Ledger calls are granted after the commit", off: fault.Set{GrantEarly: true}, run: quietly},
	{name: "A lost disk ends the membership", keepIncarnation: true, run: loseDiskThenLeader},
}

func quietly(w *workload) { w.runFor(2 * time.Second) }

// loseUnsynced leaves again and again only a replica that lags and one that lost what
// it had not synced.
func loseUnsynced(w *workload) {
	for range 3 {
		leader, loser, lagging := w.leaderAndOthers()
		w.cutBoth(leader, lagging, time.Second)
		w.cutBoth(loser, lagging, time.Second)
		loser.slow = 300 * time.Millisecond
		w.runFor(time.Second)
		w.restart(leader, 4*time.Second)
		w.restart(loser, 10*time.Millisecond)
		loser.slow = 0
		w.runFor(7 * time.Second)
	}
}

func isolateLeader(w *workload) {
	for range 4 {
		w.inflict(harm{Kind: "IsolateLeader", For: 4 * time.Second})
		w.runFor(6 * time.Second)
	}
}

func crashLeader(w *workload) {
	for range 4 {
		if l := w.leading(); l != nil {
			w.restart(l, 4*time.Second)
		}
		w.runFor(6 * time.Second)
	}
}

// leaderAndOthers returns the leader and two other replicas.
func (w *workload) leaderAndOthers() (leader, second, third *node) {
	for range 100 {
		if leader = w.leading(); leader != nil {
			break
		}
		w.runFor(100 * time.Millisecond)
	}
	if leader == nil {
		w.violate("no replica leads")
		leader = w.nodes[0]
	}
	i := leader.id
	return leader, w.nodes[(i+1)%len(w.nodes)], w.nodes[(i+2)%len(w.nodes)]
}

// partLeaderFromCandidate cuts a replica off from the leader only, so that it stands
// while the leader has its lease from the other.
func partLeaderFromCandidate(w *workload) {
	for range 4 {
		leader, candidate, voter := w.leaderAndOthers()
		// Without changes meanwhile the candidate's log stays as new as the others'.
		w.quiet = true
		w.runFor(600 * time.Millisecond)
		w.cutBoth(leader, candidate, 3*time.Second)
		w.runFor(780 * time.Millisecond)
		w.cutOneWay(voter, leader, 2*time.Second)
		for range 50 {
			if w.runFor(20 * time.Millisecond); candidate.server.IsConfirmedLeader() {
				break
			}
		}
		w.quiet = false
		w.runFor(6 * time.Second)
	}
}

// loseDiskThenLeader leaves only a replica that lags and one that lost its disk.
func loseDiskThenLeader(w *workload) {
	leader, loser, lagging := w.leaderAndOthers()
	w.cutBoth(leader, lagging, 3*time.Second)
	w.cutBoth(loser, lagging, 3*time.Second)
	w.runFor(3 * time.Second)
	w.restart(leader, 6*time.Second)
	loser.wipe()
	loser.start()
	w.runFor(5 * time.Second)
}

// violation runs a mechanism's run and returns what went wrong.
func (m *mechanism) violation(seed uint64, off fault.Set, keepIncarnation bool) string {
	c := newCluster(3, seed, off)
	c.keepIncarnation = keepIncarnation
	w := startWorkload(c)
	w.runFor(4 * time.Second)
	m.run(w)
	return w.violation
}

// TestMechanisms shows for each mechanism that its run goes wrong when it is switched
// off, under one of a few seeds, and goes right under the same when it is on.
func TestMechanisms(t *testing.T) {
	const seeds = 10
	for _, m := range mechanisms {
		t.Run(m.name, func(t *testing.T) {
			convey.Convey(m.name, t, func() {
				off, seed := "", uint64(0)
				for ; off == "" && seed < seeds; seed++ {
					off = m.violation(seed, m.off, m.keepIncarnation)
				}
				t.Logf("seed %d, switched off: %s", seed-1, off)
				convey.So(off, convey.ShouldNotBeEmpty)
				convey.So(m.violation(seed-1, fault.Set{}, false), convey.ShouldBeEmpty)
			})
		})
	}
}
