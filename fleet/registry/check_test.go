package registry_test

import (
	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiashed/fuchsiashed/fleet/quorum"
)

// checkLeader checks that a term has one leader.
func (c *cluster) checkLeader(e quorum.RoleChanged) {
	if e.Leader == "" {
		return
	}
	if seen, ok := c.leaders[e.Term]; ok && seen != e.Leader {
		c.violate("%s and %s lead term %d", seen, e.Leader, e.Term)
	}
	c.leaders[e.Term] = e.Leader
}

// checkState checks that all replicas reach the same state with the same entry.
func (c *cluster) checkState(n *node) {
	state := n.server.State()
	// Comparing every state would take most of the time of a run.
	if state.Index() == n.checked || state.Index()%checkedEntries != 0 {
		return
	}
	n.checked = state.Index()
	sum := xxhash.Sum64(state.Snapshot())
	if seen, ok := c.states[state.Index()]; ok && seen != sum {
		c.violate("%s has another state after entry %d", n.host, state.Index())
	}
	c.states[state.Index()] = sum
}

// leading returns the replica that leads and is confirmed, or nil.
func (c *cluster) leading() *node {
	for _, n := range c.nodes {
		if n.up && !n.frozen && n.server.IsConfirmedLeader() {
			return n
		}
	}
	return nil
}

// repaired says whether every replica votes under the incarnation that its disk has.
func (c *cluster) repaired() bool {
	l := c.leading()
	if l == nil {
		return false
	}
	voters := 0
	for _, m := range l.server.Status().Members {
		for _, n := range c.nodes {
			if n.host == m.Host && n.inc == m.Incarnation && m.Voter {
				voters++
			}
		}
	}
	return voters == len(c.nodes)
}
