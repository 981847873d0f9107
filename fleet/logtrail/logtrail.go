// Package logtrail merges the structured logs of several processes into the trace of one
// request.
package logtrail

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// contextWindow is the time before a request's first line from which changes of its targets
// and of its router's configuration are included in the trace.
const contextWindow = 3 * time.Second

// Line is one log line.
type Line struct {
	Time time.Time
	Host string
	// Event is the message, one of the events of package logevent.
	Event string
	// Fields holds the fields of the event, without those that every line has.
	Fields map[string]any
}

// stringField returns a field as a string, or "" if it is missing.
func (l *Line) stringField(name string) string {
	v, ok := l.Fields[name]
	if !ok {
		return ""
	}
	return fmt.Sprint(v)
}

// numberField returns a field as a number, or 0 if it is missing.
func (l *Line) numberField(name string) float64 {
	n, _ := l.Fields[name].(float64)
	return n
}

// Read parses a log of one JSON object per line. Text before the first brace of a line is
// ignored. skipped is the number of lines that are not valid log lines.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		line, ok := parseLine(s.Bytes())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, errors.Wrap(s.Err(), "read log")
}

// parseLine parses one line. It reports false if the line has no valid JSON object or time.
func parseLine(raw []byte) (Line, bool) {
	i := bytes.IndexByte(raw, '{')
	if i < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal(raw[i:], &fields) != nil {
		return Line{}, false
	}
	l := Line{Fields: fields, Event: fmt.Sprint(fields["msg"]), Host: fmt.Sprint(fields["host"])}
	at, err := time.Parse(time.RFC3339Nano, fmt.Sprint(fields["time"]))
	if err != nil {
		return Line{}, false
	}
	l.Time = at
	for _, name := range []string{"time", "msg", "host", "level", "program", "datacentre"} {
		delete(fields, name)
	}
	return l, true
}

// RequestTrace is the history of one request.
type RequestTrace struct {
	Request string
	// Lines holds the lines of the request and the changes of its targets and routers, in
	// causal order.
	Lines []Line
	// Cause describes in one sentence how the request ended and why.
	Cause string
	// Missing describes the lines that should be in the logs but are not.
	Missing []string `json:",omitempty"`
}

// TraceRequest returns the trace of a request, given the lines of all logs.
func TraceRequest(lines []Line, request string) RequestTrace {
	trace := RequestTrace{Request: request}
	targets := map[string]bool{}
	hosts := map[string]bool{}
	for i := range lines {
		if l := &lines[i]; l.stringField(logevent.FieldRequest) == request {
			trace.Lines = append(trace.Lines, *l)
			hosts[l.Host] = true
			if t := l.stringField(logevent.FieldTarget); t != "" {
				targets[t] = true
			}
		}
	}
	slices.SortStableFunc(trace.Lines, compareCausally)
	trace.Cause, trace.Missing = findCause(trace.Lines)
	if len(trace.Lines) > 0 {
		trace.addContext(lines, targets, hosts)
	}
	return trace
}

// addContext adds the events from contextWindow before the request's first line to its last
// line that concern its targets, as logged by any process, or the configuration of its
// routers.
func (t *RequestTrace) addContext(lines []Line, targets, hosts map[string]bool) {
	first, last := t.Lines[0].Time.Add(-contextWindow), t.Lines[len(t.Lines)-1].Time
	for _, l := range lines {
		if l.Time.Before(first) || l.Time.After(last) || l.stringField(logevent.FieldRequest) != "" {
			continue
		}
		isTargetChange := (l.Event == logevent.TargetAnnounced || l.Event == logevent.TargetEnded) && targets[l.stringField(logevent.FieldTarget)]
		isRouterChange := (l.Event == logevent.ConfigInForce || l.Event == logevent.StateNoticed || l.Event == logevent.Stopping) && hosts[l.Host]
		if isTargetChange || isRouterChange {
			t.Lines = append(t.Lines, l)
		}
	}
	slices.SortStableFunc(t.Lines, compareCausally)
}

