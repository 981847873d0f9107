package placement_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/deployment"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"
)

var start = time.Unix(1_700_000_000, 0)

const (
	drafterService fleet.ServiceName = "drafter"
	deskService    fleet.ServiceName = "desk"
)

// fixture is a router under test with its configuration and current time.
type fixture struct {
	*placement.Router
	now      time.Time
	config   *deployment.Configuration
	lastCall placement.CallID
}

func testConfig(t testing.TB) *deployment.Configuration {
	c, err := deployment.New(deployment.Configuration{
		Number: 1, TokensPerSecond: 90_000,
		Services: []deployment.Service{
			{Name: drafterService, Connections: 370, ColdFor: 3 * time.Second, ColdRate: 6, Engine: &deployment.Engine{Slots: 64}},
			{Name: deskService, Connections: 110},
		},
		Routes: []deployment.Route{
			{
				Name: "plan", Host: "h", Prefix: "/plan/", Kind: deployment.KindStream, Affinity: true,
				Split: []deployment.WeightedService{{Service: drafterService, Weight: 1}}, Timeout: 6 * time.Second, Goal: 800 * time.Millisecond, Attempts: 1,
			},
			{
				Name: "summary", Host: "h", Prefix: "/summary/", Kind: deployment.KindStream, Affinity: true, Resumable: true,
				Split: []deployment.WeightedService{{Service: drafterService, Weight: 1}}, Timeout: 6 * time.Second, Goal: 800 * time.Millisecond, Attempts: 3,
			},
			{
				Name: "file", Host: "h", Prefix: "/file/", Kind: deployment.KindAtMostOnce,
				Split: []deployment.WeightedService{{Service: deskService, Weight: 1}}, Timeout: time.Second, Goal: 100 * time.Millisecond, Attempts: 1,
			},
			{
				Name: "read", Host: "h", Prefix: "/read/", Kind: deployment.KindIdempotent,
				Split: []deployment.WeightedService{{Service: deskService, Weight: 1}}, Timeout: time.Second, Goal: 100 * time.Millisecond, Attempts: 2,
			},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// newFixture returns the router self, one of the given number of routers, with the given
// targets announced.
func newFixture(t testing.TB, self fleet.HostID, routers int, targets ...fleet.AgedAnnouncement) *fixture {
	return newConfiguredFixture(t, self, routers, func(*placement.Config) {}, targets...)
}

// newConfiguredFixture is newFixture with a configuration that configure changes.
func newConfiguredFixture(t testing.TB, self fleet.HostID, routers int, configure func(*placement.Config), targets ...fleet.AgedAnnouncement) *fixture {
	cfg := placement.Config{
		Self: self, DataCentre: "a", SilentAfter: 6 * time.Second, Policy: placement.DefaultPolicy,
		Retries: placement.RetryLimits{Ratio: 0.2, Extra: 40, Window: 10 * time.Second},
		Cold:    placement.ColdLimits{Overshoot: 1.5, Slack: 5},
	}
	configure(&cfg)
	f := &fixture{now: start, config: testConfig(t), Router: placement.New(cfg)}
	f.apply(placement.ConfigChanged{Config: f.config})
	f.apply(placement.PeersChanged{Routers: hosts(routers), Listening: true})
	f.apply(placement.TargetsNoticeReceived{TargetsNotice: fleet.TargetsNotice{Announced: targets}})
	return f
}

func hosts(n int) []fleet.HostID {
	out := make([]fleet.HostID, n)
	for i := range out {
		out[i] = fleet.HostID(fmt.Sprintf("router-%d", i))
	}
	return out
}

func announcement(service fleet.ServiceName, i int) fleet.AgedAnnouncement {
	return fleet.AgedAnnouncement{Announcement: fleet.Announcement{
		Target: fleet.TargetID(fmt.Sprintf("%s-%d", service, i)), Incarnation: 1, Sequence: 1, Service: service,
		DataCentre: fleet.DataCentreName([]string{"a", "b", "c"}[i%3]), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		Slots: 6, State: fleet.TargetServing,
	}}
}

// mixedVersions returns announcements of n targets, the first old of which run version v1 and
// the others version v2.
func mixedVersions(n, old int) []fleet.AgedAnnouncement {
	out := announcements(drafterService, n)
	for i := range out {
		out[i].SoftwareVersion = "v1"
		if i >= old {
			out[i].SoftwareVersion = "v2"
		}
	}
	return out
}

func announcements(service fleet.ServiceName, n int) []fleet.AgedAnnouncement {
	out := make([]fleet.AgedAnnouncement, n)
	for i := range out {
		out[i] = announcement(service, i)
	}
	return out
}

func (f *fixture) apply(ev fleet.Event) fleet.Effect {
	effects := f.Reduce(f.now, ev)
	if len(effects) == 0 {
		return nil
	}
	return effects[0]
}

// prompt returns a prompt with a shared part of 10,000 tokens and a part of its own.
func prompt(key placement.PartID, own int) placement.Prompt {
	return placement.Prompt{
		Tokens: 10_000 + own, MaxOutput: 100,
		Parts: []placement.PromptPart{{ID: key, Tokens: 10_000}, {ID: key << 32, Tokens: own}},
	}
}

func (f *fixture) call(path string, p placement.Prompt) placement.Call {
	f.lastCall++
	route, _ := f.config.Match("h", path)
	return placement.Call{
		ID: f.lastCall, Request: fleet.RequestID(fmt.Sprint("r-", f.lastCall)), Route: route, Customer: "majori",
		Content: fleet.ContentHash(fmt.Sprint("c-", f.lastCall)), Prompt: p, ArrivedAt: f.now, Deadline: f.now.Add(route.Timeout),
	}
}

func (f *fixture) ask(path string, p placement.Prompt) fleet.Effect {
	return f.apply(placement.CallArrived{Call: f.call(path, p)})
}

// begin reports the first event of the stream that answers a Send and returns the first effect.
func (f *fixture) begin(s placement.Send) fleet.Effect {
	return f.apply(placement.AnswerBegun{Call: s.Call, Attempt: s.Attempt, Stream: true})
}

// end reports the outcome of a Send and returns the first effect.
func (f *fixture) end(s placement.Send, o placement.Outcome) fleet.Effect {
	return f.apply(placement.AttemptEnded{Call: s.Call, Attempt: s.Attempt, Outcome: o})
}

// sendOf asserts that an effect is a Send and returns it.
func sendOf(e fleet.Effect) placement.Send {
	s, ok := e.(placement.Send)
	convey.So(fmt.Sprintf("%T", e), convey.ShouldEqual, "placement.Send")
	if !ok {
		return placement.Send{}
	}
	return s
}
