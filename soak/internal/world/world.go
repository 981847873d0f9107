// Package world runs a deployment of real processes on loopback, with stand-in targets,
// callers and operators in its own process, and does to it what a plan says.
package world

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/platform/client"

	"github.com/fuchsiashed/fuchsiashed/soak/internal/check"
	"github.com/fuchsiashed/fuchsiashed/soak/internal/plan"
	"github.com/fuchsiashed/fuchsiashed/soak/internal/process"
	"github.com/fuchsiashed/fuchsiashed/soak/internal/proxy"
)

// Ports, the same on each loopback address.
const (
	ownPort       = 24271
	controlPort   = 24281
	directoryPort = 24282
	callerPort    = 24283
	readyPort     = 24284
	targetPort    = 24285
)

const (
	// startLimit bounds the time from the start of the processes to the first answers.
	startLimit = 20 * time.Second
	// recoveryLimit bounds the time from the end of the last fault until the deployment
	// serves again (recoveryS of the platform's sheets).
	recoveryLimit = 15 * time.Second
	// stopLimit is the time that a planned stop may take (gracePeriodS of the sheets), and
	// a second for the end of the process.
	stopLimit = 9 * time.Second
	// operatorTimeout bounds a call of an operator or target.
	operatorTimeout = 2 * time.Second
)

// The limits that the processes' settings and the configuration name.
const (
	retryRatio  = 0.2
	retryExtra  = 10
	retryWindow = 10 * time.Second
	coldFor     = 2 * time.Second
	coldRate    = 5
	coldFactor  = 1.5
	coldSlack   = 5
)

// Config configures a run.
type Config struct {
	Plan plan.Plan
	// Binary is the program of the deployment.
	Binary string
	// Folder takes settings, logs and data.
	Folder string
	// Network is the second byte of the loopback addresses that the processes listen at;
	// the next one is that of the proxies before them.
	Network int
}

// Outcome is what a run gave.
type Outcome struct {
	Record     check.Record
	Violations []check.Violation
	// Recovery is how long the deployment took to serve again after the last fault.
	Recovery time.Duration
}

// world is a deployment and those who use it.
type world struct {
	cfg   Config
	book  check.Book
	begin time.Time
	// zero is when the plan begins: when the deployment serves.
	zero    time.Duration
	procs   map[string]*process.Process
	hosts   map[string]*proxy.Host
	targets []*target
	client  *client.Client
	writers *writer
	// faults waits for the steps that are under way.
	faults sync.WaitGroup
	// users waits for callers, operators and targets.
	users sync.WaitGroup
	found []check.Violation
}

// Run plays a plan. It returns when all that it started has ended.
func Run(ctx context.Context, cfg Config) (*Outcome, error) {
	w := &world{
		cfg: cfg, begin: time.Now(), procs: map[string]*process.Process{}, hosts: map[string]*proxy.Host{},
		client: &client.Client{HTTP: &http.Client{Timeout: operatorTimeout, Transport: &http.Transport{DisableKeepAlives: true}}},
	}
	w.writers = newWriter(w)
	w.book.Add(func(r *check.Record) {
		r.Limits = check.Limits{
			RetryRatio: retryRatio, RetryExtra: retryExtra, RetryWindow: retryWindow,
			ColdFor: coldFor, ColdMost: int(coldFactor*coldRate*coldFor.Seconds()) + coldSlack,
		}
	})
	defer w.end()
	if err := w.build(); err != nil {
		return nil, err
	}
	users, stopUsers := context.WithCancel(ctx)
	defer stopUsers()
	if err := w.startUp(users); err != nil {
		return nil, err
	}
	w.play(ctx)
	out := &Outcome{}
	if ctx.Err() == nil {
		out.Recovery = w.recover(ctx)
	}
	stopUsers()
	w.users.Wait()
	if ctx.Err() != nil {
		return nil, errors.Wrap(ctx.Err(), "the run was ended")
	}
	w.stopAll()
	out.Record = w.book.Record()
	out.Violations = append(check.Judge(&out.Record), w.found...)
	return out, nil
}

// now is the time since the begin of the run.
func (w *world) now() time.Duration { return time.Since(w.begin) }

