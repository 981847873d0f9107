package fleet

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Methods of the feed, by which control hosts tell routers and each other what they
// believe of the deployment.
const (
	// MethodJoin takes a JoinRequest from a follower and returns a JoinReply. The control
	// host then sends notifications over the same connection.
	MethodJoin = "Feed.Join"
	// MethodLoad is a notification with a RouterLoad.
	MethodLoad = "Feed.Load"
	// MethodNotice is a notification with a Notice.
	MethodNotice = "Feed.Notice"
	// MethodTargets is a notification with a TargetsNotice.
	MethodTargets = "Feed.Targets"
	// MethodDigest is a notification with a LoadDigest.
	MethodDigest = "Feed.Digest"
	// MethodConfig takes a ConfigRequest and returns a ConfigReply.
	MethodConfig = "Feed.Config"
)

// JoinRequest introduces a follower of the feed.
type JoinRequest struct {
	Host HostID
	Role Role
	// Address is where callers reach a router.
	Address    netip.AddrPort `json:",omitzero"`
	DataCentre DataCentreName
	// Stopping says that a router takes no new callers.
	Stopping bool `json:",omitempty"`
}

// Check implements Checker.
func (r *JoinRequest) Check() error {
	if r.Role == RoleRouter && !r.Address.IsValid() {
		return errors.New("Address is missing; a router gives the one for callers")
	}
	return CheckName("Host", string(r.Host))
}

// JoinReply tells who answered.
type JoinReply struct {
	Host HostID
}

// Check implements Checker.
func (*JoinReply) Check() error { return nil }

// Notice is what a control host believes, apart from targets. Each one replaces the last.
type Notice struct {
	// Revision orders the states of Number and Out.
	Revision Revision
	Number   ConfigNumber
	Out      []DataCentreName `json:",omitempty"`
	// Confirmed says that the control host is in touch with a majority.
	Confirmed bool
	// Leader is the control host that collects loads; empty when none is known.
	Leader HostID `json:",omitempty"`
	// Controls lists all control hosts.
	Controls []HostID
	// Routers lists the routers that the control host hears of.
	Routers []HostID `json:",omitempty"`
}

// Check implements Checker.
func (*Notice) Check() error { return nil }

// TargetEnd tells that a target left for good.
type TargetEnd struct {
	Target TargetID
	// Incarnation is the last one that left.
	Incarnation Incarnation
}

// TargetsNotice tells what targets said of themselves.
type TargetsNotice struct {
	// Announced lists announcements that changed something.
	Announced []AgedAnnouncement `json:",omitempty"`
	// Alive lists targets that announced the same as before.
	Alive []TargetID `json:",omitempty"`
	// Ended lists targets that left.
	Ended []TargetEnd `json:",omitempty"`
}

// Check implements Checker.
func (n *TargetsNotice) Check() error {
	for i := range n.Announced {
		if err := n.Announced[i].Check(); err != nil {
			return errors.Wrapf(err, "Announced[%d]", i)
		}
	}
	return nil
}

// AgedAnnouncement is an announcement with its age.
type AgedAnnouncement struct {
	Announcement
	Age time.Duration `json:",omitempty"`
}

// TargetLoad is the work of one target that has not ended.
type TargetLoad struct {
	Target TargetID `json:"T"`
	// Waiting is the number of prompt tokens that the target has to read, of requests
	// whose answer has not begun.
	Waiting int `json:"W,omitempty"`
	// Running is the number of requests that it was sent and has not ended.
	Running int `json:"R,omitempty"`
}

// CustomerDemand is what a customer asked for since the last report, in tokens: each
// one of a prompt counts once, whether an engine keeps it or not, and each one to be
// generated twice.
type CustomerDemand struct {
	Customer CustomerName `json:"C"`
	Tokens   int          `json:"T"`
	// Sent is the part of it that went to engines.
	Sent int `json:"S,omitempty"`
}

// SuspectCount is the number of targets that went down while they ran a request.
type SuspectCount struct {
	Content ContentHash `json:"C"`
	Crashes int         `json:"N"`
}

// RouterLoad is a router's report to the control host that collects loads.
type RouterLoad struct {
	Host HostID
	// Sequence grows with each report. It is 0 in one that only tells that the router
	// lives, as the control hosts get which do not collect loads.
	Sequence Sequence         `json:",omitempty"`
	Targets  []TargetLoad     `json:",omitempty"`
	Demand   []CustomerDemand `json:",omitempty"`
	// Asked is the work that all customers asked for since the last report, Admitted the
	// part of it that was sent to engines, in tokens: those of shared parts are left out.
	Asked    int `json:",omitempty"`
	Admitted int `json:",omitempty"`
	// Capacity is what the model engines produce, in the tokens of Asked a second.
	Capacity float64        `json:",omitempty"`
	Suspects []SuspectCount `json:",omitempty"`
	// Stopping says that the router takes no new callers.
	Stopping bool `json:",omitempty"`
	// Away is the part of the router's callers that should use other routers, 0 to 1.
	Away float64 `json:",omitempty"`
}

// Check implements Checker.
func (r *RouterLoad) Check() error {
	if r.Away < 0 || r.Away > 1 {
		return errors.Errorf("Away is %g; a part from 0 to 1 is wanted", r.Away)
	}
	return CheckName("Host", string(r.Host))
}

// CustomerShare is the part of a customer's demand that fits its fair share.
type CustomerShare struct {
	Customer CustomerName `json:"C"`
	// Admitted is from 0 to 1.
	Admitted float64 `json:"A"`
}

// LoadDigest tells a router what all other routers reported.
type LoadDigest struct {
	Targets []TargetLoad    `json:",omitempty"`
	Shares  []CustomerShare `json:",omitempty"`
	// Suspects lists requests that crashed several targets.
	Suspects []SuspectCount `json:",omitempty"`
}

// Check implements Checker.
func (*LoadDigest) Check() error { return nil }

// ConfigRequest asks a control host for the newest configuration that it knows to be
// committed.
type ConfigRequest struct{}

// Check implements Checker.
func (*ConfigRequest) Check() error { return nil }

// ConfigReply is the newest configuration that a control host knows to be committed.
type ConfigReply struct {
	NumberedConfig
}

// Check implements Checker.
func (*ConfigReply) Check() error { return nil }
