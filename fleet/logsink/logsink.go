// Package logsink writes structured logs without ever making the caller wait: lines go
// through a bounded queue, and what does not fit is counted and dropped.
package logsink

import (
	"context"
	"expvar"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
	"github.com/fuchsiashed/fuchsiashed/fleet/program"
)

const (
	// queueLines bounds the lines that wait to be written.
	queueLines = 4096
	// reservedLines is the part of the queue that only warnings and errors may use:
	// these explain the requests that failed.
	reservedLines = 1024
	// batchBytes is how much is written at once; under load one write takes many lines.
	batchBytes = 64 << 10
	// dropReport is the shortest time between two lines that tell of dropped ones.
	dropReport = time.Second
)

var dropped = expvar.NewInt("LogLinesDropped")

// Sink is a queue of lines before a writer.
type Sink struct {
	out   io.Writer
	clock fleet.Clock
	lines chan []byte
	lost  atomic.Int64
	done  chan struct{}
}

// New makes a sink and starts to write.
func New(out io.Writer, clock fleet.Clock) *Sink {
	s := &Sink{out: out, clock: clock, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go s.write()
	return s
}

// Logger returns a logger that writes JSON lines to the sink.
func (s *Sink) Logger(level slog.Level) *slog.Logger {
	opts := &slog.HandlerOptions{Level: level, ReplaceAttr: program.ErrorText}
	return slog.New(&handler{
		common: slog.NewJSONHandler(&queue{sink: s, reserve: reservedLines}, opts),
		urgent: slog.NewJSONHandler(&queue{sink: s}, opts),
	})
}

// Close writes what waits and ends the sink; lines after it are lost.
func (s *Sink) Close(limit time.Duration) {
	close(s.lines)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
	}
}

func (s *Sink) write() {
	defer close(s.done)
	reported := time.Time{}
	var batch []byte
	for line := range s.lines {
		batch = s.gather(append(batch[:0], line...))
		// A log that can't be written has nowhere else to be reported.
		_, _ = s.out.Write(batch)
		if s.lost.Load() == 0 || s.clock.Now().Sub(reported) < dropReport {
			continue
		}
		reported = s.clock.Now()
		note := slog.New(slog.NewJSONHandler(s.out, nil))
		note.Warn(logevent.LogLinesDropped, "lines", s.lost.Swap(0))
	}
}

// gather adds the lines that wait, as far as one write takes them.
func (s *Sink) gather(batch []byte) []byte {
	for len(batch) < batchBytes {
		select {
		case line, open := <-s.lines:
			if !open {
				return batch
			}
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// queue is a writer that takes lines while more than reserve places are free.
type queue struct {
	sink    *Sink
	reserve int
}

// Write implements io.Writer. It never waits and never fails.
func (q *queue) Write(p []byte) (int, error) {
	if len(q.sink.lines) < cap(q.sink.lines)-q.reserve {
		select {
		case q.sink.lines <- append([]byte(nil), p...):
			return len(p), nil
		default:
		}
	}
	q.sink.lost.Add(1)
	dropped.Add(1)
	return len(p), nil
}

// handler sends records to one of two handlers by their level.
type handler struct {
	common slog.Handler
	urgent slog.Handler
}

// Enabled implements slog.Handler.
func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.common.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	if r.Level >= slog.LevelWarn {
		return h.urgent.Handle(ctx, r)
	}
	return h.common.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{common: h.common.WithAttrs(attrs), urgent: h.urgent.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{common: h.common.WithGroup(name), urgent: h.urgent.WithGroup(name)}
}
