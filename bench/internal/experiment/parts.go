package experiment

import (
	"fmt"
	"time"

	"github.com/fuchsiashed/fuchsiashed/bench/internal/figures"
	"github.com/fuchsiashed/fuchsiashed/bench/internal/virtual"
	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/dispatch"
)

// Sizes of the messages whose parts are measured.
const (
	partsPerMessage = 100
	partMessages    = 40
	// busyRunning and busyPrefixes are what a full target of the largest size lists.
	busyRunning  = 172
	busyPrefixes = 64
)

// part is one kind of entry of a report.
type part struct {
	name string
	add  func(r *fleet.RouterReport, i int)
}

func reportParts() []part {
	h := holding{routers: 1, targets: 625, customers: 250}
	full := h.report(0)
	return []part{
		{"Ticket", func(r *fleet.RouterReport, i int) { r.Tickets = append(r.Tickets, h.ticket(i, "r")) }},
		{"End", func(r *fleet.RouterReport, i int) {
			t := h.ticket(i, "r")
			r.Ended = append(r.Ended, fleet.GrantEnd{
				Grant: grantID(i), Ticket: t.ID, Outcome: fleet.OutcomeCompleted, Spent: 423, FirstToken: 310 * time.Millisecond,
			})
		}},
		{"Progress", func(r *fleet.RouterReport, i int) {
			r.Progress = append(r.Progress, fleet.Progress{Grant: grantID(i), Spent: 212, FirstToken: 310 * time.Millisecond})
		}},
		{"Running", func(r *fleet.RouterReport, i int) {
			r.Running = append(r.Running, fleet.RunningAttempt{
				Grant: grantID(i), Epoch: 1, Ticket: h.ticket(i, "r"), Target: "model-1", Incarnation: 1, Spent: 200,
			})
		}},
		{"IdleAnnouncement", func(r *fleet.RouterReport, i int) { r.Targets = append(r.Targets, full.Targets[i]) }},
		{"BusyAnnouncement", func(r *fleet.RouterReport, i int) {
			a := full.Targets[i]
			for k := range busyRunning {
				a.Running = append(a.Running, h.ticket(i*busyRunning+k, "r").Request)
			}
			for k := range busyPrefixes {
				a.Prefixes = append(a.Prefixes, fleet.PrefixHash(1<<63+uint64(i*busyPrefixes+k)))
			}
			r.Targets = append(r.Targets, a)
		}},
	}
}

func grantID(i int) fleet.GrantID { return fleet.GrantID(fmt.Sprintf("1-%x", 100000+i)) }

// messageParts prints what each entry of a report and each grant adds to a message,
// and what an empty message takes.
func messageParts(p *figures.Printer) error {
	h := holding{routers: 1, targets: 1, customers: 1}
	for _, c := range codecs() {
		empty := h.report(0)
		empty.Targets = nil
		base, err := measureCodec(c, fleet.MethodReport, repeat(empty))
		if err != nil {
			return err
		}
		printPart(p, c, "EmptyReport", base, codecCost{}, 1)
		for _, k := range reportParts() {
			r := empty
			for i := range partsPerMessage {
				k.add(&r, i)
			}
			cost, err := measureCodec(c, fleet.MethodReport, repeat(r))
			if err != nil {
				return err
			}
			printPart(p, c, k.name, cost, base, partsPerMessage)
		}
		if err := grantParts(p, c); err != nil {
			return err
		}
		if err := stateParts(p, c); err != nil {
			return err
		}
	}
	progressCPU(p)
	return wireParts(p)
}

