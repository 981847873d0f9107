package placement_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/deployment"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"
)

// copyEngine is that of the exam platform, which transfers 10,000 tokens in 9 ms. A target of the
// fixture with three targets processes them in 333 ms.
var copyEngine = deployment.Engine{Slots: 64, CacheTokens: 769_350, CacheBytesPerToken: 18_432, LinkMbps: 370_000}

// newCopyFixture returns a fixture whose targets run the engine.
func newCopyFixture(t testing.TB, engine deployment.Engine, targets ...fleet.AgedAnnouncement) *fixture {
	f := newFixture(t, "router-0", 1, targets...)
	changed := *f.config
	changed.Services = append([]deployment.Service(nil), changed.Services...)
	changed.Services[0].Engine = &engine
	config, err := deployment.New(changed)
	if err != nil {
		t.Fatal(err)
	}
	f.config = config
	f.apply(placement.ConfigChanged{Config: config})
	return f
}

// ownersInOrder returns the targets in the rendezvous order of part 1.
func ownersInOrder(t testing.TB, targets []fleet.AgedAnnouncement) []fleet.AgedAnnouncement {
	var out []fleet.AgedAnnouncement
	left := append([]fleet.AgedAnnouncement(nil), targets...)
	for len(left) > 0 {
		f := newFixture(t, "router-0", 1, left...)
		s := f.ask("/plan/", prompt(1, 100)).(placement.Send)
		for i, a := range left {
			if a.Target == s.Target {
				out = append(out, a)
				left = append(left[:i], left[i+1:]...)
				break
			}
		}
	}
	return out
}

// askPart sends a request for part 1, which may be repeated.
func (f *fixture) askPart() placement.Send { return sendOf(f.ask("/summary/", prompt(1, 100))) }

func (f *fixture) announce(a fleet.AgedAnnouncement) {
	a.Sequence++
	f.apply(placement.TargetsNoticeReceived{TargetsNotice: fleet.TargetsNotice{Announced: []fleet.AgedAnnouncement{a}}})
}

// TestSourceOfParts guards against requests whose target processes a shared part that another one
// keeps, and against transfers from targets that can't serve them. It fails with CopyParts false.
func TestSourceOfParts(t *testing.T) {
	two := ownersInOrder(t, announcements(drafterService, 2))
	convey.Convey("A request to either owner names the other one, but not if its target surely keeps the part", t, func() {
		f := newCopyFixture(t, copyEngine, two...)
		s := f.askPart()
		convey.So(s.Target, convey.ShouldEqual, two[0].Target)
		convey.So(s.CopyFrom, convey.ShouldEqual, two[1].Address)
		convey.So(s.Basis.CopiedTokens, convey.ShouldEqual, 0)
		again := sendOf(f.end(s, placement.Declined))
		convey.So(again.Target, convey.ShouldEqual, two[1].Target)
		convey.So(again.CopyFrom, convey.ShouldEqual, two[0].Address)
		convey.So(again.Basis.CopiedTokens, convey.ShouldEqual, 10_000)
		f.begin(again)
		f.now = f.now.Add(time.Second)
		f.end(f.askPart(), placement.Declined)
		s = f.askPart()
		convey.So(s.Target, convey.ShouldEqual, two[1].Target)
		convey.So(s.Basis.NoSource, convey.ShouldEqual, placement.PartKept)
	})
	withVersion := two[1]
	withVersion.SoftwareVersion = "v2"
	cold := two[1]
	cold.ColdFor = time.Second
	leaving := two[1]
	leaving.State = fleet.TargetLeaving
	for name, change := range map[string]func(f *fixture){
		"is cold":                 func(f *fixture) { f.announce(cold) },
		"has another version":     func(f *fixture) { f.announce(withVersion) },
		"leaves and runs nothing": func(f *fixture) { f.announce(leaving) },
		"is in a data centre out": func(f *fixture) {
			f.apply(placement.DataCentresOutChanged{Out: []fleet.DataCentreName{two[1].DataCentre}})
		},
		"has a short part only":     func(f *fixture) { f.config.Services[0].Engine.LinkMbps = 1 },
		"must not serve by setting": func(f *fixture) { f.config.Services[0].Engine.LinkMbps = 0 },
	} {
		convey.Convey("A target is not named that "+name, t, func() {
			f := newCopyFixture(t, copyEngine, two...)
			change(f)
			s := f.askPart()
			convey.So(s.Target, convey.ShouldEqual, two[0].Target)
			convey.So(s.CopyFrom.IsValid(), convey.ShouldBeFalse)
		})
	}
}

