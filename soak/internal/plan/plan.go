// Package plan generates the faults and planned changes of a run from a seed.
package plan

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind determines what a step does to its subject.
type Kind string

// Steps that act on processes of the fleet. For and Amount are the fields of Step.
const (
	// Kill sends SIGKILL to a process and starts it again after For.
	Kill Kind = "Kill"
	// Stop asks a process to stop, and starts it again For after it has exited.
	Stop Kind = "Stop"
	// Pause suspends a process for For.
	Pause Kind = "Pause"
	// Reload asks a process to reload its settings.
	Reload Kind = "Reload"
	// WipeData kills a control host's process, removes its data folder and starts it again
	// after For.
	WipeData Kind = "Wipe"
	// TornWrite kills a control host's process, appends an incomplete record to its log and
	// starts it again after For.
	TornWrite Kind = "Torn"
	// PowerLoss kills the processes of all control hosts at once and starts them again after
	// For.
	PowerLoss Kind = "Power"
)

// Steps that act on the connections to a process or target.
const (
	// Delay delays each chunk of data by Amount for For.
	Delay Kind = "Delay"
	// Reset resets all open connections.
	Reset Kind = "Reset"
	// Blackhole drops all further data on the open connections; new ones work.
	Blackhole Kind = "Silence"
	// BlockInbound holds back the data sent to the subject for For.
	BlockInbound Kind = "Cut"
	// BlockOutbound holds back the data that the subject sends for For.
	BlockOutbound Kind = "CutBack"
)

// Steps that act on targets and through operators.
const (
	// Leave makes a target announce that it leaves; it restarts after For.
	Leave Kind = "Leave"
	// Disappear makes a target stop announcing itself and reset all connections; it restarts
	// after For.
	Disappear Kind = "Vanish"
	// Hang makes a target accept requests without answering them for For.
	Hang Kind = "Hang"
	// AbortResponses makes a target abort its responses for For.
	AbortResponses Kind = "Break"
	// ConcurrentPuts puts two configurations at two control hosts at the same time.
	ConcurrentPuts Kind = "Race"
	// DataCentreOut takes a data centre out of service for the routers' grace period plus For.
	DataCentreOut Kind = "Out"
)

// Step is one fault or planned change.
type Step struct {
	// At is when the step begins, relative to the start of the plan.
	At   time.Duration
	Kind Kind
	// Subject is the name of a process, target or data centre. It is empty for ConcurrentPuts
	// and ignored by PowerLoss.
	Subject string `json:",omitempty"`
	// For is how long the step lasts.
	For time.Duration `json:",omitempty"`
	// Amount is the delay added by Delay.
	Amount time.Duration `json:",omitempty"`
}

// Plan is the size of a deployment and the steps that are run against it.
type Plan struct {
	Seed uint64
	// For is how long the steps go on.
	For time.Duration
	// Controls, Routers and Targets are the numbers of control hosts, routers and targets.
	Controls int
	Routers  int
	Targets  int
	// Steps are ordered by At.
	Steps []Step
}

// DataCentres are the names of the data centres, over which processes and targets are spread.
var DataCentres = []string{"a", "b"}

const (
	// firstStepTime is the earliest time of a step, relative to the start of the plan; the
	// deployment serves by then.
	firstStepTime = time.Second
	// maxBurstDuration bounds a burst of overlapping faults.
	maxBurstDuration = 6 * time.Second
	// settleTime is how long to wait without faults before a planned change: after a fault,
	// processes may be out of contact with control for as long as the platform's limits allow.
	settleTime = 5 * time.Second
	// observationTime is how long a planned change is observed without faults.
	observationTime = 7 * time.Second
	// dataLossGap is the time that the quorum has to replicate a wiped control host's data before
	// the next one may fail: the time that the platform's limits allow for catching up, plus the
	// host's restart.
	dataLossGap = 8 * time.Second
	// maxFaultDuration bounds the duration of one fault.
	maxFaultDuration = 3 * time.Second
)

// Control returns the name of control host i. The hosts of each role are numbered from 1.
func Control(i int) string { return fmt.Sprintf("control-%d", i) }

// Router returns the name of router i, from 1.
func Router(i int) string { return fmt.Sprintf("router-%d", i) }

// Target returns the name of target i, from 1.
func Target(i int) string { return fmt.Sprintf("target-%d", i) }

// New generates a plan that depends only on its arguments. processes is the number of control
// hosts and routers together; duration is how long steps go on.
func New(seed uint64, duration time.Duration, processes int) Plan {
	p := Plan{Seed: seed, For: duration, Controls: 3}
	switch {
	case processes >= 40:
		p.Controls = 7
	case processes >= 12:
		p.Controls = 5
	}
	p.Routers = max(1, processes-p.Controls)
	p.Targets = min(4+p.Routers/4, 40)
	g := generator{Plan: &p, rng: rand.New(rand.NewPCG(seed, seed))}
	for at := firstStepTime; at < duration; {
		at = g.addFaultBurst(at)
		at = g.addPlannedChange(at)
	}
	p.Steps = slices.DeleteFunc(p.Steps, func(s Step) bool { return s.At >= duration })
	slices.SortStableFunc(p.Steps, func(a, b Step) int { return int(a.At - b.At) })
	return p
}

