package shell

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/registry"
)

// Guards against a data race of a stopping process: Inspect returned while its function still ran.
func TestInspectWaitsForItsFunction(t *testing.T) {
	convey.Convey("With a function of Inspect that runs while the shell is stopped", t, func() {
		s := &Shell{events: make(chan fleet.Event), stop: make(chan struct{}), finished: make(chan struct{})}
		s.wg.Add(1)
		go s.run()
		began, release, returned := make(chan struct{}), make(chan struct{}), make(chan struct{})
		go func() {
			s.Inspect(func(*registry.Server) { close(began); <-release })
			close(returned)
		}()
		<-began
		close(s.stop)
		hasReturned := func(d time.Duration) bool {
			select {
			case <-returned:
				return true
			case <-time.After(d):
				return false
			}
		}
		convey.So(hasReturned(100*time.Millisecond), convey.ShouldBeFalse)
		close(release)
		convey.So(hasReturned(5*time.Second), convey.ShouldBeTrue)
		convey.Convey("Inspect returns at once after the stop", func() {
			s.Inspect(func(*registry.Server) { panic("called after the stop") })
		})
	})
}
