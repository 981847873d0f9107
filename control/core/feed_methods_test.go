package core

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// TestFeedMethods guards against messages of the feed that are passed to the quorum, which
// rejects them.
func TestFeedMethods(t *testing.T) {
	convey.Convey("All methods of the feed are recognised, those of the quorum are not", t, func() {
		for _, m := range []string{
			fleet.MethodJoin, fleet.MethodLoad, fleet.MethodNotice, fleet.MethodTargets, fleet.MethodIncluded,
			fleet.MethodDigest, fleet.MethodConfig, fleet.MethodStreamsBegun, fleet.MethodStreamOrigin,
		} {
			convey.So(fleet.IsFeedMethod(m), convey.ShouldBeTrue)
		}
		convey.So(fleet.IsFeedMethod(fleet.MethodPutConfig), convey.ShouldBeFalse)
	})
}
