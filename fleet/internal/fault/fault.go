// Package fault names mechanisms that tests switch off, to show what each is needed
// for. Programs never set any.
package fault

// Set says which mechanisms are switched off.
type Set struct {
	// SkipVoteSync answers votes before they are durable.
	SkipVoteSync bool
	// SkipEntrySync acknowledges entries before they are durable.
	SkipEntrySync bool
	// IgnoreLeader grants votes while a leader is heard.
	VoteDespiteLeader bool
	// CommitOldTerms commits entries of earlier terms by counting replicas.
	CommitOldTerms bool
	// AnswerUnconfirmed lets a leader without a majority go on and answer.
	SkipQuorumCheck bool
	// ForgetLeases lets a new leader give away leases that it has not waited out.
	SkipLeaseWait bool
	// SkipCompare accepts a change whatever version it is based on.
	SkipVersionCheck bool
	// ForgetOperations keeps no results of operations.
	SkipDeduplication bool
	// GrantEarly grants a ledger call before it is committed.
	GrantBeforeCommit bool
}
