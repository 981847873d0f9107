// Package logsink writes structured logs without blocking the caller: lines go through a
// bounded queue, and lines that do not fit are dropped and counted.
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
	// queueCapacity bounds the number of lines that wait to be written.
	queueCapacity = 4096
	// reservedLines is the part of the queue that is reserved for warnings and errors, since
	// these explain failed requests.
	reservedLines = 1024
	// maxBatchBytes is the size at which no more lines are added to a write; under load, one
	// write takes many lines.
	maxBatchBytes = 64 << 10
	// dropReportInterval is the shortest time between two log lines that report dropped lines.
	dropReportInterval = time.Second
)

var droppedLines = expvar.NewInt("LogLinesDropped")

// Sink is a queue of log lines and the goroutine that writes them.
type Sink struct {
	out   io.Writer
	clock fleet.Clock
	lines chan []byte
	// unreportedDrops counts the lines that were dropped since the last line that reports
	// drops.
	unreportedDrops atomic.Int64
	done            chan struct{}
}

// New returns a Sink that writes to out. It runs until Close.
func New(out io.Writer, clock fleet.Clock) *Sink {
	s := &Sink{out: out, clock: clock, lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go s.writeLoop()
	return s
}

// Logger returns a logger that writes JSON lines to the sink.
func (s *Sink) Logger(level slog.Level) *slog.Logger {
	opts := &slog.HandlerOptions{Level: level, ReplaceAttr: program.ErrorText}
	return slog.New(&handler{
		normal:   slog.NewJSONHandler(&queueWriter{sink: s, reserve: reservedLines}, opts),
		priority: slog.NewJSONHandler(&queueWriter{sink: s}, opts),
	})
}

// Close writes the queued lines and stops the sink; it waits no longer than limit. Logging
// after Close panics.
func (s *Sink) Close(limit time.Duration) {
	close(s.lines)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
	}
}

// writeLoop writes the queued lines until the queue is closed.
func (s *Sink) writeLoop() {
	defer close(s.done)
	reported := time.Time{}
	var batch []byte
	for line := range s.lines {
		batch = s.fillBatch(append(batch[:0], line...))
		// There is nowhere to report that the log itself cannot be written.
		_, _ = s.out.Write(batch)
		if s.unreportedDrops.Load() == 0 || s.clock.Now().Sub(reported) < dropReportInterval {
			continue
		}
		reported = s.clock.Now()
		note := slog.New(slog.NewJSONHandler(s.out, nil))
		note.Warn(logevent.LogLinesDropped, "lines", s.unreportedDrops.Swap(0))
	}
}

// fillBatch appends queued lines until the batch has maxBatchBytes or the queue is empty.
func (s *Sink) fillBatch(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
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

// queueWriter is a writer that queues lines while more than reserve places are free.
type queueWriter struct {
	sink    *Sink
	reserve int
}

// Write implements io.Writer. It neither blocks nor fails: a line that does not fit is dropped.
func (q *queueWriter) Write(p []byte) (int, error) {
	if len(q.sink.lines) < cap(q.sink.lines)-q.reserve {
		select {
		case q.sink.lines <- append([]byte(nil), p...):
			return len(p), nil
		default:
		}
	}
	q.sink.unreportedDrops.Add(1)
	droppedLines.Add(1)
	return len(p), nil
}

// handler passes warnings and errors to priority and all other records to normal.
type handler struct {
	normal   slog.Handler
	priority slog.Handler
}

// Enabled implements slog.Handler.
func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.normal.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	if r.Level >= slog.LevelWarn {
		return h.priority.Handle(ctx, r)
	}
	return h.normal.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{normal: h.normal.WithAttrs(attrs), priority: h.priority.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{normal: h.normal.WithGroup(name), priority: h.priority.WithGroup(name)}
}
