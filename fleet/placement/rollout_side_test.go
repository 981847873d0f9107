package placement_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"
)

// newRolloutFixture returns a router that knows engines and plain targets, of which old each run
// version v1 and the others v2, and roll-outs of both services with a share.
func newRolloutFixture(t *testing.T, n, old int, share float64) *fixture {
	targets := mixedVersions(n, old)
	for i := range n {
		a := announcement(deskService, firstDesk+i)
		a.SoftwareVersion = targets[i].SoftwareVersion
		targets = append(targets, a)
	}
	f := newFixture(t, "router-0", 1, targets...)
	f.noticeBoth(active(1, share))
	return f
}

// noticeBoth passes on a notice with the same state of the roll-outs of both services.
func (f *fixture) noticeBoth(r fleet.Rollout) {
	desk := r
	desk.Service = deskService
	f.notice(0, r, desk)
}

// changeTargets announces the n engines again, after a change.
func (f *fixture) changeTargets(n, old int, change func(a *fleet.AgedAnnouncement)) {
	var notice fleet.TargetsNotice
	for _, a := range mixedVersions(n, old) {
		a.Sequence = 2
		change(&a)
		notice.Announced = append(notice.Announced, a)
	}
	f.apply(placement.TargetsNoticeReceived{TargetsNotice: notice})
}

// leaveVersion has the engines of a version leave.
func (f *fixture) leaveVersion(n, old int, v fleet.SoftwareVersion) {
	f.changeTargets(n, old, func(a *fleet.AgedAnnouncement) {
		if a.SoftwareVersion == v {
			a.State = fleet.TargetLeaving
		}
	})
}

var rolloutPaths = map[string]placement.Prompt{"/plan/1": prompt(1, 100), "/summary/1": prompt(1, 100), "/file/1": {}, "/read/1": {}}

// TestSidesOfARollout guards against calls of any kind that go to the other version of an active
// roll-out, at first or at another attempt.
func TestSidesOfARollout(t *testing.T) {
	convey.Convey("Each call has its side, which it keeps at other attempts while the side has targets", t, func() {
		for path, p := range rolloutPaths {
			f := newRolloutFixture(t, 8, 4, 0.3)
			sent := map[fleet.SoftwareVersion]int{}
			for i := range uint64(300) {
				f.now = f.now.Add(50 * time.Millisecond)
				f.noticeBoth(active(2+2*i, 0.3))
				first := sendOf(f.ask(path, p))
				sent[first.SoftwareVersion]++
				convey.So(first.Basis.Rollout.Side, convey.ShouldEqual, map[fleet.SoftwareVersion]placement.RolloutSide{"v1": placement.SideOld, "v2": placement.SideNew}[first.SoftwareVersion])
				f.noticeBoth(active(3+2*i, 1))
				again := sendOf(f.end(first, placement.Withdrawn))
				convey.So(again.SoftwareVersion, convey.ShouldEqual, first.SoftwareVersion)
				f.apply(placement.AnswerBegun{Call: again.Call, Attempt: again.Attempt})
				f.end(again, placement.Answered)
			}
			convey.So(sent["v2"], convey.ShouldBeBetween, 60, 120)
		}
	})
	convey.Convey("A call whose attempt failed stays on its side", t, func() {
		for _, path := range []string{"/summary/1", "/read/1"} {
			f := newRolloutFixture(t, 8, 4, 0.5)
			for range 3 {
				first := sendOf(f.ask(path, rolloutPaths[path]))
				convey.So(sendOf(f.end(first, placement.Broken)).SoftwareVersion, convey.ShouldEqual, first.SoftwareVersion)
			}
		}
	})
	convey.Convey("A call of the new version whose only target failed goes to the old one and stays there", t, func() {
		f := newRolloutFixture(t, 4, 3, 1)
		first := sendOf(f.ask("/summary/1", prompt(1, 100)))
		convey.So(first.SoftwareVersion, convey.ShouldEqual, fleet.SoftwareVersion("v2"))
		again := sendOf(f.end(first, placement.Broken))
		convey.So(again.Basis.Rollout.Side, convey.ShouldEqual, placement.SideNewUnavailable)
		convey.So(sendOf(f.end(again, placement.Broken)).SoftwareVersion, convey.ShouldEqual, fleet.SoftwareVersion("v1"))
	})
	convey.Convey("A call of the new version that went to the old one stays there when new targets return", t, func() {
		f := newRolloutFixture(t, 4, 2, 1)
		f.leaveVersion(4, 2, "v2")
		s := sendOf(f.ask("/plan/1", prompt(1, 100)))
		f.changeTargets(4, 2, func(a *fleet.AgedAnnouncement) { a.Sequence = 3 })
		convey.So(sendOf(f.end(s, placement.Withdrawn)).SoftwareVersion, convey.ShouldEqual, fleet.SoftwareVersion("v1"))
		convey.So(f.newShare(1), convey.ShouldEqual, 1)
	})
	convey.Convey("Cold targets of the new version keep their limit; the other calls go to the old version", t, func() {
		f := newRolloutFixture(t, 4, 2, 1)
		f.changeTargets(4, 2, func(a *fleet.AgedAnnouncement) {
			if a.SoftwareVersion == "v2" {
				a.ColdFor = time.Minute
			}
		})
		// The limit of a target is ColdRate (6 a second) times Overshoot (1.5) plus Slack (5).
		convey.So(f.newShare(100), convey.ShouldBeBetweenOrEqual, 0.01, 0.28)
	})
	convey.Convey("A shared part has owners of its own among the targets of each version, a hot one as many as the share needs", t, func() {
		most := placement.DefaultPolicy.Owners
		for hotRate, want := range map[float64][2]int{0: {most, most}, 30_000: {8, 3}} {
			f := newRolloutFixture(t, 32, 16, 0.2)
			f.apply(placement.DigestReceived{LoadDigest: fleet.LoadDigest{HotParts: []fleet.HotPart{{Part: 1, TokensPerSecond: hotRate}}}})
			owners := map[fleet.SoftwareVersion]map[fleet.TargetID]bool{"v1": {}, "v2": {}}
			for range 300 {
				s := sendOf(f.ask("/plan/1", prompt(1, 100)))
				owners[s.SoftwareVersion][s.Target] = true
				f.end(s, placement.CallerGone)
			}
			// A target takes 90,000/16 tokens a second, half of them for one part: the old version needs 9
			// targets, of which the half of 16 is the limit, and the new one 3.
			convey.So(len(owners["v1"]), convey.ShouldBeBetweenOrEqual, 1, want[0])
			convey.So(len(owners["v1"]) > most, convey.ShouldEqual, hotRate > 0)
			convey.So(len(owners["v2"]), convey.ShouldBeBetweenOrEqual, 1, want[1])
		}
	})
	convey.Convey("The targets that a roll-out adds do not lower the rate at which each is expected to work", t, func() {
		expected := func(f *fixture) time.Duration {
			return sendOf(f.ask("/plan/1", prompt(1, 3000))).Basis.ExpectedFirstByte
		}
		before := expected(newFixture(t, "router-0", 1, mixedVersions(8, 8)...))
		convey.So(expected(newRolloutFixture(t, 16, 8, 0)), convey.ShouldEqual, before)
		reverted := newRolloutFixture(t, 24, 8, 0)
		reverted.noticeBoth(ended(fleet.RolloutReverted))
		convey.So(expected(reverted), convey.ShouldEqual, before)
	})
}

