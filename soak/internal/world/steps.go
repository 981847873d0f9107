package world

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"

	"github.com/fuchsiashed/fuchsiashed/soak/internal/check"
	"github.com/fuchsiashed/fuchsiashed/soak/internal/plan"
	"github.com/fuchsiashed/fuchsiashed/soak/internal/proxy"
)

const stopSignal = syscall.SIGTERM

const (
	// leaveGrace is how long routers may still send to a target that left (drainMs of the
	// platform's sheets), outGrace to a data centre that is out (evacuationMs).
	leaveGrace = 2500 * time.Millisecond
	outGrace   = 5 * time.Second
	// tornBytes is the length of the record that a loss of power leaves unfinished.
	tornBytes = 37
)

// do does a step and undoes it after its time.
func (w *world) do(ctx context.Context, s plan.Step) {
	from := w.now()
	defer func() {
		if s.Kind == plan.Leave || s.Kind == plan.Out || s.Kind == plan.Reload || s.Kind == plan.Race {
			return
		}
		ofTarget := strings.HasPrefix(s.Subject, "target")
		w.book.Add(func(r *check.Record) {
			r.Faults = append(r.Faults, check.Interval{From: from, To: w.now(), OfTarget: ofTarget, What: string(s.Kind) + " " + s.Subject})
		})
	}()
	switch s.Kind {
	case plan.Kill, plan.Stop, plan.Pause, plan.Reload, plan.Wipe, plan.Torn, plan.Power:
		w.doProcess(ctx, s)
	case plan.Delay, plan.Reset, plan.Silence, plan.Cut, plan.CutBack:
		w.doLink(ctx, s)
	case plan.Race:
		w.writers.race(ctx)
	case plan.Out:
		w.doOut(ctx, s)
	default:
		w.doTarget(ctx, s)
	}
}

func (w *world) doProcess(ctx context.Context, s plan.Step) {
	p := w.procs[s.Subject]
	switch s.Kind {
	case plan.Kill:
		p.Kill()
	case plan.Stop:
		w.stop(s.Subject)
	case plan.Pause:
		p.Signal(syscall.SIGSTOP, false)
		sleep(ctx, s.For)
		p.Signal(syscall.SIGCONT, false)
		return
	case plan.Reload:
		p.Signal(syscall.SIGHUP, false)
		return
	case plan.Wipe:
		p.Kill()
		if err := os.RemoveAll(w.dataFolder(s.Subject)); err != nil {
			w.fail("Soak", "%v", err)
		}
	case plan.Torn:
		p.Kill()
		w.tear(s.Subject)
	case plan.Power:
		w.power(ctx, s)
		return
	}
	sleep(ctx, s.For)
	w.restart(s.Subject)
}

func (w *world) restart(name string) {
	if err := w.procs[name].Start(); err != nil {
		w.fail("Starts", "%v", err)
	}
}

// stop asks a process to end, and notes a router's stop as planned work.
func (w *world) stop(name string) {
	p, from := w.procs[name], w.now()
	p.Signal(stopSignal, true)
	if !p.Wait(stopLimit) {
		w.fail("StopsInTime", "%s still runs %v after it was asked to stop", name, stopLimit)
		p.Kill()
	}
	if strings.HasPrefix(name, "router") {
		w.book.Add(func(r *check.Record) { r.Stops = append(r.Stops, check.Planned{Router: name, From: from, To: w.now()}) })
	}
}

// power ends all control hosts at the same moment.
func (w *world) power(ctx context.Context, s plan.Step) {
	var wg sync.WaitGroup
	for i := 1; i <= w.cfg.Plan.Controls; i++ {
		wg.Go(w.procs[plan.Control(i)].Kill)
	}
	wg.Wait()
	sleep(ctx, s.For)
	for i := 1; i <= w.cfg.Plan.Controls; i++ {
		w.restart(plan.Control(i))
	}
}

// tear leaves the begin of a record at the end of the newest file of a data folder.
func (w *world) tear(name string) {
	files, err := filepath.Glob(filepath.Join(w.dataFolder(name), "*"))
	if err != nil || len(files) == 0 {
		return
	}
	newest, at := "", time.Time{}
	for _, path := range files {
		if info, err := os.Stat(path); err == nil && info.Mode().IsRegular() && info.ModTime().After(at) {
			newest, at = path, info.ModTime()
		}
	}
	f, err := os.OpenFile(newest, os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		w.fail("Soak", "%v", err)
		return
	}
	defer f.Close()
	if _, err := f.Write(make([]byte, tornBytes)); err != nil {
		w.fail("Soak", "%v", err)
	}
}

func (w *world) doLink(ctx context.Context, s plan.Step) {
	h := w.hosts[s.Subject]
	switch s.Kind {
	case plan.Reset:
		h.Reset()
	case plan.Silence:
		h.Silence()
	case plan.Delay:
		h.Delay(s.Amount)
		sleep(ctx, s.For)
		h.Delay(0)
	default:
		way := proxy.ToSubject
		if s.Kind == plan.CutBack {
			way = proxy.FromSubject
		}
		h.Cut(way, true)
		sleep(ctx, s.For)
		h.Cut(way, false)
	}
}

func (w *world) doTarget(ctx context.Context, s plan.Step) {
	i, err := strconv.Atoi(strings.TrimPrefix(s.Subject, "target-"))
	if err != nil {
		w.fail("Soak", "step %+v: %v", s, err)
		return
	}
	t := w.targets[i-1]
	switch s.Kind {
	case plan.Leave:
		t.leave(ctx, s.For)
	case plan.Vanish:
		t.vanish(ctx, s.For)
	case plan.Hang:
		t.misbehave(ctx, hangs, s.For)
	case plan.Break:
		t.misbehave(ctx, breaks, s.For)
	}
}

// doOut takes a data centre out of service for a while.
func (w *world) doOut(ctx context.Context, s plan.Step) {
	dc := fleet.DataCentreName(s.Subject)
	if !w.writers.setOut(ctx, dc, true) {
		return
	}
	acknowledged := w.now()
	sleep(ctx, s.For+outGrace)
	until := w.now()
	w.writers.setOut(ctx, dc, false)
	absent := map[string]bool{}
	for i := 1; i <= w.cfg.Plan.Targets; i++ {
		absent[plan.Target(i)] = dataCentre(i) == s.Subject
	}
	w.book.Add(func(r *check.Record) {
		r.Absences = append(r.Absences, check.Absence{
			Targets: absent, Acknowledged: acknowledged, Until: until, Grace: outGrace, Rule: "OutGetsNothing",
		})
	})
}
