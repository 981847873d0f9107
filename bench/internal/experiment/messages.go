package experiment

import (
	"fmt"
	"time"

	"github.com/fuchsiashed/fuchsiashed/bench/internal/figures"
	"github.com/fuchsiashed/fuchsiashed/bench/internal/virtual"
	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/dispatch"
)

// Sizes of the measured messages.
const (
	// entriesPerMessage is the number of equal entries in a message, of which messageCopies
	// copies are encoded.
	entriesPerMessage = 100
	messageCopies     = 40
	// busyTargetRequests and busyTargetPrefixes are the numbers of running requests and
	// cached prefixes in the announcement of a full target of the largest size.
	busyTargetRequests = 172
	busyTargetPrefixes = 64
)

// entryKind is a kind of entry in a report. add appends the entry with index i.
type entryKind struct {
	name string
	add  func(report *fleet.RouterReport, i int)
}

// reportEntryKinds returns the measured kinds of entry.
func reportEntryKinds() []entryKind {
	state := dispatcherState{routers: 1, targets: 625, customers: 250}
	full := state.report(0)
	return []entryKind{
		{"Ticket", func(report *fleet.RouterReport, i int) { report.Tickets = append(report.Tickets, state.ticket(i, "r")) }},
		{"End", func(report *fleet.RouterReport, i int) {
			t := state.ticket(i, "r")
			report.Ended = append(report.Ended, fleet.GrantEnd{
				Grant: grantID(i), Ticket: t.ID, Outcome: fleet.OutcomeCompleted, Spent: 423, FirstToken: 310 * time.Millisecond,
			})
		}},
		{"Progress", func(report *fleet.RouterReport, i int) {
			report.Progress = append(report.Progress, fleet.Progress{Grant: grantID(i), Spent: 212, FirstToken: 310 * time.Millisecond})
		}},
		{"Running", func(report *fleet.RouterReport, i int) {
			report.Running = append(report.Running, fleet.RunningAttempt{
				Grant: grantID(i), Epoch: 1, Ticket: state.ticket(i, "r"), Target: "model-1", Incarnation: 1, Spent: 200,
			})
		}},
		{"IdleAnnouncement", func(report *fleet.RouterReport, i int) { report.Targets = append(report.Targets, full.Targets[i]) }},
		{"BusyAnnouncement", func(report *fleet.RouterReport, i int) {
			announcement := full.Targets[i]
			for k := range busyTargetRequests {
				announcement.Running = append(announcement.Running, state.ticket(i*busyTargetRequests+k, "r").Request)
			}
			for k := range busyTargetPrefixes {
				announcement.Prefixes = append(announcement.Prefixes, fleet.PrefixHash(1<<63+uint64(i*busyTargetPrefixes+k)))
			}
			report.Targets = append(report.Targets, announcement)
		}},
	}
}

func grantID(i int) fleet.GrantID { return fleet.GrantID(fmt.Sprintf("1-%x", 100000+i)) }

// measureMessages prints the size and the CPU time of empty messages, and what each kind of
// entry adds.
func measureMessages(p *figures.Printer) error {
	state := dispatcherState{routers: 1, targets: 1, customers: 1}
	for _, c := range codecs() {
		empty := state.report(0)
		empty.Targets = nil
		base, err := measureCodec(c, fleet.MethodReport, copies(empty))
		if err != nil {
			return err
		}
		printEntryCost(p, c, "EmptyReport", base, codecCost{}, 1)
		for _, kind := range reportEntryKinds() {
			report := empty
			for i := range entriesPerMessage {
				kind.add(&report, i)
			}
			cost, err := measureCodec(c, fleet.MethodReport, copies(report))
			if err != nil {
				return err
			}
			printEntryCost(p, c, kind.name, cost, base, entriesPerMessage)
		}
		if err := measureGrants(p, c); err != nil {
			return err
		}
		if err := measureState(p, c); err != nil {
			return err
		}
	}
	measureProgressCPU(p)
	return measureCompressedEntries(p)
}