func (w *world) fail(rule, format string, args ...any) {
	w.found = append(w.found, check.Violation{Rule: rule, At: w.now(), Detail: fmt.Sprintf(format, args...)})
}

// address returns the loopback address of a subject: its own one, or that of its proxy.
func (w *world) address(role, i int, public bool) netip.Addr {
	network := w.cfg.Network
	if public {
		network++
	}
	return netip.AddrFrom4([4]byte{127, byte(network), byte(role), byte(i)})
}

// Third bytes of the loopback addresses.
const (
	roleControl = 1 + iota
	roleRouter
	roleTarget
)

func (w *world) control(i int) netip.AddrPort {
	return netip.AddrPortFrom(w.address(roleControl, i, true), controlPort)
}

func (w *world) directory(i int) netip.AddrPort {
	return netip.AddrPortFrom(w.address(roleControl, i, true), directoryPort)
}

func (w *world) router(i int) netip.AddrPort {
	return netip.AddrPortFrom(w.address(roleRouter, i, true), callerPort)
}

func dataCentre(i int) string { return plan.DataCentres[i%len(plan.DataCentres)] }

// build makes proxies, settings and targets.
func (w *world) build() error {
	for i := 1; i <= w.cfg.Plan.Controls; i++ {
		if err := w.buildProcess(plan.Control(i), "control", w.controlSettings(i, true), roleControl, i, ownPort, controlPort, directoryPort); err != nil {
			return err
		}
	}
	for i := 1; i <= w.cfg.Plan.Routers; i++ {
		if err := w.buildProcess(plan.Router(i), "router", w.routerSettings(i), roleRouter, i, callerPort); err != nil {
			return err
		}
	}
	for i := 1; i <= w.cfg.Plan.Targets; i++ {
		if err := w.buildProxy(plan.Target(i), roleTarget, i, targetPort); err != nil {
			return err
		}
		t, err := newTarget(w, i)
		if err != nil {
			return err
		}
		w.targets = append(w.targets, t)
	}
	return nil
}

func (w *world) buildProxy(name string, role, i int, ports ...uint16) error {
	h, err := proxy.New(w.address(role, i, true), w.address(role, i, false), ports...)
	if err != nil {
		return err
	}
	w.hosts[name] = h
	return nil
}

