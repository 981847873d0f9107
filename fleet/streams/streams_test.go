package streams

import (
	"fmt"
	"runtime"
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

// BenchmarkStore measures the time to add an origin and the memory that it takes.
func BenchmarkStore(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	origins := make([]fleet.StreamOrigin, 100_000)
	for i := range origins {
		origins[i] = fleet.StreamOrigin{Stream: fleet.RequestID(fmt.Sprintf("%016x", i)), Service: "drafter", Version: "v1.1"}
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var s *Store
	for b.Loop() {
		s = New()
		for _, o := range origins {
			s.Add(now, o)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(origins)), "ns/origin")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(s.origins)), "B/origin")
}
