package placement_test

import (
	"testing"

	"github.com/fuchsiashed/fuchsiashed/fleet/placement"
)

// BenchmarkPlace measures the placement of one request over the targets of a large service.
func BenchmarkPlace(b *testing.B) {
	f := newFixture(b, "router-0", 73, announcements(drafterService, 140)...)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		s, ok := f.ask("/plan/", prompt(placement.PartID(i%552+1), 100)).(placement.Send)
		if !ok {
			b.Fatal("the request was refused")
		}
		f.end(s, placement.Answered)
	}
}
