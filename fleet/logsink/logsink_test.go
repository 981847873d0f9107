package logsink_test

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/logsink"
)

// stalled is a writer that takes nothing until it is released.
type stalled struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

func TestStalledOutput(t *testing.T) {
	convey.Convey("An output that stands still blocks nobody, and the lines that tell of failures are kept", t, func() {
		out := &stalled{release: make(chan struct{})}
		sink := logsink.New(out, fleet.SystemClock{})
		log := sink.Logger(slog.LevelInfo)
		done := make(chan struct{})
		go func() {
			for range 10_000 {
				log.Info("Common")
			}
			for range 500 {
				log.Warn("Failed")
			}
			close(done)
		}()
		select {
		case <-done:
		case <-time.After(5 * time.Second):
			convey.So("logging", convey.ShouldEqual, "not blocked")
		}
		close(out.release)
		sink.Close(5 * time.Second)
		text := out.buf.String()
		convey.So(strings.Count(text, `"Failed"`), convey.ShouldEqual, 500)
		convey.So(strings.Count(text, `"Common"`), convey.ShouldBeLessThan, 10_000)
		convey.So(text, convey.ShouldContainSubstring, `"LogLinesDropped"`)
	})
}