func (w *world) buildProcess(name, verb, settings string, role, i int, ports ...uint16) error {
	if err := w.buildProxy(name, role, i, ports...); err != nil {
		return err
	}
	path := filepath.Join(w.cfg.Folder, name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	w.procs[name] = &process.Process{
		Name: name, Args: []string{w.cfg.Binary, verb, "--settings", path}, Log: filepath.Join(w.cfg.Folder, name+".log"),
	}
	return nil
}

func (w *world) hostSettings(name string, role, i int) string {
	var seeds []string
	for s := 1; s <= 3; s++ {
		seeds = append(seeds, w.control(s).String())
	}
	return fmt.Sprintf("[Host]\nHost = %s\nDataCentre = %s\nAddress = %s\nBind = %s\n[Control]\nSeeds = %s\nPorts = %d,%d\n",
		name, dataCentre(i), w.address(role, i, true), w.address(role, i, false), strings.Join(seeds, ","), ownPort, ownPort)
}

func (w *world) dataFolder(name string) string { return filepath.Join(w.cfg.Folder, "data-"+name) }

func (w *world) controlSettings(i int, bootstrap bool) string {
	name := plan.Control(i)
	return w.hostSettings(name, roleControl, i) + fmt.Sprintf("[Replica]\nListen = %s\nDirectory = %s\nDataFolder = %s\nBootstrap = %t\n",
		w.control(i), w.directory(i), w.dataFolder(name), bootstrap)
}

func (w *world) routerSettings(i int) string {
	ready := netip.AddrPortFrom(w.address(roleRouter, i, true), readyPort)
	return w.hostSettings(plan.Router(i), roleRouter, i) + fmt.Sprintf(
		"[Router]\nListen = %s\nReadiness = %s\nAnnounceInterval = %s\n[Limits]\nRetryRatio = %g\nRetryExtra = %d\nRetryWindow = %s\nColdOvershoot = %g\nColdSlack = %d\n",
		w.router(i), ready, announceInterval, retryRatio, retryExtra, retryWindow, coldFactor, coldSlack)
}

// startUp starts all processes and waits until every router serves.
func (w *world) startUp(ctx context.Context) error {
	for _, p := range w.procs {
		if err := p.Start(); err != nil {
			return err
		}
	}
	for _, t := range w.targets {
		w.users.Go(func() { t.announce(ctx) })
	}
	w.users.Go(func() { w.writers.run(ctx) })
	if !w.servesWithin(ctx, startLimit) {
		return errors.Errorf("the deployment does not serve %v after its start; its logs are in %s", startLimit, w.cfg.Folder)
	}
	for i := 1; i <= w.cfg.Plan.Controls; i++ {
		// A host that starts again must not found a quorum of its own.
		path := filepath.Join(w.cfg.Folder, plan.Control(i)+".ini")
		if err := os.WriteFile(path, []byte(w.controlSettings(i, false)), 0o600); err != nil {
			return errors.Wrap(err, "write settings")
		}
	}
	w.zero = w.now()
	w.users.Go(func() { w.read(ctx) })
	for i := range callersFor(w.cfg.Plan.Routers) {
		w.users.Go(func() { newCaller(w, i).run(ctx) })
	}
	return nil
}

// play does the steps of the plan at their times.
func (w *world) play(ctx context.Context) {
	for _, s := range w.cfg.Plan.Steps {
		if !sleep(ctx, w.zero+s.At-w.now()) {
			return
		}
		w.faults.Go(func() { w.do(ctx, s) })
	}
	sleep(ctx, w.zero+w.cfg.Plan.For-w.now())
	w.faults.Wait()
}

// recover waits until the deployment serves again and returns how long that took.
func (w *world) recover(ctx context.Context) time.Duration {
	for _, p := range w.procs {
		if err := p.Start(); err != nil {
			w.fail("Starts", "%v", err)
		}
	}
	from := w.now()
	if !w.servesWithin(ctx, recoveryLimit) {
		w.fail("ServesAgain", "not every router and control host answers %v after the last fault", recoveryLimit)
	}
	return w.now() - from
}

// servesWithin waits until every router has answered a request of each kind, and every
// control host an operator.
func (w *world) servesWithin(ctx context.Context, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	done := make(chan bool)
	waiting := 0
	await := func(f func() bool) {
		waiting++
		go func() {
			for ctx.Err() == nil {
				if f() {
					done <- true
					return
				}
				sleep(ctx, 100*time.Millisecond)
			}
			done <- false
		}()
	}
	for i := 1; i <= w.cfg.Plan.Routers; i++ {
		c := newCaller(w, -i)
		for _, kind := range kinds {
			await(func() bool { return c.probe(ctx, i, kind) })
		}
	}
	for i := 1; i <= w.cfg.Plan.Controls; i++ {
		await(func() bool {
			_, err := w.client.ReadConfig(ctx, w.control(i))
			return err == nil
		})
	}
	all := true
	for range waiting {
		all = <-done && all
	}
	return all
}

// stopAll stops all processes as planned.
func (w *world) stopAll() {
	var wg sync.WaitGroup
	for name, p := range w.procs {
		if p.Strays() > 0 {
			w.fail("NoEndOfItsOwn", "%s ended %d times without an order", name, p.Strays())
		}
		w.checkLog(p)
		p.Signal(stopSignal, true)
		wg.Go(func() { p.Wait(stopLimit) })
	}
	wg.Wait()
}

// checkLog looks for what no process may log.
func (w *world) checkLog(p *process.Process) {
	text, err := os.ReadFile(p.Log)
	if err != nil {
		w.fail("Log", "%v", err)
		return
	}
	for _, bad := range []string{"panic:", "InvariantViolated", "DATA RACE"} {
		if strings.Contains(string(text), bad) {
			w.fail("CleanLog", "the log of %s has %q", p.Name, bad)
		}
	}
}

// end ends whatever still runs; it is only what this run started.
func (w *world) end() {
	for _, p := range w.procs {
		p.Kill()
	}
	for _, h := range w.hosts {
		h.Close()
	}
	for _, t := range w.targets {
		t.close()
	}
}

// sleep waits and says whether the context still lives.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(max(d, 0))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
