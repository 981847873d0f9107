package fleet

import (
	"encoding/json"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// RPC methods of the feed, over which control hosts send routers and each other their view
// of the deployment: the configuration, data centres, routers, targets and loads.
const (
	// MethodJoin takes a JoinRequest from a follower and returns a JoinReply. The control
	// host then sends notifications over the same connection.
	MethodJoin = "Feed.Join"
	// MethodLoad is a notification from a router with a RouterLoad.
	MethodLoad = "Feed.Load"
	// MethodNotice is a notification with a Notice.
	MethodNotice = "Feed.Notice"
	// MethodTargets is a notification with a TargetsNotice.
	MethodTargets = "Feed.Targets"
	// MethodIncluded is a notification with a ReportIncluded, sent before each LoadDigest.
	MethodIncluded = "Feed.Included"
	// MethodDigest is a notification with a LoadDigest.
	MethodDigest = "Feed.Digest"
	// MethodConfig takes a ConfigRequest and returns a ConfigReply.
	MethodConfig = "Feed.Config"
)

// IsFeedMethod reports whether a method belongs to the feed, which includes the origins of streams.
func IsFeedMethod(method string) bool {
	return strings.HasPrefix(method, "Feed.") || strings.HasPrefix(method, "Streams.")
}

const (
	// minReportInterval is the minimum time between two load reports of a router, and between
	// two digests.
	minReportInterval = 100 * time.Millisecond
	// reportIntervalPerRouter times the number of routers is the interval if that is longer.
	// It bounds the processor time of the control host that collects the reports.
	reportIntervalPerRouter = time.Millisecond
)

// ReportInterval returns the time between two load reports of a router that has requests, and
// between two digests to it, given the number of such routers.
func ReportInterval(busyRouters int) time.Duration {
	return max(minReportInterval, time.Duration(busyRouters)*reportIntervalPerRouter)
}

const (
	// RouterIdleAfter is the time since its last report of work after which a router is idle.
	RouterIdleAfter = 3 * time.Second
	// IdleReportInterval is the time between two load reports of an idle router, and between two
	// digests to it.
	IdleReportInterval = time.Second
)

// HasWork reports whether the router that sent the report has requests.
func (r *RouterLoad) HasWork() bool { return r.Asked > 0 || len(r.Targets) > 0 }

// JoinRequest subscribes a process to the feed.
type JoinRequest struct {
	Host HostID
	Role Role
	// Address is the address at which callers reach a router; unset for other roles.
	Address    netip.AddrPort `json:",omitzero"`
	DataCentre DataCentreName
	// Stopping is true once a router accepts no new callers.
	Stopping bool `json:",omitempty"`
}

// Check implements Checker.
func (r *JoinRequest) Check() error {
	if r.Role == RoleRouter && !r.Address.IsValid() {
		return errors.New("Address is missing; a router gives the address for its callers")
	}
	return CheckName("Host", string(r.Host))
}

// JoinReply names the control host that was joined.
type JoinReply struct {
	Host HostID
}

// Check implements Checker.
func (*JoinReply) Check() error { return nil }

// Notice is a control host's view of the deployment except for targets. Each Notice
// replaces the one before.
type Notice struct {
	// Revision grows with each change of Number or Out.
	Revision Revision
	// Number is that of the configuration in force.
	Number ConfigNumber
	// Out lists the data centres that are out of service.
	Out []DataCentreName `json:",omitempty"`
	// Confirmed is true if the control host is in contact with a majority.
	Confirmed bool
	// Leader is the control host that collects loads; empty if unknown.
	Leader HostID `json:",omitempty"`
	// Controls lists all control hosts.
	Controls []HostID
	// Routers lists the routers that the control host considers live.
	Routers []HostID `json:",omitempty"`
	// SameRouters is true if Routers is left out because it has not changed since the previous
	// Notice on this connection.
	SameRouters bool `json:",omitempty"`
	// Rollouts lists the newest roll-out of each service that had one.
	Rollouts []Rollout `json:",omitempty"`
}

// Check implements Checker.
func (n *Notice) Check() error {
	for i := range n.Rollouts {
		if err := n.Rollouts[i].Check(); err != nil {
			return errors.Wrapf(err, "Rollouts[%d]", i)
		}
	}
	return nil
}

// TargetEnd reports that a target has stopped.
type TargetEnd struct {
	Target TargetID
	// Incarnation is the newest one that has stopped; 0 means unknown.
	Incarnation Incarnation
}

// TargetsNotice passes on what targets announced.
type TargetsNotice struct {
	// Announced lists announcements that differ from the target's previous one.
	Announced []AgedAnnouncement `json:",omitempty"`
	// Alive lists targets that announced the same as before.
	Alive []TargetID `json:",omitempty"`
	// Ended lists targets that have stopped.
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

// DecodeTargetsNotice decodes a notice. It leaves out announcements that are not valid, since
// those of all other targets must still arrive, and returns an error for each.
func DecodeTargetsNotice(data []byte) (n TargetsNotice, invalid []error, err error) {
	if err := json.Unmarshal(data, &n); err != nil {
		return TargetsNotice{}, nil, errors.Wrap(err, "decode TargetsNotice")
	}
	n.Announced = slices.DeleteFunc(n.Announced, func(a AgedAnnouncement) bool {
		err := a.Check()
		if err != nil {
			invalid = append(invalid, errors.Wrapf(err, "announcement of %q", a.Target))
		}
		return err != nil
	})
	return n, invalid, nil
}

// AgedAnnouncement is an announcement with its age, since the clocks of hosts differ.
type AgedAnnouncement struct {
	Announcement
	// Age is the time since the target made the announcement.
	Age time.Duration `json:",omitempty"`
}

// TargetLoad is the outstanding work of one target.
type TargetLoad struct {
	Target TargetID `json:"T"`
	// Waiting is the number of prompt tokens that the target still has to process, of
	// requests whose answer has not begun.
	Waiting int `json:"W,omitempty"`
	// Running is the number of requests that were sent to the target and have not ended.
	Running int `json:"R,omitempty"`
}

// StatedLimit is the number of requests a second that a target takes from all routers together,
// as it stated in a response.
type StatedLimit struct {
	Target      TargetID    `json:"T"`
	Incarnation Incarnation `json:"I"`
	// Limit is 0 if the target stated none.
	Limit RequestRate `json:"L,omitempty"`
	// Age is the time since the response.
	Age time.Duration `json:"A,omitempty"`
}

// Check implements Checker.
func (l *StatedLimit) Check() error {
	if l.Limit < 0 || l.Age < 0 {
		return errors.Errorf("the limit of target %q is %g a second, %s old; neither must be negative", l.Target, l.Limit, l.Age)
	}
	return CheckName("T", string(l.Target))
}

// checkLimits returns the first error of a list, or nil.
func checkLimits(limits []StatedLimit) error {
	for i := range limits {
		if err := limits[i].Check(); err != nil {
			return errors.Wrapf(err, "Limits[%d]", i)
		}
	}
	return nil
}

// Share is a router's part of what is divided among all routers, as an interval of the range from 0
// to 1. The intervals of the routers do not overlap.
type Share struct {
	From float64
	To   float64
}

// Check implements Checker.
func (s *Share) Check() error {
	if s.From < 0 || s.To > 1 || s.From > s.To {
		return errors.Errorf("share is from %g to %g; it must lie between 0 and 1", s.From, s.To)
	}
	return nil
}

// EqualShare returns the share of one of n routers, by its index, if all have the same.
func EqualShare(index, n int) Share {
	return Share{From: float64(index) / float64(n), To: float64(index+1) / float64(n)}
}

// CustomerDemand is what a customer requested since the last report, in tokens: each
// prompt token counts once, whether an engine has it cached or not, and each token to be
// generated counts twice.
type CustomerDemand struct {
	Customer CustomerName `json:"C"`
	Tokens   int          `json:"T"`
	// Sent is the part of Tokens that was sent to engines.
	Sent int `json:"S,omitempty"`
}

// PartWork is the work requested for a shared part of prompts since the last report, in tokens:
// each prompt token that is not shared counts once, each token to generate twice.
type PartWork struct {
	Part   PartID `json:"P"`
	Tokens int    `json:"T"`
}

// HotPart is a shared part of prompts for which the whole fleet gets much work.
type HotPart struct {
	Part            PartID  `json:"P"`
	TokensPerSecond float64 `json:"R"`
}

// SuspectCount is the number of targets that crashed while running requests of a content.
type SuspectCount struct {
	Content ContentHash `json:"C"`
	Crashes int         `json:"N"`
}

// PartID identifies a part of a prompt. Equal parts have equal IDs in the whole fleet.
type PartID uint64

// PartOutcomes has what a router saw, since its last report, of requests to engines in one phase:
// until their answers begin, or from then on until they are sustained.
type PartOutcomes struct {
	// Begun counts the requests that got through the phase, Broken those that broke in it.
	Begun  int `json:",omitempty"`
	Broken int `json:",omitempty"`
	// PartCrashes has the crashes of targets during the phase, AnsweredParts the suspect or
	// quarantined parts with which a request got through it.
	PartCrashes   []PartCrash `json:",omitempty"`
	AnsweredParts []PartID    `json:",omitempty"`
}

// PartCrash is a crash of a target that ran a request whose prompt has the part.
type PartCrash struct {
	Part        PartID      `json:"P"`
	Target      TargetID    `json:"T"`
	Incarnation Incarnation `json:"I"`
}

// QuarantinedPart is a part of a prompt that crashes targets. Requests with it are refused.
type QuarantinedPart struct {
	Part PartID `json:"P"`
	// Remaining is the time until the quarantine ends.
	Remaining time.Duration `json:"R"`
}

// ServiceSlowness is the time to the first byte of a service's answers, as a multiple of the
// time expected from its rated capacity.
type ServiceSlowness struct {
	Service  ServiceName `json:"S"`
	Slowness float64     `json:"X"`
}

// RouterLoad is a router's report to the control host that collects loads.
type RouterLoad struct {
	Host HostID
	// Sequence grows with each report. It is 0 in a mere heartbeat, which goes to the
	// control hosts that do not collect loads.
	Sequence Sequence         `json:",omitempty"`
	Targets  []TargetLoad     `json:",omitempty"`
	Demand   []CustomerDemand `json:",omitempty"`
	// Asked is the work that all customers requested since the last report, Admitted the
	// part of it that was sent to engines. Both are in tokens, without those of shared
	// prompt parts.
	Asked    int `json:",omitempty"`
	Admitted int `json:",omitempty"`
	// RefusedLate is the part of Asked that was refused because its answers would have been late,
	// counted as in Asked.
	RefusedLate int `json:",omitempty"`
	// Capacity is the rated capacity of all model engines, in tokens a second, counted as
	// in Asked.
	Capacity float64        `json:",omitempty"`
	Suspects []SuspectCount `json:",omitempty"`
	// PartOutcomes is of the requests until their answers begin, BegunOutcomes of those whose
	// answers have begun, until they are sustained.
	PartOutcomes
	BegunOutcomes PartOutcomes `json:",omitzero"`
	// AnsweredTargets has the suspect targets that have begun an answer since the last report.
	AnsweredTargets []TargetID `json:",omitempty"`
	// Quarantined has the quarantines that the router enforces, KnownSuspects the crashes that the
	// newest digests named, both for a new leader.
	Quarantined   []QuarantinedPart `json:",omitempty"`
	KnownSuspects []SuspectCount    `json:",omitempty"`
	// Parts has the work for shared parts of prompts.
	Parts []PartWork `json:",omitempty"`
	// Slowness has the services whose answers the router measured in the last seconds.
	Slowness []ServiceSlowness `json:",omitempty"`
	// Calls is the number of requests since the last report.
	Calls int `json:",omitempty"`
	// Limits has what targets with a limit stated to this router since the last report.
	Limits []StatedLimit `json:",omitempty"`
	// Rollouts has the outcomes of the requests to services with an active roll-out.
	Rollouts []VersionOutcomes `json:",omitempty"`
	// Paces has the targets of engines that answered since the last report.
	Paces []PaceSamples `json:",omitempty"`
	// Stopping is true once the router accepts no new callers.
	Stopping bool `json:",omitempty"`
	// Utilisation is the fraction of its capacity that the router uses; it may exceed 1.
	Utilisation float64 `json:",omitempty"`
	// Away is the fraction of the router's callers that should use other routers, 0 to 1.
	Away float64 `json:",omitempty"`
	// Room is the router's capacity for callers.
	Room Room `json:",omitzero"`
}

// Check implements Checker.
func (r *RouterLoad) Check() error {
	if r.Away < 0 || r.Away > 1 {
		return errors.Errorf("Away is %g; it must be from 0 to 1", r.Away)
	}
	for _, w := range r.Parts {
		if w.Tokens < 0 {
			return errors.Errorf("the work for part %d is %d tokens; it must not be negative", w.Part, w.Tokens)
		}
	}
	if r.RefusedLate < 0 {
		return errors.Errorf("RefusedLate is %d; it must not be negative", r.RefusedLate)
	}
	if r.Calls < 0 {
		return errors.Errorf("Calls is %d; it must not be negative", r.Calls)
	}
	if err := checkLimits(r.Limits); err != nil {
		return err
	}
	for i := range r.Rollouts {
		if err := r.Rollouts[i].Check(); err != nil {
			return errors.Wrapf(err, "Rollouts[%d]", i)
		}
	}
	if err := checkEach("Paces", r.Paces); err != nil {
		return err
	}
	if r.Utilisation < 0 {
		return errors.Errorf("Utilisation is %g; it must not be negative", r.Utilisation)
	}
	if err := r.Room.Check(); err != nil {
		return errors.Wrap(err, "Room")
	}
	return CheckName("Host", string(r.Host))
}

// ConfigRequest requests the newest configuration that a control host knows to be committed.
type ConfigRequest struct{}

// Check implements Checker.
func (*ConfigRequest) Check() error { return nil }

// ConfigReply is the newest configuration that a control host knows to be committed.
type ConfigReply struct {
	NumberedConfig
}

// Check implements Checker.
func (*ConfigReply) Check() error { return nil }