// measureProgressCPU prints the CPU time of the reducer for a progress entry, with many
// running requests. Encoding and decoding are excluded.
func measureProgressCPU(p *figures.Printer) {
	const rounds = 5
	state := dispatcherState{routers: 90, targets: 625, customers: 250, running: 90000}
	reducer := state.newReducer()
	entries := 0
	began := cpuTime()
	for round := range rounds {
		now := virtual.Start.Add(time.Duration(round+1) * progressInterval)
		for i := range state.routers {
			report := fleet.RouterReport{
				Router: fleet.HostID(fmt.Sprintf("router-%d", i+1)), Incarnation: 1, DataCentre: "dc-1",
				Sequence: fleet.Sequence(round + 2), Epoch: 1, Version: 1,
			}
			for k := i; k < state.running; k += state.routers {
				report.Progress = append(report.Progress, fleet.Progress{Grant: grantID(k), Spent: fleet.Cost(210 + 10*round)})
			}
			entries += len(report.Progress)
			reducer.Reduce(now, dispatch.ReportReceived{Report: report})
		}
	}
	p.Print("Messages.Progress.ReduceCPU", float64((cpuTime()-began).Microseconds())/float64(entries), "us")
}

// measureGrants prints the cost of an empty message of grants and of each grant.
func measureGrants(p *figures.Printer, c codec) error {
	message := fleet.DispatcherGrants{
		Dispatcher: "dispatcher-1", Epoch: 1, Version: 1, Router: "router-1", RouterIncarnation: 1764809000000000000,
		Ack: 100000, Validity: time.Second,
	}
	base, err := measureCodec(c, fleet.MethodGrants, copies(message))
	if err != nil {
		return err
	}
	printEntryCost(p, c, "EmptyGrants", base, codecCost{}, 1)
	state := dispatcherState{targets: 1, customers: 1}
	for i := range entriesPerMessage {
		announcement := state.announcement(i)
		message.Grants = append(message.Grants, fleet.Grant{
			ID: grantID(i), Ticket: state.ticket(i, "r").ID, Target: announcement.Target, Incarnation: 1764809000000000000, Address: announcement.Address,
		})
	}
	cost, err := measureCodec(c, fleet.MethodGrants, copies(message))
	if err != nil {
		return err
	}
	printEntryCost(p, c, "Grant", cost, base, entriesPerMessage)
	return nil
}

// copies returns messageCopies equal messages.
func copies[T any](message T) []T {
	messages := make([]T, messageCopies)
	for i := range messages {
		messages[i] = message
	}
	return messages
}

// printEntryCost prints the difference of cost and base for one entry of one message.
func printEntryCost(p *figures.Printer, c codec, name string, cost, base codecCost, entries float64) {
	name = "Messages." + c.name + "." + name + "."
	total := entries * messageCopies
	p.Print(name+"Bytes", float64(cost.bytes-base.bytes)/total, "bytes")
	p.Print(name+"EncodeCPU", float64(cost.encodeCPU-base.encodeCPU)/total/float64(time.Microsecond), "us")
	p.Print(name+"DecodeCPU", float64(cost.decodeCPU-base.decodeCPU)/total/float64(time.Microsecond), "us")
}

// measureState prints the cost of a request for the confirmed state, of its reply and of
// each host in the reply.
func measureState(p *figures.Printer, c codec) error {
	request := fleet.StateRequest{
		Host: "router-100", Incarnation: 1764809000000000000, Role: fleet.RoleRouter, Address: "10.20.30.40:7121",
		DataCentre: "dc-1", Version: 3700,
	}
	cost, err := measureCodec(c, fleet.MethodState, copies(request))
	if err != nil {
		return err
	}
	printEntryCost(p, c, "StateRequest", cost, codecCost{}, 1)
	reply := fleet.StateReply{Version: 3700, Hash: fmt.Sprintf("%064x", 1), Validity: 5 * time.Second}
	base, err := measureCodec(c, fleet.MethodState, copies(reply))
	if err != nil {
		return err
	}
	printEntryCost(p, c, "StateReply", base, codecCost{}, 1)
	for i := range entriesPerMessage {
		reply.Hosts = append(reply.Hosts, fleet.HostState{
			Host: fleet.HostID(fmt.Sprintf("router-%d", i)), Role: fleet.RoleRouter, Address: "10.20.30.40:7121",
			DataCentre: "dc-1", Version: 3700, Age: time.Second,
		})
	}
	cost, err = measureCodec(c, fleet.MethodState, copies(reply))
	if err != nil {
		return err
	}
	printEntryCost(p, c, "StateReplyHost", cost, base, entriesPerMessage)
	return nil
}
