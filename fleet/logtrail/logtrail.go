// Package logtrail joins the structured log lines of several processes into the account
// of one request.
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

// maxLine bounds one log line in bytes.
const maxLine = 1 << 20

// around is how far before the request's first line a change of its targets or of the
// configuration still belongs to the account.
const around = 3 * time.Second

// Line is one log line. Fields holds what is not in the other fields.
type Line struct {
	Time   time.Time
	Host   string
	Event  string
	Fields map[string]any
}

// text returns a field as text; empty when it is missing.
func (l *Line) text(name string) string {
	v, ok := l.Fields[name]
	if !ok {
		return ""
	}
	return fmt.Sprint(v)
}

// number returns a field as a number; 0 when it is missing.
func (l *Line) number(name string) float64 {
	n, _ := l.Fields[name].(float64)
	return n
}

// Read parses the JSON lines of a log. Whatever stands before the first brace of a line
// is skipped, and lines without one are counted.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		line, ok := parse(s.Bytes())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, errors.Wrap(s.Err(), "read log")
}

func parse(raw []byte) (Line, bool) {
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

// Account is what happened to a request.
type RequestTrace struct {
	Request string
	Lines   []Line
	// Cause says in one sentence how the request ended and why.
	Cause string
	// Missing lists what the logs do not tell.
	Missing []string `json:",omitempty"`
}

// Of returns the account of a request.
func TraceRequest(lines []Line, request string) RequestTrace {
	a := RequestTrace{Request: request}
	targets := map[string]bool{}
	hosts := map[string]bool{}
	for i := range lines {
		if l := &lines[i]; l.text(logevent.FieldRequest) == request {
			a.Lines = append(a.Lines, *l)
			hosts[l.Host] = true
			if t := l.text(logevent.FieldTarget); t != "" {
				targets[t] = true
			}
		}
	}
	slices.SortStableFunc(a.Lines, byCause)
	a.Cause, a.Missing = judge(a.Lines)
	if len(a.Lines) > 0 {
		a.addContext(lines, targets, hosts)
	}
	return a
}

// addContext adds what changed shortly before or while the request was under way: its
// targets as any process heard of them, and the configuration of its router.
func (a *RequestTrace) addContext(lines []Line, targets, hosts map[string]bool) {
	first, last := a.Lines[0].Time.Add(-around), a.Lines[len(a.Lines)-1].Time
	for _, l := range lines {
		if l.Time.Before(first) || l.Time.After(last) || l.text(logevent.FieldRequest) != "" {
			continue
		}
		ofTarget := (l.Event == logevent.TargetAnnounced || l.Event == logevent.TargetEnded) && targets[l.text(logevent.FieldTarget)]
		ofRouter := (l.Event == logevent.ConfigInForce || l.Event == logevent.StateNoticed || l.Event == logevent.Stopping) && hosts[l.Host]
		if ofTarget || ofRouter {
			a.Lines = append(a.Lines, l)
		}
	}
	slices.SortStableFunc(a.Lines, byCause)
}

// byCause puts the lines of one attempt in the order in which they must have come about,
// and all others by their time: clocks of hosts may differ, and may jump.
func byCause(a, b Line) int {
	if a.text(logevent.FieldRequest) != "" && a.text(logevent.FieldRequest) == b.text(logevent.FieldRequest) && a.Host == b.Host {
		return cmp.Or(cmp.Compare(a.number(logevent.FieldAttempt), b.number(logevent.FieldAttempt)), cmp.Compare(rank(a), rank(b)), a.Time.Compare(b.Time))
	}
	return a.Time.Compare(b.Time)
}

// rank orders the lines of one attempt.
func rank(l Line) int {
	switch l.Event {
	case logevent.RequestRefused:
		return 2
	case logevent.AttemptEnded:
		return 1
	}
	return 0
}

// judge says how a request ended, by its lines in order.
func judge(lines []Line) (cause string, missing []string) {
	if len(lines) == 0 {
		return "no process logged this request", []string{"the log of the router that took it"}
	}
	sent := map[float64]bool{}
	ended := map[float64]bool{}
	for i := range lines {
		switch l := &lines[i]; l.Event {
		case logevent.RequestSent:
			sent[l.number(logevent.FieldAttempt)] = true
		case logevent.AttemptEnded:
			ended[l.number(logevent.FieldAttempt)] = true
		}
	}
	for n := range sent {
		if !ended[n] {
			missing = append(missing, fmt.Sprintf("the end of attempt %.0f: the router ended first, or its line was dropped", n))
		}
	}
	slices.Sort(missing)
	last := lines[len(lines)-1]
	switch last.Event {
	case logevent.RequestRefused:
		return refusedBecause(&last), missing
	case logevent.AttemptEnded:
		return endedBecause(&last), missing
	}
	return fmt.Sprintf("it was sent to target %s and its end is not logged", last.text(logevent.FieldTarget)), missing
}

func refusedBecause(l *Line) string {
	s := "it was refused without having run: " + l.text(logevent.FieldReason)
	if after := l.text(logevent.FieldRetryAfter); after != "" {
		s += fmt.Sprintf("; it may come back after %s ms", after)
	}
	return s
}

func endedBecause(l *Line) string {
	parts := []string{fmt.Sprintf("attempt %s at target %s ended as %s", l.text(logevent.FieldAttempt), l.text(logevent.FieldTarget), l.text(logevent.FieldOutcome))}
	if status := l.text(logevent.FieldStatus); status != "" && status != "0" {
		parts = append(parts, "status "+status)
	}
	if e := l.text(logevent.FieldError); e != "" {
		parts = append(parts, e)
	}
	return strings.Join(parts, "; ") + fmt.Sprintf(", %s ms after the request arrived", l.text(logevent.FieldElapsed))
}
