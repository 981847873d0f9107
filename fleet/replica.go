package fleet

// StatusRequest asks one replica about itself; it is answered without a quorum.
type StatusRequest struct{}

// Check implements Checker.
func (*StatusRequest) Check() error { return nil }

// StatusReply is a replica's view of the control quorum.
type StatusReply struct {
	Host        HostID
	Incarnation Incarnation
	// Standing is Leader, Follower, Candidate, or Learner.
	Standing string
	Leader   HostID
	Term     Term
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
	// Match is the last entry known to be on its disk; only the leader knows it.
	Match Index
}

// ReplaceRequest admits a replica that came back with an empty disk: its new
// incarnation becomes a learner, and a voter once it has caught up.
type ReplaceRequest struct {
	Operation OperationID
	Host      HostID
}

// Check implements Checker.
func (r *ReplaceRequest) Check() error {
	return checkAll(CheckName("Operation", string(r.Operation)), CheckName("Host", string(r.Host)))
}

// ReplaceReply tells how the replacement stands.
type ReplaceReply struct {
	Accepted bool
	Invalid  string `json:",omitempty"`
}

// Check implements Checker.
func (*ReplaceReply) Check() error { return nil }
