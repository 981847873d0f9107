package harness

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

// stopSignal asks a process for an orderly stop.
const stopSignal = syscall.SIGTERM

const (
	// drainGrace is how long routers may still send to a target that left; the platform's limits
	// set it.
	drainGrace = 2500 * time.Millisecond
	// outOfServiceGrace is how long routers may still send to a data centre that is out of
	// service; the platform's limits set it.
	outOfServiceGrace = 5 * time.Second
	// tornRecordBytes is the length of the incomplete record that TornWrite appends.
	tornRecordBytes = 37
)

// runStep runs a step and undoes it after Step.For. It is recorded as a fault, except for Leave,
// DataCentreOut, Reload and ConcurrentPuts, which must not disturb requests.
func (h *harness) runStep(ctx context.Context, s plan.Step) {
	from := h.now()
	defer func() {
		if s.Kind == plan.Leave || s.Kind == plan.DataCentreOut || s.Kind == plan.Reload || s.Kind == plan.ConcurrentPuts {
			return
		}
		ofTarget := strings.HasPrefix(s.Subject, "target")
		h.recorder.Update(func(r *check.Record) {
			r.Faults = append(r.Faults, check.FaultInterval{From: from, To: h.now(), OfTarget: ofTarget, What: string(s.Kind) + " " + s.Subject})
		})
	}()
	switch s.Kind {
	case plan.Kill, plan.Stop, plan.Pause, plan.Reload, plan.WipeData, plan.TornWrite, plan.PowerLoss:
		h.runProcessStep(ctx, s)
	case plan.Delay, plan.Reset, plan.Blackhole, plan.BlockInbound, plan.BlockOutbound:
		h.runNetworkStep(ctx, s)
	case plan.ConcurrentPuts:
		h.operator.putConcurrently(ctx)
	case plan.DataCentreOut:
		h.takeDataCentreOut(ctx, s)
	default:
		h.runTargetStep(ctx, s)
	}
}

func (h *harness) runProcessStep(ctx context.Context, s plan.Step) {
	p := h.processes[s.Subject]
	switch s.Kind {
	case plan.Kill:
		p.Kill()
	case plan.Stop:
		h.stop(s.Subject)
	case plan.Pause:
		p.Signal(syscall.SIGSTOP, false)
		sleep(ctx, s.For)
		p.Signal(syscall.SIGCONT, false)
		return
	case plan.Reload:
		p.Signal(syscall.SIGHUP, false)
		return
	case plan.WipeData:
		p.Kill()
		if err := os.RemoveAll(h.dataFolder(s.Subject)); err != nil {
			h.addViolation("Soak", "%v", err)
		}
	case plan.TornWrite:
		p.Kill()
		h.tearLog(s.Subject)
	case plan.PowerLoss:
		h.losePower(ctx, s)
		return
	}
	sleep(ctx, s.For)
	h.restart(s.Subject)
}

// restart starts a process that has exited.
func (h *harness) restart(name string) {
	if err := h.processes[name].Start(); err != nil {
		h.addViolation("Starts", "%v", err)
	}
}

// stop asks a process to stop and waits until it has exited. A router's stop is recorded.
func (h *harness) stop(name string) {
	p, from := h.processes[name], h.now()
	p.Signal(stopSignal, true)
	if !p.Wait(stopLimit) {
		h.addViolation("StopsInTime", "%s still runs %v after it was asked to stop", name, stopLimit)
		p.Kill()
	}
	if strings.HasPrefix(name, "router") {
		h.recorder.Update(func(r *check.Record) {
			r.Stops = append(r.Stops, check.PlannedStop{Router: name, From: from, To: h.now()})
		})
	}
}

// losePower kills the processes of all control hosts at once and starts them again after
// Step.For.
func (h *harness) losePower(ctx context.Context, s plan.Step) {
	var wg sync.WaitGroup
	for i := 1; i <= h.cfg.Plan.Controls; i++ {
		wg.Go(h.processes[plan.Control(i)].Kill)
	}
	wg.Wait()
	sleep(ctx, s.For)
	for i := 1; i <= h.cfg.Plan.Controls; i++ {
		h.restart(plan.Control(i))
	}
}

// tearLog appends tornRecordBytes zero bytes to the newest file of a data folder, as an
// incomplete record.
func (h *harness) tearLog(name string) {
	files, err := filepath.Glob(filepath.Join(h.dataFolder(name), "*"))
	if err != nil || len(files) == 0 {
		return
	}
	newest, newestTime := "", time.Time{}
	for _, path := range files {
		if info, err := os.Stat(path); err == nil && info.Mode().IsRegular() && info.ModTime().After(newestTime) {
			newest, newestTime = path, info.ModTime()
		}
	}
	f, err := os.OpenFile(newest, os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		h.addViolation("Soak", "%v", err)
		return
	}
	defer f.Close()
	if _, err := f.Write(make([]byte, tornRecordBytes)); err != nil {
		h.addViolation("Soak", "%v", err)
	}
}

func (h *harness) runNetworkStep(ctx context.Context, s plan.Step) {
	p := h.proxies[s.Subject]
	switch s.Kind {
	case plan.Reset:
		p.Reset()
	case plan.Blackhole:
		p.Blackhole()
	case plan.Delay:
		p.Delay(s.Amount)
		sleep(ctx, s.For)
		p.Delay(0)
	default:
		direction := proxy.ToSubject
		if s.Kind == plan.BlockOutbound {
			direction = proxy.FromSubject
		}
		p.Block(direction, true)
		sleep(ctx, s.For)
		p.Block(direction, false)
	}
}

func (h *harness) runTargetStep(ctx context.Context, s plan.Step) {
	i, err := strconv.Atoi(strings.TrimPrefix(s.Subject, "target-"))
	if err != nil {
		h.addViolation("Soak", "step %+v: %v", s, err)
		return
	}
	t := h.targets[i-1]
	switch s.Kind {
	case plan.Leave:
		t.leave(ctx, s.For)
	case plan.Disappear:
		t.disappear(ctx, s.For)
	case plan.Hang:
		t.behaveAs(ctx, behaviourHang, s.For)
	case plan.AbortResponses:
		t.behaveAs(ctx, behaviourAbort, s.For)
	}
}

// takeDataCentreOut takes a data centre out of service for outOfServiceGrace plus Step.For, and
// records that its targets must receive no requests.
func (h *harness) takeDataCentreOut(ctx context.Context, s plan.Step) {
	dc := fleet.DataCentreName(s.Subject)
	if !h.operator.setOut(ctx, dc, true) {
		return
	}
	acknowledged := h.now()
	sleep(ctx, s.For+outOfServiceGrace)
	until := h.now()
	h.operator.setOut(ctx, dc, false)
	excluded := map[string]bool{}
	for i := 1; i <= h.cfg.Plan.Targets; i++ {
		excluded[plan.Target(i)] = dataCentre(i) == s.Subject
	}
	h.recorder.Update(func(r *check.Record) {
		r.Exclusions = append(r.Exclusions, check.Exclusion{
			Targets: excluded, Acknowledged: acknowledged, Until: until, Grace: outOfServiceGrace, Rule: "OutGetsNothing",
		})
	})
}