// TestOwnerThatCrashes guards against transfers from a target that can't be reached or hangs.
func TestOwnerThatCrashes(t *testing.T) {
	two := ownersInOrder(t, announcements(drafterService, 2))
	convey.Convey("A retry does not name the target that could not be reached", t, func() {
		f := newCopyFixture(t, copyEngine, two...)
		s := sendOf(f.end(f.askPart(), placement.Unreached))
		convey.So(s.Target, convey.ShouldEqual, two[1].Target)
		convey.So(s.Basis.NoSource, convey.ShouldEqual, placement.NoHolder)
	})
	convey.Convey("A request that avoids a hung owner does not name it", t, func() {
		f := newCopyFixture(t, copyEngine, two...)
		f.askPart()
		f.now = f.now.Add(2 * time.Second)
		s := f.askPart()
		convey.So(s.Target, convey.ShouldEqual, two[1].Target)
		convey.So(s.Basis.NoSource, convey.ShouldEqual, placement.HoldersUnfit)
	})
}

// TestOwnerThatLeaves guards against the new owners of all parts of a target that leaves processing
// them again, while it still serves.
func TestOwnerThatLeaves(t *testing.T) {
	three := ownersInOrder(t, announcements(drafterService, 3))
	convey.Convey("The new first owner names the target that leaves as long as that serves", t, func() {
		f := newCopyFixture(t, copyEngine, three...)
		f.askPart()
		leaving := three[0]
		leaving.State = fleet.TargetLeaving
		f.announce(leaving)
		s := f.askPart()
		convey.So(s.Target, convey.ShouldEqual, three[1].Target)
		convey.So(s.CopyFrom, convey.ShouldEqual, three[0].Address)
		convey.So(s.Basis.CopiedTokens, convey.ShouldEqual, 10_000)
		f.begin(s)
		f.now = f.now.Add(3 * time.Second)
		convey.So(f.askPart().CopyFrom, convey.ShouldNotEqual, three[0].Address)
	})
	convey.Convey("A target that is new fetches its parts from the owners before it", t, func() {
		f := newCopyFixture(t, copyEngine, three[1:]...)
		started := three[0]
		f.announce(started)
		started.ColdFor = 3 * time.Second
		started.Incarnation++
		f.announce(started)
		f.now = f.now.Add(4 * time.Second)
		s := f.askPart()
		convey.So(s.Target, convey.ShouldEqual, started.Target)
		convey.So(s.CopyFrom, convey.ShouldEqual, three[1].Address)
		convey.So(s.Basis.CopiedTokens, convey.ShouldEqual, 10_000)
	})
}

// TestSourceThatHangs guards against requests that wait for a source which does not answer fetching
// targets, though it may answer requests: each of them would be late.
func TestSourceThatHangs(t *testing.T) {
	two := ownersInOrder(t, announcements(drafterService, 2))
	// Without a known size of the cache no part counts as kept.
	engine := copyEngine
	engine.CacheTokens = 0
	isNamed := func(f *fixture) bool {
		s := f.askPart()
		convey.So(s.Target, convey.ShouldEqual, two[0].Target)
		f.end(s, placement.CallerGone)
		return s.CopyFrom.IsValid()
	}
	convey.Convey("A source is not named while an answer with it is late, nor for a time after it that doubles", t, func() {
		f := newCopyFixture(t, engine, two...)
		for _, backOff := range []time.Duration{time.Second, 2 * time.Second} {
			s := f.askPart()
			convey.So(s.CopyFrom, convey.ShouldEqual, two[1].Address)
			f.now = f.now.Add(s.Basis.ExpectedFirstByte + 290*time.Millisecond)
			convey.So(isNamed(f), convey.ShouldBeTrue)
			f.now = f.now.Add(500 * time.Millisecond)
			convey.So(isNamed(f), convey.ShouldBeFalse)
			f.begin(s)
			f.end(s, placement.Answered)
			f.now = f.now.Add(backOff - time.Millisecond)
			convey.So(isNamed(f), convey.ShouldBeFalse)
			f.now = f.now.Add(time.Millisecond)
			convey.So(isNamed(f), convey.ShouldBeTrue)
		}
	})
	convey.Convey("A source is not named for a second after an answer with it broke off before it was sustained", t, func() {
		f := newCopyFixture(t, engine, two...)
		s := f.askPart()
		f.begin(s)
		effects := f.Reduce(f.now, placement.AttemptEnded{Call: s.Call, Attempt: s.Attempt, Outcome: placement.Truncated})
		convey.So(effects[0].(placement.TransferEnded).BackOff, convey.ShouldEqual, time.Second)
		convey.So(isNamed(f), convey.ShouldBeFalse)
	})
}

// TestTargetsBeforeTheConfiguration guards against a router that fails at its start: it may know
// targets before it has a configuration.
func TestTargetsBeforeTheConfiguration(t *testing.T) {
	convey.Convey("A router without a configuration accepts announcements and ticks", t, func() {
		r := placement.New(placement.Config{Self: "router-0", Policy: placement.DefaultPolicy})
		notice := fleet.TargetsNotice{Announced: announcements("drafter", 1)}
		r.Reduce(time.Unix(1, 0), placement.TargetsNoticeReceived{TargetsNotice: notice})
		convey.So(r.Reduce(time.Unix(2, 0), placement.Tick{}), convey.ShouldBeEmpty)
	})
}
