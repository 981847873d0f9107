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

// maxMeasuredRouters is the maximum number of routers whose connections are measured.
const maxMeasuredRouters = 8

// compressedCost is the traffic of the connections of some routers, compressed as in package
// rpc. Headers of TCP and IP are excluded.
type compressedCost struct {
	// routers is the number of measured routers, tickets the number of tickets they reported.
	routers, tickets int
	bytes            int64
	// compressCPU is the CPU time of compression at both ends.
	compressCPU time.Duration
}

// compressedStream is one direction of a connection. It counts the compressed bytes and
// discards them.
type compressedStream struct {
	compressor *flate.Writer
	bytes      int64
}

// Write implements io.Writer.
func (s *compressedStream) Write(b []byte) (int, error) {
	s.bytes += int64(len(b))
	return len(b), nil
}

func newCompressedStream() (*compressedStream, error) {
	s := &compressedStream{}
	compressor, err := flate.NewWriter(s, rpc.CompressionLevel)
	s.compressor = compressor
	return s, err
}

// send compresses and flushes one message, and returns the CPU time of that.
func (s *compressedStream) send(method string, v any) (time.Duration, error) {
	raw, err := encodeJSON(method, v)
	if err != nil {
		return 0, err
	}
	began := cpuTime()
	if _, err := s.compressor.Write(append(raw, '\n')); err != nil {
		return 0, err
	}
	err = s.compressor.Flush()
	return cpuTime() - began, err
}

// connection holds both directions of a router's connection.
type connection struct{ reports, grants *compressedStream }

// measureCompressed sends the messages of the first routers that report, in order, over
// compressed streams.
func measureCompressed(events []timedEvent, effects []fleet.Effect) (compressedCost, error) {
	connections := map[fleet.HostID]*connection{}
	var cost compressedCost
	for _, e := range events {
		received, ok := e.event.(dispatch.ReportReceived)
		if !ok {
			continue
		}
		conn, err := connectionOf(connections, received.Report.Router)
		if err != nil {
			return cost, err
		}
		if conn == nil {
			continue
		}
		cost.tickets += len(received.Report.Tickets)
		spent, err := conn.reports.send(fleet.MethodReport, &received.Report)
		if err != nil {
			return cost, errors.Wrap(err, "compress report")
		}
		cost.compressCPU += spent
	}
	for _, e := range effects {
		grants, ok := e.(dispatch.SendGrants)
		if !ok || connections[grants.To] == nil {
			continue
		}
		spent, err := connections[grants.To].grants.send(fleet.MethodGrants, &grants.Message)
		if err != nil {
			return cost, errors.Wrap(err, "compress grants")
		}
		cost.compressCPU += spent
	}
	for _, conn := range connections {
		cost.bytes += conn.reports.bytes + conn.grants.bytes
	}
	cost.routers = len(connections)
	return cost, nil
}

// connectionOf returns the connection of a router. It returns nil if the router has none and
// maxMeasuredRouters others are measured.
func connectionOf(connections map[fleet.HostID]*connection, id fleet.HostID) (*connection, error) {
	if conn := connections[id]; conn != nil || len(connections) == maxMeasuredRouters {
		return conn, nil
	}
	reports, err := newCompressedStream()
	if err != nil {
		return nil, err
	}
	grants, err := newCompressedStream()
	if err != nil {
		return nil, err
	}
	connections[id] = &connection{reports: reports, grants: grants}
	return connections[id], nil
}

// messagesPerKind is the number of messages over which the size of an entry is averaged.
const messagesPerKind = 400

// measureCompressedEntries prints the size of an empty report on a compressed connection,
// and what each kind of entry adds. Each report holds one entry, with identifiers in the
// format that routers generate.
func measureCompressedEntries(p *figures.Printer) error {
	rng := rand.New(rand.NewPCG(traceSeed, traceSeed))
	kinds := []entryKind{
		{"EmptyReport", func(*fleet.RouterReport, int) {}},
		{"Alive", func(report *fleet.RouterReport, i int) {
			report.Alive = append(report.Alive, fleet.TargetAlive{Target: relayedTargetID(i), Incarnation: exampleIncarnation(i), Sequence: fleet.Sequence(1000 + i)})
		}},
		{"Progress", func(report *fleet.RouterReport, i int) {
			report.Progress = append(report.Progress, fleet.Progress{Grant: grantID(i), Spent: fleet.Cost(128 + rng.IntN(512)), FirstToken: time.Duration(rng.IntN(int(time.Second)))})
		}},
		{"BusyAnnouncement", func(report *fleet.RouterReport, i int) {
			report.Targets = append(report.Targets, busyAnnouncement(i, rng))
		}},
	}
	empty := 0.0
	for _, kind := range kinds {
		stream, err := newCompressedStream()
		if err != nil {
			return err
		}
		for i := range messagesPerKind {
			report := fleet.RouterReport{Router: "router-17", Incarnation: exampleIncarnation(0), DataCentre: "dc-1", Sequence: fleet.Sequence(i + 1), Epoch: 1, Version: 3700}
			kind.add(&report, i)
			if _, err := stream.send(fleet.MethodReport, &report); err != nil {
				return err
			}
		}
		size := float64(stream.bytes) / messagesPerKind
		p.Print("Messages.Wire."+kind.name+".Bytes", size-empty, "bytes")
		if empty == 0 {
			empty = size
		}
	}
	return nil
}

// relayedTargets is the number of targets whose announcements one router relays.
const relayedTargets = 21

func relayedTargetID(i int) fleet.TargetID {
	return fleet.TargetID(fmt.Sprintf("model-%d", i%relayedTargets+1))
}

func exampleIncarnation(i int) fleet.Incarnation {
	return fleet.Incarnation(1764809000000000000 + uint64(i%relayedTargets)*7919000001)
}

// busyAnnouncement returns the announcement of a full target with requests of many routers.
func busyAnnouncement(i int, rng *rand.Rand) fleet.Announcement {
	announcement := dispatcherState{}.announcement(i % relayedTargets)
	announcement.Incarnation, announcement.Sequence = exampleIncarnation(i), fleet.Sequence(1000+i)
	for range busyTargetRequests {
		router := 1 + rng.IntN(90)
		start := strconv.FormatUint(uint64(exampleIncarnation(router)), 36)
		id := fmt.Sprintf("router-%d-%s-%s", router, start, strconv.FormatUint(rng.Uint64N(1<<20), 36))
		announcement.Running = append(announcement.Running, fleet.RequestID(id))
	}
	for range busyTargetPrefixes {
		announcement.Prefixes = append(announcement.Prefixes, fleet.PrefixHash(rng.Uint64()))
	}
	return announcement
}