// progressCPU prints what a dispatcher with many running requests spends on an entry
// of progress, coding left out.
func progressCPU(p *figures.Printer) {
	const rounds = 5
	h := holding{routers: 90, targets: 625, customers: 250, running: 90000}
	reducer := h.reducer()
	n := 0
	began := cpuTime()
	for round := range rounds {
		now := virtual.Start.Add(time.Duration(round+1) * progressInterval)
		for i := range h.routers {
			r := fleet.RouterReport{
				Router: fleet.HostID(fmt.Sprintf("router-%d", i+1)), Incarnation: 1, DataCentre: "dc-1",
				Sequence: fleet.Sequence(round + 2), Epoch: 1, Version: 1,
			}
			for k := i; k < h.running; k += h.routers {
				r.Progress = append(r.Progress, fleet.Progress{Grant: grantID(k), Spent: fleet.Cost(210 + 10*round)})
			}
			n += len(r.Progress)
			reducer.Reduce(now, dispatch.ReportReceived{Report: r})
		}
	}
	p.Print("Messages.Progress.ReduceCPU", float64((cpuTime()-began).Microseconds())/float64(n), "us")
}

func grantParts(p *figures.Printer, c codec) error {
	m := fleet.DispatcherGrants{
		Dispatcher: "dispatcher-1", Epoch: 1, Version: 1, Router: "router-1", RouterIncarnation: 1764809000000000000,
		Ack: 100000, Validity: time.Second,
	}
	base, err := measureCodec(c, fleet.MethodGrants, repeat(m))
	if err != nil {
		return err
	}
	printPart(p, c, "EmptyGrants", base, codecCost{}, 1)
	h := holding{targets: 1, customers: 1}
	for i := range partsPerMessage {
		a := h.announcement(i)
		m.Grants = append(m.Grants, fleet.Grant{
			ID: grantID(i), Ticket: h.ticket(i, "r").ID, Target: a.Target, Incarnation: 1764809000000000000, Address: a.Address,
		})
	}
	cost, err := measureCodec(c, fleet.MethodGrants, repeat(m))
	if err != nil {
		return err
	}
	printPart(p, c, "Grant", cost, base, partsPerMessage)
	return nil
}

// repeat returns partMessages equal messages.
func repeat[T any](m T) []T {
	all := make([]T, partMessages)
	for i := range all {
		all[i] = m
	}
	return all
}

func printPart(p *figures.Printer, c codec, name string, cost, base codecCost, parts float64) {
	name = "Messages." + c.name + "." + name + "."
	n := parts * partMessages
	p.Print(name+"Bytes", float64(cost.bytes-base.bytes)/n, "bytes")
	p.Print(name+"EncodeCPU", float64(cost.encode-base.encode)/n/float64(time.Microsecond), "us")
	p.Print(name+"DecodeCPU", float64(cost.decode-base.decode)/n/float64(time.Microsecond), "us")
}

// stateParts prints the parts of the question for the confirmed state and its answer.
func stateParts(p *figures.Printer, c codec) error {
	question := fleet.StateRequest{
		Host: "router-100", Incarnation: 1764809000000000000, Role: fleet.RoleRouter, Address: "10.20.30.40:7121",
		DataCentre: "dc-1", Version: 3700,
	}
	cost, err := measureCodec(c, fleet.MethodState, repeat(question))
	if err != nil {
		return err
	}
	printPart(p, c, "StateRequest", cost, codecCost{}, 1)
	answer := fleet.StateReply{Version: 3700, Hash: fmt.Sprintf("%064x", 1), Validity: 5 * time.Second}
	base, err := measureCodec(c, fleet.MethodState, repeat(answer))
	if err != nil {
		return err
	}
	printPart(p, c, "StateReply", base, codecCost{}, 1)
	for i := range partsPerMessage {
		answer.Hosts = append(answer.Hosts, fleet.HostState{
			Host: fleet.HostID(fmt.Sprintf("router-%d", i)), Role: fleet.RoleRouter, Address: "10.20.30.40:7121",
			DataCentre: "dc-1", Version: 3700, Age: time.Second,
		})
	}
	cost, err = measureCodec(c, fleet.MethodState, repeat(answer))
	if err != nil {
		return err
	}
	printPart(p, c, "StateReplyHost", cost, base, partsPerMessage)
	return nil
}
