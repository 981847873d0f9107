// Package harness runs a deployment of real processes on loopback, with simulated targets,
// callers and operators in the soak's own process, and runs the steps of a plan against it.
package harness

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

// Ports, the same on each loopback address. Each host has addresses of its own.
const (
	// internalPort is a control host's port for the fleet's own processes.
	internalPort  = 24271
	controlPort   = 24281
	directoryPort = 24282
	callerPort    = 24283
	readyPort     = 24284
	targetPort    = 24285
)

const (
	// startLimit bounds the time from the start of the processes until all of them serve.
	startLimit = 20 * time.Second
	// recoveryLimit bounds the time from the end of the last fault until the deployment
	// serves again; the platform's limits set it.
	recoveryLimit = 15 * time.Second
	// stopLimit is the time that the platform's limits allow for a planned stop, plus a second
	// for the process to exit.
	stopLimit = 9 * time.Second
	// operatorTimeout bounds a call of an operator or target to a control host.
	operatorTimeout = 2 * time.Second
)

// Limits that are written into the processes' settings and the configuration. While a target is
// cold it may receive coldOvershoot * coldRate * coldFor + coldSlack requests.
const (
	retryRatio    = 0.2
	retryExtra    = 10
	retryWindow   = 10 * time.Second
	coldFor       = 2 * time.Second
	coldRate      = 5 // requests per second
	coldOvershoot = 1.5
	coldSlack     = 5
)

// Config configures a run.
type Config struct {
	Plan plan.Plan
	// Binary is the path of the deployment's program.
	Binary string
	// Folder is an existing folder for settings, logs and data.
	Folder string
	// Network is the second byte of the loopback addresses at which processes and targets
	// listen. The proxies in front of them use the next one.
	Network int
}

// Outcome is the result of a run.
type Outcome struct {
	Record     check.Record
	Violations []check.Violation
	// Recovery is how long the deployment took to serve again after the last fault.
	Recovery time.Duration
}

// harness holds a deployment, its proxies, and the simulated targets, callers and operators.
type harness struct {
	cfg       Config
	recorder  check.Recorder
	startedAt time.Time
	// planStart is when the deployment first served, relative to startedAt. Step.At counts from
	// it.
	planStart time.Duration
	// processes holds the processes of the fleet by name.
	processes map[string]*process.Process
	// proxies holds the proxies of processes and targets by name.
	proxies  map[string]*proxy.Proxy
	targets  []*target
	client   *client.Client
	operator *operator
	// steps waits for the steps in progress.
	steps sync.WaitGroup
	// actors waits for callers, operators and targets.
	actors sync.WaitGroup
	// violations holds those that the harness itself finds; check.Verify finds the others.
	violations []check.Violation
}

// Run starts a deployment, runs the plan against it and verifies the record. Everything that it
// started has ended when it returns. Violations are not an error; an error means that the run
// failed to start or was cancelled.
func Run(ctx context.Context, cfg Config) (*Outcome, error) {
	h := &harness{
		cfg: cfg, startedAt: time.Now(), processes: map[string]*process.Process{}, proxies: map[string]*proxy.Proxy{},
		client: &client.Client{HTTP: &http.Client{Timeout: operatorTimeout, Transport: &http.Transport{DisableKeepAlives: true}}},
	}
	h.operator = newOperator(h)
	h.recorder.Update(func(r *check.Record) {
		r.Limits = check.Limits{
			RetryRatio: retryRatio, RetryExtra: retryExtra, RetryWindow: retryWindow,
			ColdFor: coldFor, MaxColdRequests: int(coldOvershoot*coldRate*coldFor.Seconds()) + coldSlack,
		}
	})
	defer h.tearDown()
	if err := h.setUp(); err != nil {
		return nil, err
	}
	actors, stopActors := context.WithCancel(ctx)
	defer stopActors()
	if err := h.start(actors); err != nil {
		return nil, err
	}
	h.runPlan(ctx)
	outcome := &Outcome{}
	if ctx.Err() == nil {
		outcome.Recovery = h.awaitRecovery(ctx)
	}
	stopActors()
	h.actors.Wait()
	if ctx.Err() != nil {
		return nil, errors.Wrap(ctx.Err(), "run cancelled")
	}
	h.stopAll()
	outcome.Record = h.recorder.Snapshot()
	outcome.Violations = append(check.Verify(&outcome.Record), h.violations...)
	return outcome, nil
}

// now returns the time since the start of the run.
func (h *harness) now() time.Duration { return time.Since(h.startedAt) }

