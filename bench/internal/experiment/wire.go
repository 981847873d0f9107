package experiment

import (
	"compress/flate"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/bench/internal/figures"
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

// wireMessages is the number of messages of a kind that are sent to find their size.
const wireMessages = 400

// wireParts prints what entries take on a compressed connection. Each report holds one
// entry, with identifiers as routers make them.
func wireParts(p *figures.Printer) error {
	rng := rand.New(rand.NewPCG(seed, seed))
	kinds := []part{
		{"EmptyReport", func(*fleet.RouterReport, int) {}},
		{"Alive", func(r *fleet.RouterReport, i int) {
			r.Alive = append(r.Alive, fleet.TargetAlive{Target: targetOf(i), Incarnation: incarnationOf(i), Sequence: fleet.Sequence(1000 + i)})
		}},
		{"Progress", func(r *fleet.RouterReport, i int) {
			r.Progress = append(r.Progress, fleet.Progress{Grant: grantID(i), Spent: fleet.Cost(128 + rng.IntN(512)), FirstToken: time.Duration(rng.IntN(int(time.Second)))})
		}},
		{"BusyAnnouncement", func(r *fleet.RouterReport, i int) { r.Targets = append(r.Targets, busyAnnouncement(i, rng)) }},
	}
	empty := 0.0
	for _, k := range kinds {
		s, err := newStream()
		if err != nil {
			return err
		}
		for i := range wireMessages {
			r := fleet.RouterReport{Router: "router-17", Incarnation: incarnationOf(0), DataCentre: "dc-1", Sequence: fleet.Sequence(i + 1), Epoch: 1, Version: 3700}
			k.add(&r, i)
			if _, err := s.send(fleet.MethodReport, &r); err != nil {
				return err
			}
		}
		size := float64(s.bytes) / wireMessages
		p.Print("Messages.Wire."+k.name+".Bytes", size-empty, "bytes")
		if empty == 0 {
			empty = size
		}
	}
	return nil
}

// relayedTargets is the number of targets that announce themselves to one router.
const relayedTargets = 21

func targetOf(i int) fleet.TargetID {
	return fleet.TargetID(fmt.Sprintf("model-%d", i%relayedTargets+1))
}

func incarnationOf(i int) fleet.Incarnation {
	return fleet.Incarnation(1764809000000000000 + uint64(i%relayedTargets)*7919000001)
}

// busyAnnouncement is that of a full target whose requests came through many routers.
func busyAnnouncement(i int, rng *rand.Rand) fleet.Announcement {
	a := holding{}.announcement(i % relayedTargets)
	a.Incarnation, a.Sequence = incarnationOf(i), fleet.Sequence(1000+i)
	for range busyRunning {
		router := 1 + rng.IntN(90)
		start := strconv.FormatUint(uint64(incarnationOf(router)), 36)
		id := fmt.Sprintf("router-%d-%s-%s", router, start, strconv.FormatUint(rng.Uint64N(1<<20), 36))
		a.Running = append(a.Running, fleet.RequestID(id))
	}
	for range busyPrefixes {
		a.Prefixes = append(a.Prefixes, fleet.PrefixHash(rng.Uint64()))
	}
	return a
}
