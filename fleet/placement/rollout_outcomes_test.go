package placement_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"
)

// outcomes returns the outcomes in the next report.
func (f *fixture) outcomes() []fleet.VersionOutcomes {
	return f.apply(placement.ReportDue{}).(placement.Report).Rollouts
}

// answer sends a call whose answer begins after a time and returns the Send.
func (f *fixture) answer(path string, p placement.Prompt, after func(placement.Send) time.Duration) placement.Send {
	s := sendOf(f.ask(path, p))
	f.apply(placement.SendDue{Call: s.Call, Attempt: s.Attempt})
	f.now = f.now.Add(after(s))
	f.apply(placement.AnswerBegun{Call: s.Call, Attempt: s.Attempt, Stream: true})
	return s
}

// TestOutcomesOfARollout guards against a version that is judged by what is not its fault, or by
// less than what happened.
func TestOutcomesOfARollout(t *testing.T) {
	inTime := func(placement.Send) time.Duration { return 40 * time.Millisecond }
	convey.Convey("An attempt counts by its end", t, func() {
		type counts struct{ answers, bad, begun int }
		for _, c := range []struct {
			end           placement.Outcome
			begun, failed bool
			want          counts
		}{
			{placement.Answered, true, false, counts{1, 0, 1}},
			{placement.Answered, true, true, counts{1, 1, 0}},
			{placement.FailedAnswer, true, true, counts{1, 1, 0}},
			{placement.Truncated, true, false, counts{1, 1, 1}},
			{placement.Broken, false, false, counts{1, 1, 0}},
			{placement.Expired, true, false, counts{1, 1, 1}},
			{placement.Expired, false, false, counts{1, 1, 1}},
			{placement.CallerGone, true, false, counts{0, 0, 1}},
			{placement.CallerGone, false, false, counts{}},
			{placement.Declined, false, false, counts{}},
			{placement.Misdirected, false, false, counts{}},
			{placement.Unreached, false, false, counts{}},
			{placement.Withdrawn, false, false, counts{}},
		} {
			f := newRolloutFixture(t, 4, 2, 1)
			s := sendOf(f.ask("/file/1", placement.Prompt{}))
			f.now = f.now.Add(40 * time.Millisecond)
			if c.begun {
				f.apply(placement.AnswerBegun{Call: s.Call, Attempt: s.Attempt, Failed: c.failed})
			}
			f.end(s, c.end)
			got := counts{}
			for _, o := range f.outcomes() {
				convey.So(o.Check(), convey.ShouldBeNil)
				if o.Route != "" {
					convey.So(o.Route, convey.ShouldEqual, "file")
					convey.So(o.New, convey.ShouldBeTrue)
					// Plain requests are expected to take 30 ms.
					got = counts{o.Answers, o.Bad, o.Slowness[2]}
				}
			}
			convey.So(got, convey.ShouldResemble, c.want)
		}
	})
	convey.Convey("Outcomes are reported once, by route and side, while the roll-out is active", t, func() {
		f := newRolloutFixture(t, 4, 2, 1)
		f.end(f.answer("/file/1", placement.Prompt{}, inTime), placement.Answered)
		f.noticeBoth(active(2, 0))
		f.end(f.answer("/read/1", placement.Prompt{}, inTime), placement.Answered)
		sendOf(f.ask("/file/1", placement.Prompt{}))
		counted := func(o fleet.VersionOutcomes) fleet.VersionOutcomes {
			o.Service, o.Number, o.Revision, o.Answers, o.Slowness = deskService, 7, 2, 1, [fleet.SlownessBuckets]int{2: 1}
			return o
		}
		running := fleet.VersionOutcomes{Service: deskService, Number: 7, Revision: 2, Running: 1}
		convey.So(f.outcomes(), convey.ShouldResemble, []fleet.VersionOutcomes{
			running, counted(fleet.VersionOutcomes{Route: "read"}), counted(fleet.VersionOutcomes{Route: "file", New: true}),
		})
		convey.So(f.outcomes(), convey.ShouldResemble, []fleet.VersionOutcomes{running})
		f.noticeBoth(ended(fleet.RolloutReverted))
		convey.So(f.outcomes(), convey.ShouldBeEmpty)
	})
	convey.Convey("Answers of targets that warm up are left out, but not those of a target whose connections break", t, func() {
		f := newRolloutFixture(t, 4, 2, 1)
		for range 2 {
			f.end(sendOf(f.ask("/plan/1", prompt(1, 100))), placement.Broken)
		}
		f.changeTargets(4, 2, func(a *fleet.AgedAnnouncement) { a.ColdFor = time.Minute })
		s := f.answer("/plan/1", prompt(1, 100), inTime)
		f.end(s, placement.Broken)
		got := f.outcomes()
		convey.So(len(got), convey.ShouldEqual, 1)
		convey.So(got[0].New, convey.ShouldBeTrue)
		convey.So([]int{got[0].Answers, got[0].Bad}, convey.ShouldResemble, []int{2, 2})
	})
}