func (h *harness) addViolation(rule, format string, args ...any) {
	h.violations = append(h.violations, check.Violation{Rule: rule, At: h.now(), Detail: fmt.Sprintf(format, args...)})
}

// address returns the loopback address of host i of a role: that of its proxy if public is
// set, otherwise the one at which it listens itself.
func (h *harness) address(role, i int, public bool) netip.Addr {
	network := h.cfg.Network
	if public {
		network++
	}
	return netip.AddrFrom4([4]byte{127, byte(network), byte(role), byte(i)})
}

// Roles, the third byte of the loopback addresses.
const (
	roleControl = 1 + iota
	roleRouter
	roleTarget
)

func (h *harness) control(i int) netip.AddrPort {
	return netip.AddrPortFrom(h.address(roleControl, i, true), controlPort)
}

func (h *harness) directory(i int) netip.AddrPort {
	return netip.AddrPortFrom(h.address(roleControl, i, true), directoryPort)
}

func (h *harness) router(i int) netip.AddrPort {
	return netip.AddrPortFrom(h.address(roleRouter, i, true), callerPort)
}

// dataCentre returns the data centre of host i of any role.
func dataCentre(i int) string { return plan.DataCentres[i%len(plan.DataCentres)] }

// setUp starts proxies and targets, and writes the settings of the processes.
func (h *harness) setUp() error {
	for i := 1; i <= h.cfg.Plan.Controls; i++ {
		if err := h.addProcess(plan.Control(i), "control", h.controlSettings(i, true), roleControl, i, internalPort, controlPort, directoryPort); err != nil {
			return err
		}
	}
	for i := 1; i <= h.cfg.Plan.Routers; i++ {
		if err := h.addProcess(plan.Router(i), "router", h.routerSettings(i), roleRouter, i, callerPort); err != nil {
			return err
		}
	}
	for i := 1; i <= h.cfg.Plan.Targets; i++ {
		if err := h.addProxy(plan.Target(i), roleTarget, i, targetPort); err != nil {
			return err
		}
		t, err := newTarget(h, i)
		if err != nil {
			return err
		}
		h.targets = append(h.targets, t)
	}
	return nil
}

// addProxy starts the proxy of a process or target.
func (h *harness) addProxy(name string, role, i int, ports ...uint16) error {
	p, err := proxy.New(h.address(role, i, true), h.address(role, i, false), ports...)
	if err != nil {
		return err
	}
	h.proxies[name] = p
	return nil
}

