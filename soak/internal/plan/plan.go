// Package plan draws the faults of a run from its seed.
package plan

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is what a step does to its subject.
type Kind string

// Steps against processes of the fleet.
const (
	// Kill ends a process at once; it is started again after For.
	Kill Kind = "Kill"
	// Stop asks a process to end; it is started again For after it has ended.
	Stop Kind = "Stop"
	// Pause suspends a process for For.
	Pause Kind = "Pause"
	// Reload asks a process to read its settings again.
	Reload Kind = "Reload"
	// Wipe ends a control host and empties its data folder.
	Wipe Kind = "Wipe"
	// Torn ends a control host and leaves part of a record at the end of its log.
	Torn Kind = "Torn"
	// Power ends all control hosts at the same moment.
	Power Kind = "Power"
)

// Steps against the connections to a process or target.
const (
	// Delay holds up each piece by Amount for For.
	Delay Kind = "Delay"
	// Reset resets all open connections.
	Reset Kind = "Reset"
	// Silence lets nothing more through the open connections; new ones work.
	Silence Kind = "Silence"
	// Cut holds back what goes to the subject, CutBack what it sends, for For.
	Cut     Kind = "Cut"
	CutBack Kind = "CutBack"
)

// Steps of targets and operators.
const (
	// Leave has a target announce that it leaves; it comes back after For as a new start.
	Leave Kind = "Leave"
	// Vanish has a target go without a word; it comes back after For as a new start.
	Vanish Kind = "Vanish"
	// Hang has a target take requests without an answer for For.
	Hang Kind = "Hang"
	// Break has a target break its answers off for For.
	Break Kind = "Break"
	// Race has two operators put two configurations at two control hosts at once.
	Race Kind = "Race"
	// Out takes a data centre out of service for For.
	Out Kind = "Out"
)

// Step is one fault or planned change.
type Step struct {
	At      time.Duration
	Kind    Kind
	Subject string        `json:",omitempty"`
	For     time.Duration `json:",omitempty"`
	Amount  time.Duration `json:",omitempty"`
}

// Plan is all that happens to a deployment.
type Plan struct {
	Seed     uint64
	For      time.Duration
	Controls int
	Routers  int
	Targets  int
	Steps    []Step
}

// DataCentres are the data centres over which processes and targets are spread.
var DataCentres = []string{"a", "b"}

const (
	// start is when the first step may come: the deployment serves by then.
	start = time.Second
	// stormMost bounds a phase of overlapping faults.
	stormMost = 6 * time.Second
	// settle is how long a phase without faults waits before its planned change: as long
	// as a process may be out of touch (contactWindowMs of the platform's sheets).
	settle = 5 * time.Second
	// watch is how long the consequences of a planned change are watched without faults.
	watch = 7 * time.Second
	// wipeGap is the time that the quorum gets to replace a lost storage before the next
	// loss (catchUpS of the sheets, and the time of the host's restart).
	wipeGap = 8 * time.Second
	// longest bounds the time that one fault lasts.
	longest = 3 * time.Second
)

// Control names a control host; those of each role are counted from 1.
func Control(i int) string { return fmt.Sprintf("control-%d", i) }

// Router names a router.
func Router(i int) string { return fmt.Sprintf("router-%d", i) }

// Target names a target.
func Target(i int) string { return fmt.Sprintf("target-%d", i) }

// New draws a plan for a number of processes of the fleet.
func New(seed uint64, length time.Duration, processes int) Plan {
	p := Plan{Seed: seed, For: length, Controls: 3}
	switch {
	case processes >= 40:
		p.Controls = 7
	case processes >= 12:
		p.Controls = 5
	}
	p.Routers = max(1, processes-p.Controls)
	p.Targets = min(4+p.Routers/4, 40)
	d := drawer{Plan: &p, rng: rand.New(rand.NewPCG(seed, seed))}
	for at := start; at < length; {
		at = d.storm(at)
		at = d.planned(at)
	}
	p.Steps = slices.DeleteFunc(p.Steps, func(s Step) bool { return s.At >= length })
	slices.SortStableFunc(p.Steps, func(a, b Step) int { return int(a.At - b.At) })
	return p
}

// drawer draws the steps of a plan.
type drawer struct {
	*Plan
	rng *rand.Rand
	// lossless is the time before which no control host may be lost or ended.
	lossless time.Duration
}

func (d *drawer) between(low, high time.Duration) time.Duration {
	return low + time.Duration(d.rng.Int64N(int64(high-low)))
}

func (d *drawer) add(s Step) { d.Steps = append(d.Steps, s) }

// storm adds a series of faults that overlap, and returns its end.
func (d *drawer) storm(at time.Duration) time.Duration {
	length := d.between(stormMost/3, stormMost)
	for range 3 + d.rng.IntN(6) + (d.Controls+d.Routers)/16 {
		d.fault(at + d.between(0, length))
	}
	return at + length
}

// fault adds one fault.
func (d *drawer) fault(at time.Duration) {
	s := Step{At: at, For: d.between(longest/10, longest), Amount: d.between(time.Millisecond, 300*time.Millisecond)}
	kinds := []Kind{Kill, Stop, Pause, Wipe, Torn, Power, Delay, Reset, Silence, Cut, CutBack, Vanish, Hang, Break, Race, Reload}
	s.Kind = kinds[d.rng.IntN(len(kinds))]
	switch s.Kind {
	case Wipe, Torn, Power:
		s.Subject = Control(1 + d.rng.IntN(d.Controls))
	case Vanish, Hang, Break:
		s.Subject = Target(1 + d.rng.IntN(d.Targets))
	case Race:
	case Kill, Stop, Pause, Reload:
		s.Subject = d.process()
	default:
		s.Subject = d.anyone()
	}
	if s.Kind == Wipe {
		if at < d.lossless {
			return
		}
		d.lossless = at + s.For + wipeGap
	} else if at < d.lossless && d.endsControl(s) {
		return
	}
	d.add(s)
}

// endsControl says whether a step takes a control host away.
func (d *drawer) endsControl(s Step) bool {
	switch s.Kind {
	case Kill, Stop, Pause, Torn, Power, Cut, CutBack, Silence, Delay:
		return len(s.Subject) > 0 && s.Subject[0] == 'c'
	}
	return false
}

func (d *drawer) process() string {
	if d.rng.IntN(2) == 0 {
		return Control(1 + d.rng.IntN(d.Controls))
	}
	return Router(1 + d.rng.IntN(d.Routers))
}

func (d *drawer) anyone() string {
	if d.rng.IntN(3) == 0 {
		return Target(1 + d.rng.IntN(d.Targets))
	}
	return d.process()
}

// planned adds one planned change in the middle of calm, and returns the end of the calm.
func (d *drawer) planned(at time.Duration) time.Duration {
	at += longest + settle
	s := Step{At: at, For: watch - 2*time.Second}
	kinds := []Kind{Leave, Leave, Out, Stop, Stop, Reload, Vanish, Break}
	s.Kind = kinds[d.rng.IntN(len(kinds))]
	switch s.Kind {
	case Leave, Vanish, Break:
		s.Subject = Target(1 + d.rng.IntN(d.Targets))
	case Out:
		s.Subject = DataCentres[d.rng.IntN(len(DataCentres))]
	default:
		s.Subject = d.process()
		s.For = time.Second
	}
	d.add(s)
	if s.Kind == Stop {
		// New settings may come while a process stops.
		d.add(Step{At: at + time.Second, Kind: Reload, Subject: s.Subject})
	}
	return at + watch
}
