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

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

func TestStalledOutput(t *testing.T) {
	convey.Convey("A blocked output does not block loggers, and warnings are kept", t, func() {
		out := &blockedWriter{release: make(chan struct{})}
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

// countingWriter counts writes and lines.
type countingWriter struct{ writes, lines int }

func (c *countingWriter) Write(p []byte) (int, error) {
	c.writes++
	c.lines += bytes.Count(p, []byte("\n"))
	return len(p), nil
}

func TestWaitingLinesAreWrittenTogether(t *testing.T) {
	convey.Convey("Lines that queued for a slow output are written in batches, each once", t, func() {
		out := &blockedWriter{release: make(chan struct{})}
		counted := &countingWriter{}
		sink := logsink.New(&teeWriter{out, counted}, fleet.SystemClock{})
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

// teeWriter writes to the first writer and, once that has succeeded, to the second.
type teeWriter struct {
	first  *blockedWriter
	second *countingWriter
}

func (t *teeWriter) Write(p []byte) (int, error) {
	if _, err := t.first.Write(p); err != nil {
		return 0, err
	}
	return t.second.Write(p)
}

// BenchmarkLine measures a log line with the fields that a router writes for each request that
// it sends.
func BenchmarkLine(b *testing.B) {
	sink := logsink.New(&countingWriter{}, fleet.SystemClock{})
	log := sink.Logger(slog.LevelInfo).With("program", "fuchsiashed-platform router", "host", "frontend-centru-a-2", "datacentre", "centru-a")
	b.ReportAllocs()
	for b.Loop() {
		log.Info(logevent.RequestSent, logevent.FieldRequest, "dc27f7d540c68e7e", logevent.FieldRoute, "r-euasjqd",
			logevent.FieldCustomer, "vose330", logevent.FieldAttempt, 1, logevent.FieldTarget, "i-5b1fa37704",
			logevent.FieldIncarnation, uint64(1783624374022), logevent.FieldRank, 1, logevent.FieldCandidates, 2,
			logevent.FieldQueuedTokens, 0, logevent.FieldPrefillTokens, 807, logevent.FieldRunning, 2, logevent.FieldExpectedFirstByte, 62,
			logevent.FieldDigestAge, 66)
	}
	sink.Close(time.Second)
}
