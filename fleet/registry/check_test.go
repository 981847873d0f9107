package registry_test

import (
	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiashed/fuchsiashed/fleet/quorum"
)

// checkLeader checks that each term has one leader.
func (c *cluster) checkLeader(e quorum.RoleChanged) {
	if e.Leader == "" {
		return
	}
	if seen, ok := c.leaders[e.Term]; ok && seen != e.Leader {
		c.reportViolation("%s and %s lead term %d", seen, e.Leader, e.Term)
	}
	c.leaders[e.Term] = e.Leader
}

// checkState checks that all replicas have the same state after the same entry.
func (c *cluster) checkState(n *node) {
	state := n.server.State()
	// Comparing the state after every entry would take most of the time of a run.
	if state.Index() == n.checked || state.Index()%checkInterval != 0 {
		return
	}
	n.checked = state.Index()
	sum := xxhash.Sum64(state.Snapshot())
	if seen, ok := c.states[state.Index()]; ok && seen != sum {
		c.reportViolation("%s has another state after entry %d", n.host, state.Index())
	}
	c.states[state.Index()] = sum
}

// leading returns the confirmed leader, or nil.
func (c *cluster) leading() *node {
	for _, n := range c.nodes {
		if n.up && !n.frozen && n.server.IsConfirmedLeader() {
			return n
		}
	}
	return nil
}

// allReplicasVote reports whether every replica is a voter under the incarnation of its disk.
func (c *cluster) allReplicasVote() bool {
	l := c.leading()
	if l == nil {
		return false
	}
	voters := 0
	for _, m := range l.server.Status().Members {
		for _, n := range c.nodes {
			if n.host == m.Host && n.incarnation == m.Incarnation && m.Voter {
				voters++
			}
		}
	}
	return voters == len(c.nodes)
}