// TestOldVersionIsGone guards against calls of the old version that move to a version which may be
// bad, and against a router that refuses all calls after the old targets were stopped.
func TestOldVersionIsGone(t *testing.T) {
	refusal := func(e fleet.Effect) fleet.Reason { return e.(placement.Refuse).Reason }
	convey.Convey("A call of the old version is refused, unless the roll-out is completed", t, func() {
		f := newRolloutFixture(t, 4, 2, 0)
		f.leaveVersion(4, 2, "v1")
		convey.So(refusal(f.ask("/plan/1", prompt(1, 100))), convey.ShouldEqual, fleet.ReasonNoTarget)
		f.noticeBoth(ended(fleet.RolloutCompleted))
		convey.So(f.newShare(20), convey.ShouldEqual, 1)
	})
	convey.Convey("A call is refused after a reverted roll-out, also without contact", t, func() {
		f := newRolloutFixture(t, 4, 2, 1)
		f.noticeBoth(ended(fleet.RolloutReverted))
		f.leaveVersion(4, 2, "v1")
		f.now = f.now.Add(time.Minute)
		convey.So(refusal(f.ask("/plan/1", prompt(1, 100))), convey.ShouldEqual, fleet.ReasonNoTarget)
	})
	convey.Convey("A router without contact uses the new version once no target of the old one is left, or none can be reached", t, func() {
		f := newRolloutFixture(t, 4, 2, 0.1)
		f.now = f.now.Add(3 * time.Second)
		f.apply(placement.PeersChanged{Routers: hosts(1)})
		for range 2 * 3 {
			s, ok := f.ask("/plan/1", prompt(1, 100)).(placement.Send)
			for ok && s.SoftwareVersion == "v1" {
				s, ok = f.end(s, placement.Unreached).(placement.Send)
			}
		}
		s := sendOf(f.ask("/plan/1", prompt(1, 100)))
		convey.So(s.SoftwareVersion, convey.ShouldEqual, fleet.SoftwareVersion("v2"))
		convey.So(s.Basis.Rollout.Side, convey.ShouldEqual, placement.SideOldGone)
		f = newRolloutFixture(t, 4, 2, 0.1)
		f.now = f.now.Add(3 * time.Second)
		convey.So(f.newShare(20), convey.ShouldEqual, 0)
		f.leaveVersion(4, 2, "v1")
		convey.So(f.newShare(20), convey.ShouldEqual, 1)
	})
	convey.Convey("After a completed roll-out a router uses old targets only if no new one is healthy, and a later version like the new one", t, func() {
		f := newRolloutFixture(t, 6, 3, 0)
		f.noticeBoth(ended(fleet.RolloutCompleted))
		convey.So(f.newShare(50), convey.ShouldEqual, 1)
		f.now = f.now.Add(10 * time.Second)
		f.changeTargets(6, 3, func(a *fleet.AgedAnnouncement) {
			if a.SoftwareVersion == "v2" && a.Target != "drafter-5" {
				a.SoftwareVersion = "v3"
			}
		})
		versions := map[fleet.SoftwareVersion]bool{}
		for key := range placement.PartID(50) {
			s := sendOf(f.ask("/plan/1", prompt(key+1, 100)))
			versions[s.SoftwareVersion] = true
			f.end(s, placement.Answered)
		}
		convey.So(versions, convey.ShouldResemble, map[fleet.SoftwareVersion]bool{"v2": true, "v3": true})
		f = newRolloutFixture(t, 6, 3, 0)
		f.noticeBoth(ended(fleet.RolloutCompleted))
		f.leaveVersion(6, 3, "v2")
		convey.So(f.newShare(20), convey.ShouldEqual, 0)
	})
}