// addProcess writes the settings of a process and starts its proxy, but not the process.
func (h *harness) addProcess(name, subcommand, settings string, role, i int, ports ...uint16) error {
	if err := h.addProxy(name, role, i, ports...); err != nil {
		return err
	}
	path := filepath.Join(h.cfg.Folder, name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	h.processes[name] = &process.Process{
		Name: name, Args: []string{h.cfg.Binary, subcommand, "--settings", path}, Log: filepath.Join(h.cfg.Folder, name+".log"),
	}
	return nil
}

// hostSettings returns the sections of the settings that all processes of the fleet have.
func (h *harness) hostSettings(name string, role, i int) string {
	var seeds []string
	for s := 1; s <= 3; s++ {
		seeds = append(seeds, h.control(s).String())
	}
	return fmt.Sprintf("[Host]\nHost = %s\nDataCentre = %s\nAddress = %s\nBind = %s\n[Control]\nSeeds = %s\nPorts = %d,%d\n",
		name, dataCentre(i), h.address(role, i, true), h.address(role, i, false), strings.Join(seeds, ","), internalPort, internalPort)
}

func (h *harness) dataFolder(name string) string { return filepath.Join(h.cfg.Folder, "data-"+name) }

func (h *harness) controlSettings(i int, bootstrap bool) string {
	name := plan.Control(i)
	return h.hostSettings(name, roleControl, i) + fmt.Sprintf("[Replica]\nListen = %s\nDirectory = %s\nDataFolder = %s\nBootstrap = %t\n",
		h.control(i), h.directory(i), h.dataFolder(name), bootstrap)
}

func (h *harness) routerSettings(i int) string {
	ready := netip.AddrPortFrom(h.address(roleRouter, i, true), readyPort)
	return h.hostSettings(plan.Router(i), roleRouter, i) + fmt.Sprintf(
		"[Router]\nListen = %s\nReadiness = %s\nAnnounceInterval = %s\n[Limits]\nRetryRatio = %g\nRetryExtra = %d\nRetryWindow = %s\nColdOvershoot = %g\nColdSlack = %d\n",
		h.router(i), ready, announceInterval, retryRatio, retryExtra, retryWindow, coldOvershoot, coldSlack)
}

// start starts the processes, the announcements of targets and the puts of configurations, waits
// until the deployment serves, and then starts the callers and the reads of configurations.
func (h *harness) start(ctx context.Context) error {
	for _, p := range h.processes {
		if err := p.Start(); err != nil {
			return err
		}
	}
	for _, t := range h.targets {
		h.actors.Go(func() { t.announceUntilDone(ctx) })
	}
	h.actors.Go(func() { h.operator.run(ctx) })
	if !h.awaitServing(ctx, startLimit) {
		return errors.Errorf("the deployment does not serve within %v of its start; see the logs in %s", startLimit, h.cfg.Folder)
	}
	for i := 1; i <= h.cfg.Plan.Controls; i++ {
		// A restarted host must not bootstrap a new quorum.
		path := filepath.Join(h.cfg.Folder, plan.Control(i)+".ini")
		if err := os.WriteFile(path, []byte(h.controlSettings(i, false)), 0o600); err != nil {
			return errors.Wrap(err, "write settings")
		}
	}
	h.planStart = h.now()
	h.actors.Go(func() { h.readConfigs(ctx) })
	for i := range callerCount(h.cfg.Plan.Routers) {
		h.actors.Go(func() { newCaller(h, i).run(ctx) })
	}
	return nil
}

// runPlan runs the steps of the plan at their times, and waits for the end of the plan and of
// all steps.
func (h *harness) runPlan(ctx context.Context) {
	for _, s := range h.cfg.Plan.Steps {
		if !sleep(ctx, h.planStart+s.At-h.now()) {
			return
		}
		h.steps.Go(func() { h.runStep(ctx, s) })
	}
	sleep(ctx, h.planStart+h.cfg.Plan.For-h.now())
	h.steps.Wait()
}

// awaitRecovery starts the processes that are not running, waits until the deployment serves
// again and returns how long that took.
func (h *harness) awaitRecovery(ctx context.Context) time.Duration {
	for _, p := range h.processes {
		if err := p.Start(); err != nil {
			h.addViolation("Starts", "%v", err)
		}
	}
	from := h.now()
	if !h.awaitServing(ctx, recoveryLimit) {
		h.addViolation("ServesAgain", "not every router and control host answers %v after the last fault", recoveryLimit)
	}
	return h.now() - from
}

// awaitServing waits until every router has answered a request of each kind and every control
// host a read. It returns false after timeout.
func (h *harness) awaitServing(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	results := make(chan bool)
	pending := 0
	poll := func(condition func() bool) {
		pending++
		go func() {
			for ctx.Err() == nil {
				if condition() {
					results <- true
					return
				}
				sleep(ctx, 100*time.Millisecond)
			}
			results <- false
		}()
	}
	for i := 1; i <= h.cfg.Plan.Routers; i++ {
		c := newCaller(h, -i)
		for _, kind := range requestKinds {
			poll(func() bool { return c.probe(ctx, i, kind) })
		}
	}
	for i := 1; i <= h.cfg.Plan.Controls; i++ {
		poll(func() bool {
			_, err := h.client.ReadConfig(ctx, h.control(i))
			return err == nil
		})
	}
	serving := true
	for range pending {
		serving = <-results && serving
	}
	return serving
}

// stopAll checks for unexpected exits and forbidden log lines, and stops all processes.
func (h *harness) stopAll() {
	var wg sync.WaitGroup
	for name, p := range h.processes {
		if p.UnexpectedExits() > 0 {
			h.addViolation("NoEndOfItsOwn", "%s ended %d times without an order", name, p.UnexpectedExits())
		}
		h.checkLog(p)
		p.Signal(stopSignal, true)
		wg.Go(func() { p.Wait(stopLimit) })
	}
	wg.Wait()
}

// checkLog searches a process's log for panics, violated invariants and data races.
func (h *harness) checkLog(p *process.Process) {
	content, err := os.ReadFile(p.Log)
	if err != nil {
		h.addViolation("Log", "%v", err)
		return
	}
	for _, forbidden := range []string{"panic:", "InvariantViolated", "DATA RACE"} {
		if strings.Contains(string(content), forbidden) {
			h.addViolation("CleanLog", "the log of %s has %q", p.Name, forbidden)
		}
	}
}

// tearDown kills the processes that still run, and closes proxies and targets.
func (h *harness) tearDown() {
	for _, p := range h.processes {
		p.Kill()
	}
	for _, p := range h.proxies {
		p.Close()
	}
	for _, t := range h.targets {
		t.close()
	}
}

// sleep waits for d. It returns false if ctx ends first.
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
