// Package fault lists safety mechanisms that tests can disable, to show that each of them is
// needed. Programs never disable any.
package fault

// Set is the set of disabled mechanisms. The zero value disables none.
type Set struct {
	// SkipVoteSync sends vote responses before the votes are durable.
	SkipVoteSync bool
	// SkipEntrySync acknowledges entries before they are durable.
	SkipEntrySync bool
	// VoteDespiteLeader grants votes while heartbeats of a leader arrive.
	VoteDespiteLeader bool
	// CommitOldTerms commits entries of earlier terms by counting replicas.
	CommitOldTerms bool
	// SkipQuorumCheck lets a leader that has lost its majority remain leader and respond to calls.
	SkipQuorumCheck bool
	// SkipLeaseWait lets a new leader grant leases that may still be held under the previous
	// leader.
	SkipLeaseWait bool
	// SkipVersionCheck accepts changes that are based on an outdated version.
	SkipVersionCheck bool
	// SkipDeduplication executes an operation again when it is resent.
	SkipDeduplication bool
	// GrantBeforeCommit grants a ledger call before its entry is committed.
	GrantBeforeCommit bool
}
