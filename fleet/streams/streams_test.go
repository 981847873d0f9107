package streams

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

func origin(i int, version fleet.SoftwareVersion) fleet.StreamOrigin {
	return fleet.StreamOrigin{Stream: fleet.RequestID(fmt.Sprint("r-", i)), Service: "s", Version: version}
}

func TestStore(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	convey.Convey("The first origin of a stream is kept until its retention ends", t, func() {
		s := New()
		s.Add(now, origin(1, "v1"))
		s.Add(now.Add(time.Second), origin(1, "v2"))
		o, ok := s.Find(now.Add(retention), "r-1")
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(o.Version, convey.ShouldEqual, fleet.SoftwareVersion("v1"))
		_, ok = s.Find(now.Add(retention+time.Nanosecond), "r-1")
		convey.So(ok, convey.ShouldBeFalse)
		convey.So(s.All(now.Add(retention+time.Nanosecond)), convey.ShouldBeEmpty)
	})
	convey.Convey("The number of origins is bounded", t, func() {
		s := New()
		for i := range maxOrigins + 10 {
			s.Add(now, origin(i, "v1"))
		}
		convey.So(len(s.All(now)), convey.ShouldEqual, maxOrigins)
		_, ok := s.Find(now, "r-9")
		convey.So(ok, convey.ShouldBeFalse)
		_, ok = s.Find(now, fleet.RequestID(fmt.Sprint("r-", maxOrigins+9)))
		convey.So(ok, convey.ShouldBeTrue)
	})
}