// compareCausally orders the lines of one request at one host by attempt and event, and all
// other lines by time. Time alone is unreliable: clocks can jump and differ between hosts.
func compareCausally(a, b Line) int {
	if a.stringField(logevent.FieldRequest) != "" && a.stringField(logevent.FieldRequest) == b.stringField(logevent.FieldRequest) && a.Host == b.Host {
		return cmp.Or(cmp.Compare(a.numberField(logevent.FieldAttempt), b.numberField(logevent.FieldAttempt)), cmp.Compare(eventOrder(a), eventOrder(b)), a.Time.Compare(b.Time))
	}
	return a.Time.Compare(b.Time)
}

// eventOrder returns the position of a line among the lines of one attempt.
func eventOrder(l Line) int {
	switch l.Event {
	case logevent.RequestRefused, logevent.HedgeEnded:
		return 2
	case logevent.AttemptEnded, logevent.HedgeRefused:
		return 1
	}
	return 0
}

// findCause describes how a request ended, and which of its lines are missing. The lines
// are in causal order.
func findCause(lines []Line) (cause string, missing []string) {
	if len(lines) == 0 {
		return "no process logged this request", []string{"the log of the router that accepted it"}
	}
	sentAttempts := map[float64]bool{}
	endedAttempts := map[float64]bool{}
	for i := range lines {
		switch l := &lines[i]; l.Event {
		case logevent.RequestSent:
			sentAttempts[l.numberField(logevent.FieldAttempt)] = true
		case logevent.AttemptEnded:
			endedAttempts[l.numberField(logevent.FieldAttempt)] = true
		}
	}
	for n := range sentAttempts {
		if !endedAttempts[n] {
			missing = append(missing, fmt.Sprintf("the end of attempt %.0f: the router stopped before it, or the log line was dropped", n))
		}
	}
	slices.Sort(missing)
	last := lines[len(lines)-1]
	if decisive := slices.DeleteFunc(slices.Clone(lines), func(l Line) bool { return isAside(lines, &l) }); len(decisive) > 0 {
		last = decisive[len(decisive)-1]
	}
	switch last.Event {
	case logevent.RequestRefused:
		return refusalCause(&last), missing
	case logevent.AttemptEnded:
		return attemptEndCause(&last), missing
	}
	return fmt.Sprintf("the request was sent to target %s, and its end is not logged", last.stringField(logevent.FieldTarget)), missing
}

// isAside reports whether a line tells nothing of how its request ended: those about a second attempt
// beside a slow one, and those of the one of two such attempts that lost.
func isAside(lines []Line, l *Line) bool {
	if l.Event == logevent.HedgeEnded || l.Event == logevent.HedgeRefused {
		return true
	}
	return slices.ContainsFunc(lines, func(end Line) bool {
		return end.Event == logevent.AttemptEnded && end.stringField(logevent.FieldOutcome) == supersededOutcome &&
			end.Host == l.Host && end.numberField(logevent.FieldAttempt) == l.numberField(logevent.FieldAttempt)
	})
}

// supersededOutcome is the outcome of an attempt that lost against another one.
const supersededOutcome = "Superseded"

// refusalCause describes a refusal.
func refusalCause(l *Line) string {
	s := "the request was refused without having run: " + l.stringField(logevent.FieldReason)
	if after := l.stringField(logevent.FieldRetryAfter); after != "" {
		s += fmt.Sprintf("; the caller may retry after %s ms", after)
	}
	return s
}

// attemptEndCause describes the end of an attempt.
func attemptEndCause(l *Line) string {
	parts := []string{fmt.Sprintf("attempt %s at target %s ended as %s", l.stringField(logevent.FieldAttempt), l.stringField(logevent.FieldTarget), l.stringField(logevent.FieldOutcome))}
	if status := l.stringField(logevent.FieldStatus); status != "" && status != "0" {
		parts = append(parts, "status "+status)
	}
	if e := l.stringField(logevent.FieldError); e != "" {
		parts = append(parts, e)
	}
	return strings.Join(parts, "; ") + fmt.Sprintf(", %s ms after the request arrived", l.stringField(logevent.FieldElapsed))
}
