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
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
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

// counting counts the writes.
type counting struct{ writes, lines int }

func (c *counting) Write(p []byte) (int, error) {
	c.writes++
	c.lines += bytes.Count(p, []byte("\n"))
	return len(p), nil
}

func TestWaitingLinesAreWrittenTogether(t *testing.T) {
	convey.Convey("Lines that waited for a slow output are written together, each once", t, func() {
		out := &stalled{release: make(chan struct{})}
		counted := &counting{}
		sink := logsink.New(&tee{out, counted}, fleet.SystemClock{})
		log := sink.Logger(slog.LevelInfo)
		for range 1000 {
			log.Info("Common")
		}
		close(out.release)
		sink.Close(5 * time.Second)
		convey.So(counted.lines, convey.ShouldEqual, 1000)
		convey.So(counted.writes, convey.ShouldBeLessThan, 10)
	})
}

// tee writes to the second writer what the first one took.
type tee struct {
	first  *stalled
	second *counting
}

func (t *tee) Write(p []byte) (int, error) {
	if _, err := t.first.Write(p); err != nil {
		return 0, err
	}
	return t.second.Write(p)
}

// BenchmarkLine measures a line as a router writes it for each request that it sends.
func BenchmarkLine(b *testing.B) {
	sink := logsink.New(&counting{}, fleet.SystemClock{})
	log := sink.Logger(slog.LevelInfo).With("program", "fuchsiashed-platform router", "host", "frontend-centru-a-2", "datacentre", "centru-a")
	b.ReportAllocs()
	for b.Loop() {
		log.Info(logevent.RequestSent, logevent.FieldRequest, "dc27f7d540c68e7e", logevent.FieldRoute, "r-euasjqd",
			logevent.FieldCustomer, "vose330", logevent.FieldAttempt, 1, logevent.FieldTarget, "i-5b1fa37704",
			logevent.FieldIncarnation, uint64(1783624374022), logevent.FieldRank, 1, logevent.FieldCandidates, 2,
			logevent.FieldWaiting, 0, logevent.FieldRead, 807, logevent.FieldRunning, 2, logevent.FieldExpected, 62,
			logevent.FieldDigestAge, 66)
	}
	sink.Close(time.Second)
}
