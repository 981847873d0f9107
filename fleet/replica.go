package fleet

// StatusRequest asks a control replica for its own status. It is answered without a quorum.
type StatusRequest struct{}

// Check implements Checker.
func (*StatusRequest) Check() error { return nil }

// StatusReply is a replica's view of the control quorum.
type StatusReply struct {
	Host        HostID
	Incarnation Incarnation
	// Standing is Leader, Follower, Candidate, or Learner.
	Standing string
	// Leader is the current leader; empty if unknown to the replica.
	Leader HostID
	Term   Term
	// Last and Commit are the last log entry and the last committed one, Snapshot the
	// last one that the replica's snapshot covers.
	Last     Index
	Commit   Index
	Snapshot Index
	Members  []MemberState
}

// Check implements Checker.
func (*StatusReply) Check() error { return nil }

// MemberState is one member of the control quorum.
type MemberState struct {
	Host        HostID
	Incarnation Incarnation
	Voter       bool
	// Match is the last log entry known to be on the member's disk; only the leader sets it.
	Match Index
}

// ReplaceRequest readmits a replica that lost its disk: its new incarnation becomes a
// learner, and a voter once it has caught up.
type ReplaceRequest struct {
	Operation OperationID
	Host      HostID
}

// Check implements Checker.
func (r *ReplaceRequest) Check() error {
	return checkAll(CheckName("Operation", string(r.Operation)), CheckName("Host", string(r.Host)))
}

// ReplaceReply reports whether the replacement was accepted.
type ReplaceReply struct {
	Accepted bool
	// Invalid is the reason why the replacement was refused; empty if it was accepted.
	Invalid string `json:",omitempty"`
}

// Check implements Checker.
func (*ReplaceReply) Check() error { return nil }