// generator generates the steps of a plan.
type generator struct {
	*Plan
	rng *rand.Rand
	// controlsKeptUntil is the time before which no control host may be wiped or disrupted,
	// because the quorum is still replicating the data of a wiped one.
	controlsKeptUntil time.Duration
}

// randomDuration returns a duration from low up to, but not including, high.
func (g *generator) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(g.rng.Int64N(int64(high-low)))
}

func (g *generator) addStep(s Step) { g.Steps = append(g.Steps, s) }

// addFaultBurst adds a burst of overlapping faults, all of which begin between at and the time
// that it returns.
func (g *generator) addFaultBurst(at time.Duration) time.Duration {
	duration := g.randomDuration(maxBurstDuration/3, maxBurstDuration)
	for range 3 + g.rng.IntN(6) + (g.Controls+g.Routers)/16 {
		g.addFault(at + g.randomDuration(0, duration))
	}
	return at + duration
}

// addFault adds one random fault, unless it would disrupt a control host too soon after a wipe.
func (g *generator) addFault(at time.Duration) {
	s := Step{At: at, For: g.randomDuration(maxFaultDuration/10, maxFaultDuration), Amount: g.randomDuration(time.Millisecond, 300*time.Millisecond)}
	kinds := []Kind{Kill, Stop, Pause, WipeData, TornWrite, PowerLoss, Delay, Reset, Blackhole, BlockInbound, BlockOutbound, Disappear, Hang, AbortResponses, ConcurrentPuts, Reload}
	s.Kind = kinds[g.rng.IntN(len(kinds))]
	switch s.Kind {
	case WipeData, TornWrite, PowerLoss:
		s.Subject = Control(1 + g.rng.IntN(g.Controls))
	case Disappear, Hang, AbortResponses:
		s.Subject = Target(1 + g.rng.IntN(g.Targets))
	case ConcurrentPuts:
	case Kill, Stop, Pause, Reload:
		s.Subject = g.randomProcess()
	default:
		s.Subject = g.randomSubject()
	}
	if s.Kind == WipeData {
		if at < g.controlsKeptUntil {
			return
		}
		g.controlsKeptUntil = at + s.For + dataLossGap
	} else if at < g.controlsKeptUntil && g.disruptsControl(s) {
		return
	}
	g.addStep(s)
}

// disruptsControl reports whether a step makes a control host unavailable. Control hosts are
// recognised by the first letter of their name.
func (g *generator) disruptsControl(s Step) bool {
	switch s.Kind {
	case Kill, Stop, Pause, TornWrite, PowerLoss, BlockInbound, BlockOutbound, Blackhole, Delay:
		return len(s.Subject) > 0 && s.Subject[0] == 'c'
	}
	return false
}

// randomProcess returns a control host or a router, each role with the same probability.
func (g *generator) randomProcess() string {
	if g.rng.IntN(2) == 0 {
		return Control(1 + g.rng.IntN(g.Controls))
	}
	return Router(1 + g.rng.IntN(g.Routers))
}

// randomSubject returns a target with a probability of 1/3, otherwise a process.
func (g *generator) randomSubject() string {
	if g.rng.IntN(3) == 0 {
		return Target(1 + g.rng.IntN(g.Targets))
	}
	return g.randomProcess()
}

// addPlannedChange adds one planned change within a period without other faults, and returns
// the end of that period. The change comes settleTime after the last fault that began before at
// has ended.
func (g *generator) addPlannedChange(at time.Duration) time.Duration {
	at += maxFaultDuration + settleTime
	s := Step{At: at, For: observationTime - 2*time.Second}
	kinds := []Kind{Leave, Leave, DataCentreOut, Stop, Stop, Reload, Disappear, AbortResponses}
	s.Kind = kinds[g.rng.IntN(len(kinds))]
	switch s.Kind {
	case Leave, Disappear, AbortResponses:
		s.Subject = Target(1 + g.rng.IntN(g.Targets))
	case DataCentreOut:
		s.Subject = DataCentres[g.rng.IntN(len(DataCentres))]
	default:
		s.Subject = g.randomProcess()
		s.For = time.Second
	}
	g.addStep(s)
	if s.Kind == Stop {
		// A reload may arrive while a process stops.
		g.addStep(Step{At: at + time.Second, Kind: Reload, Subject: s.Subject})
	}
	return at + observationTime
}