// TestSlownessOfAVersion guards against a slow version that a router expects to be slow after some
// answers, and against a good one that is slow because its targets' caches are empty. The load is 4
// requests/s of 3,000 own and 10,000 shared tokens, at targets of 22,500 tokens/s.
func TestSlownessOfAVersion(t *testing.T) {
	const calls = 400
	// tooSlow returns the part of the answers of a side that took twice the expected time or more.
	tooSlow := func(outcomes []fleet.VersionOutcomes, isNew bool) float64 {
		slow, all := 0, 0
		for _, o := range outcomes {
			for bucket, n := range o.Slowness {
				if o.New == isNew {
					all += n
					if bucket >= 3 {
						slow += n
					}
				}
			}
		}
		return float64(slow) / float64(all)
	}
	play := func(newIsSlower float64, paces ...fleet.TargetPace) []fleet.VersionOutcomes {
		f := newRolloutFixture(t, 8, 4, 0.5)
		cached := map[fleet.TargetID]map[placement.PartID]bool{}
		for i := range calls {
			f.apply(placement.DigestReceived{LoadDigest: fleet.LoadDigest{Paces: paces, PacesKnown: paces != nil}})
			key := placement.PartID(1 + i%10)
			f.end(f.answer("/plan/1", prompt(key, 3000), func(s placement.Send) time.Duration {
				tokens := 3000.0
				if s.SoftwareVersion == "v2" && !cached[s.Target][key] {
					tokens += 10_000
				}
				if cached[s.Target] == nil {
					cached[s.Target] = map[placement.PartID]bool{}
				}
				cached[s.Target][key] = true
				d := 30*time.Millisecond + time.Duration(tokens/22_500*float64(time.Second))
				if s.SoftwareVersion == "v2" {
					return time.Duration(float64(d) * newIsSlower)
				}
				return d
			}), placement.Answered)
			f.now = f.now.Add(50 * time.Millisecond)
			f.noticeBoth(active(1, 0.5))
		}
		return f.outcomes()
	}
	convey.Convey("A version that answers 3 times as slowly looks slow, however long that is known", t, func() {
		got := play(3)
		convey.So(tooSlow(got, true), convey.ShouldBeGreaterThan, 0.95)
		convey.So(tooSlow(got, false), convey.ShouldBeLessThan, 0.05)
	})
	convey.Convey("It looks as slow if the fleet has learnt the pace of its targets", t, func() {
		var paces []fleet.TargetPace
		for _, a := range mixedVersions(8, 4)[4:] {
			paces = append(paces, fleet.TargetPace{Target: a.Target, Incarnation: a.Incarnation, Pace: 3})
		}
		got := play(3, paces...)
		convey.So(tooSlow(got, true), convey.ShouldBeGreaterThan, 0.95)
		convey.So(tooSlow(got, false), convey.ShouldBeLessThan, 0.05)
	})
	convey.Convey("A good version whose targets have empty caches does not", t, func() {
		got := play(1)
		convey.So(tooSlow(got, true), convey.ShouldBeLessThan, 0.05)
		convey.So(tooSlow(got, false), convey.ShouldBeLessThan, 0.05)
	})
}
