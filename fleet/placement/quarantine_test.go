package placement_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"
)

// Guards against a part of prompts that is taken for sound because answers begin before the targets
// crash (review, case 4).
func TestCrashesByPhaseOfTheAnswer(t *testing.T) {
	convey.Convey("With a request to a target whose crashes are suspect", t, func() {
		f := newFixture(t, "router-0", 3, announcements(drafterService, 3)...)
		s := sendOf(f.ask("/plan/", prompt(7, 100)))
		f.apply(placement.DigestReceived{LoadDigest: fleet.LoadDigest{
			SuspectParts: []fleet.PartID{7}, SuspectTargets: []fleet.TargetID{s.Target},
		}})
		report := func() fleet.RouterLoad {
			f.now = f.now.Add(time.Second)
			return f.apply(placement.ReportDue{}).(placement.Report).RouterLoad
		}
		crash := []fleet.PartCrash{{Part: 7, Target: s.Target, Incarnation: 1}}
		convey.Convey("a crash before the answer is reported as such", func() {
			f.end(s, placement.Broken)
			r := report()
			convey.So(r.PartOutcomes, convey.ShouldResemble, fleet.PartOutcomes{Broken: 1, PartCrashes: crash})
			convey.So(r.BegunOutcomes, convey.ShouldBeZeroValue)
		})
		convey.Convey("a crash after the first event does not clear the part, and the answer does not refute it", func() {
			f.begin(s)
			f.end(s, placement.Truncated)
			r := report()
			convey.So(r.BegunOutcomes, convey.ShouldResemble, fleet.PartOutcomes{Broken: 1, PartCrashes: crash})
			convey.So(r.AnsweredTargets, convey.ShouldBeEmpty)
		})
		convey.Convey("an answer that goes on clears the part, and a later crash is not due to it", func() {
			f.begin(s)
			f.apply(placement.AnswerSustained{Call: s.Call, Attempt: s.Attempt})
			f.end(s, placement.Truncated)
			convey.So(report().BegunOutcomes, convey.ShouldResemble, fleet.PartOutcomes{Begun: 1, AnsweredParts: []fleet.PartID{7}})
		})
		convey.Convey("an answer that ends soon clears the part", func() {
			f.begin(s)
			f.end(s, placement.Answered)
			convey.So(report().BegunOutcomes.AnsweredParts, convey.ShouldResemble, []fleet.PartID{7})
		})
		convey.Convey("an answer that the caller leaves soon tells nothing", func() {
			f.begin(s)
			f.end(s, placement.CallerGone)
			convey.So(report().BegunOutcomes, convey.ShouldBeZeroValue)
		})
	})
}
