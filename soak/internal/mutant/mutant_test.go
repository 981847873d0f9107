package mutant

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestMechanisms(t *testing.T) {
	convey.Convey("Each mechanism is still found in the sources", t, func() {
		root, err := Root(t.Context())
		convey.So(err, convey.ShouldBeNil)
		for _, name := range Names() {
			_, err := write(root, t.TempDir(), name)
			convey.So(err, convey.ShouldBeNil)
		}
		_, err = write(root, t.TempDir(), "Other")
		convey.So(err, convey.ShouldNotBeNil)
	})
}