// TestRolloutIsRevertedBeforeTheWrite guards against a router short of processor time that writes a
// request to the new version seconds after the roll-out was reverted.
func TestRolloutIsRevertedBeforeTheWrite(t *testing.T) {
	convey.Convey("An attempt at the new version is withdrawn once the roll-out is reverted or suspended", t, func() {
		for _, revert := range []func(f *fixture){
			func(f *fixture) { f.noticeBoth(ended(fleet.RolloutReverted)) },
			func(f *fixture) { f.now = f.now.Add(2600 * time.Millisecond) },
		} {
			for path, p := range rolloutPaths {
				f := newRolloutFixture(t, 4, 2, 1)
				s := sendOf(f.ask(path, p))
				convey.So(f.apply(placement.SendDue{Call: s.Call, Attempt: s.Attempt}), convey.ShouldBeNil)
				revert(f)
				convey.So(f.apply(placement.SendDue{Call: s.Call, Attempt: s.Attempt}), convey.ShouldHaveSameTypeAs, placement.Withdraw{})
				if f.now.Sub(start) < time.Second {
					convey.So(sendOf(f.end(s, placement.Withdrawn)).SoftwareVersion, convey.ShouldEqual, fleet.SoftwareVersion("v1"))
				}
			}
		}
	})
}

// TestStreamsDuringARollout guards against a stream that goes on at another version, and against one
// that is resumed at a version that was found bad.
func TestStreamsDuringARollout(t *testing.T) {
	origin := func(v fleet.SoftwareVersion) *fleet.StreamOrigin {
		return &fleet.StreamOrigin{Stream: "r-0", Service: drafterService, Version: v}
	}
	convey.Convey("A stream is resumed at the version that began it, whatever the share", t, func() {
		for _, share := range []float64{0, 0.5, 1} {
			f := newRolloutFixture(t, 6, 3, share)
			for _, v := range []fleet.SoftwareVersion{"v1", "v2"} {
				for range 20 {
					s := sendOf(f.apply(placement.CallArrived{Call: f.resume(1, origin(v))}))
					convey.So(s.SoftwareVersion, convey.ShouldEqual, v)
					f.end(s, placement.CallerGone)
				}
			}
		}
	})
	convey.Convey("A stream that breaks off is continued at its version, also after the share has changed", t, func() {
		for before, after := range map[float64]float64{0: 1, 1: 0} {
			f := newRolloutFixture(t, 6, 3, before)
			s := sendOf(f.ask("/summary/1", prompt(1, 100)))
			f.begin(s)
			f.noticeBoth(active(2, after))
			convey.So(sendOf(f.end(s, placement.Broken)).SoftwareVersion, convey.ShouldEqual, s.SoftwareVersion)
		}
	})
	convey.Convey("A stream of the new version is not resumed after the roll-out was reverted", t, func() {
		f := newRolloutFixture(t, 6, 3, 1)
		s := sendOf(f.ask("/summary/1", prompt(1, 100)))
		f.begin(s)
		f.noticeBoth(ended(fleet.RolloutReverted))
		convey.So(f.end(s, placement.Broken).(placement.GiveUp).Reason, convey.ShouldEqual, fleet.ReasonNoTarget)
		convey.So(f.apply(placement.CallArrived{Call: f.resume(1, origin("v2"))}).(placement.Refuse).Reason, convey.ShouldEqual, fleet.ReasonNoTarget)
	})
	convey.Convey("A stream of the old version is resumed after a completed roll-out while old targets are left", t, func() {
		f := newRolloutFixture(t, 6, 3, 1)
		f.noticeBoth(ended(fleet.RolloutCompleted))
		sendOf(f.apply(placement.CallArrived{Call: f.resume(1, origin("v1"))}))
		f.leaveVersion(6, 3, "v1")
		convey.So(f.apply(placement.CallArrived{Call: f.resume(1, origin("v1"))}).(placement.Refuse).Reason, convey.ShouldEqual, fleet.ReasonNoTarget)
	})
}
