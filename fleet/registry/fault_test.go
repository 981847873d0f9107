package registry_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet/internal/fault"
)

// mechanism is a part of the protocol, with a run that violates an invariant without it.
type mechanism struct {
	name            string
	disabled        fault.Set
	keepIncarnation bool
	run             func(w *workload)
}

var mechanisms = []mechanism{
	{name: "Entries are synced before they are acknowledged", disabled: fault.Set{SkipEntrySync: true}, run: loseUnsynced},
	{name: "No vote is granted while a leader is heard", disabled: fault.Set{VoteDespiteLeader: true}, run: cutLeaderFromCandidate},
	{name: "A leader answers under its lease only", disabled: fault.Set{SkipQuorumCheck: true}, run: isolateLeader},
	{name: "A new leader waits out the leases of the former", disabled: fault.Set{SkipLeaseWait: true}, run: crashLeader},
	{name: "Changes are compared and set", disabled: fault.Set{SkipVersionCheck: true}, run: runUndisturbed},
	{name: "Results of operations are kept", disabled: fault.Set{SkipDeduplication: true}, run: runUndisturbed},
	{name: "Ledger calls are granted after the commit", disabled: fault.Set{GrantBeforeCommit: true}, run: runUndisturbed},
	{name: "A lost disk ends the membership", keepIncarnation: true, run: loseDiskThenLeader},
}

func runUndisturbed(w *workload) { w.runFor(2 * time.Second) }

// loseUnsynced repeatedly leaves as the only running replicas one that lags and one that
// crashed before it had synced its latest entries.
func loseUnsynced(w *workload) {
	for range 3 {
		leader, unsynced, lagging := w.leaderAndOthers()
		w.cutBoth(leader, lagging, time.Second)
		w.cutBoth(unsynced, lagging, time.Second)
		unsynced.syncDelay = 300 * time.Millisecond
		w.runFor(time.Second)
		w.restart(leader, 4*time.Second)
		w.restart(unsynced, 10*time.Millisecond)
		unsynced.syncDelay = 0
		w.runFor(7 * time.Second)
	}
}

func isolateLeader(w *workload) {
	for range 4 {
		w.disrupt(disruption{Kind: "IsolateLeader", For: 4 * time.Second})
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

// leaderAndOthers waits for a leader and returns it with two other replicas.
func (w *workload) leaderAndOthers() (leader, second, third *node) {
	for range 100 {
		if leader = w.leading(); leader != nil {
			break
		}
		w.runFor(100 * time.Millisecond)
	}
	if leader == nil {
		w.reportViolation("no replica leads")
		leader = w.nodes[0]
	}
	i := leader.id
	return leader, w.nodes[(i+1)%len(w.nodes)], w.nodes[(i+2)%len(w.nodes)]
}

// cutLeaderFromCandidate cuts the links between a replica and the leader, so that it stands
// for election while the leader still has its lease from the third replica.
func cutLeaderFromCandidate(w *workload) {
	for range 4 {
		leader, candidate, voter := w.leaderAndOthers()
		// Without changes the candidate's log stays as up to date as the others'.
		w.paused = true
		w.runFor(600 * time.Millisecond)
		w.cutBoth(leader, candidate, 3*time.Second)
		w.runFor(780 * time.Millisecond)
		w.cutOneWay(voter, leader, 2*time.Second)
		for range 50 {
			if w.runFor(20 * time.Millisecond); candidate.server.IsConfirmedLeader() {
				break
			}
		}
		w.paused = false
		w.runFor(6 * time.Second)
	}
}

// loseDiskThenLeader leaves as the only running replicas one that lags and one that lost its
// disk.
func loseDiskThenLeader(w *workload) {
	leader, wiped, lagging := w.leaderAndOthers()
	w.cutBoth(leader, lagging, 3*time.Second)
	w.cutBoth(wiped, lagging, 3*time.Second)
	w.runFor(3 * time.Second)
	w.restart(leader, 6*time.Second)
	wiped.wipe()
	wiped.start()
	w.runFor(5 * time.Second)
}

// runWith executes the mechanism's run and returns the first violation, or "".
func (m *mechanism) runWith(seed uint64, off fault.Set, keepIncarnation bool) string {
	c := newCluster(3, seed, off)
	c.keepIncarnation = keepIncarnation
	w := startWorkload(c)
	w.runFor(4 * time.Second)
	m.run(w)
	return w.violation
}

// TestMechanisms checks for each mechanism that its run violates an invariant when the
// mechanism is disabled, under at least one of a few seeds, and does not when it is enabled
// under the same seed.
func TestMechanisms(t *testing.T) {
	const seeds = 10
	for _, m := range mechanisms {
		t.Run(m.name, func(t *testing.T) {
			convey.Convey(m.name, t, func() {
				off, seed := "", uint64(0)
				for ; off == "" && seed < seeds; seed++ {
					off = m.runWith(seed, m.disabled, m.keepIncarnation)
				}
				t.Logf("seed %d, switched off: %s", seed-1, off)
				convey.So(off, convey.ShouldNotBeEmpty)
				convey.So(m.runWith(seed-1, fault.Set{}, false), convey.ShouldBeEmpty)
			})
		})
	}
}
