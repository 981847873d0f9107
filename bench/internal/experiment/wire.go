package experiment

import (
	"compress/flate"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/dispatch"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
)

// mostWireRouters is the number of routers whose connections are measured.
const mostWireRouters = 8

// wireCost is what the connections of some routers carried, compressed as package rpc
// does, headers of TCP and IP not counted.
type wireCost struct {
	routers, tickets int
	bytes            int64
	// deflate is the CPU of compressing, at both ends together.
	deflate time.Duration
}

// stream is one direction of a connection.
type stream struct {
	out   *flate.Writer
	bytes int64
}

// Write implements io.Writer.
func (s *stream) Write(b []byte) (int, error) {
	s.bytes += int64(len(b))
	return len(b), nil
}

func newStream() (*stream, error) {
	s := &stream{}
	out, err := flate.NewWriter(s, rpc.CompressionLevel)
	s.out = out
	return s, err
}

// send compresses one message and flushes it.
func (s *stream) send(method string, v any) (time.Duration, error) {
	raw, err := encodeJSON(method, v)
	if err != nil {
		return 0, err
	}
	began := cpuTime()
	if _, err := s.out.Write(append(raw, '\n')); err != nil {
		return 0, err
	}
	err = s.out.Flush()
	return cpuTime() - began, err
}

// link holds both directions of one router's connection.
type link struct{ up, down *stream }

// measureWire sends the messages of some routers over compressed streams, in order.
func measureWire(events []recorded, effects []fleet.Effect) (wireCost, error) {
	links := map[fleet.HostID]*link{}
	var cost wireCost
	for _, e := range events {
		r, ok := e.ev.(dispatch.ReportReceived)
		if !ok {
			continue
		}
		l, err := linkOf(links, r.Report.Router)
		if err != nil {
			return cost, err
		}
		if l == nil {
			continue
		}
		cost.tickets += len(r.Report.Tickets)
		spent, err := l.up.send(fleet.MethodReport, &r.Report)
		if err != nil {
			return cost, errors.Wrap(err, "compress report")
		}
		cost.deflate += spent
	}
	for _, e := range effects {
		s, ok := e.(dispatch.SendGrants)
		if !ok || links[s.To] == nil {
			continue
		}
		spent, err := links[s.To].down.send(fleet.MethodGrants, &s.Message)
		if err != nil {
			return cost, errors.Wrap(err, "compress grants")
		}
		cost.deflate += spent
	}
	for _, l := range links {
		cost.bytes += l.up.bytes + l.down.bytes
	}
	cost.routers = len(links)
	return cost, nil
}

// linkOf returns the link of a router, or nil when enough others are measured.
func linkOf(links map[fleet.HostID]*link, id fleet.HostID) (*link, error) {
	if l := links[id]; l != nil || len(links) == mostWireRouters {
		return l, nil
	}
	up, err := newStream()
	if err != nil {
		return nil, err
	}
	down, err := newStream()
	if err != nil {
		return nil, err
	}
	links[id] = &link{up: up, down: down}
	return links[id], nil
}
