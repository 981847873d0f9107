package mutant

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestMutations(t *testing.T) {
	convey.Convey("The line that each mutation replaces occurs exactly once in the sources", t, func() {
		root, err := WorkspaceRoot(t.Context())
		convey.So(err, convey.ShouldBeNil)
		for _, name := range Names() {
			_, err := writeOverlay(root, t.TempDir(), name)
			convey.So(err, convey.ShouldBeNil)
		}
		_, err = writeOverlay(root, t.TempDir(), "Other")
		convey.So(err, convey.ShouldNotBeNil)
	})
}
