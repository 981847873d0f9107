package bench

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/configsync"

	"github.com/fuchsiashed/fuchsiashed/control/disk"
)

// Config configures a Run.
type Config struct {
	// Folder is where replicas keep their data; it should be on the disk to be measured.
	Folder string
	// Duration is how long each load runs.
	Duration time.Duration
	// Rounds is how often elections and changes in force are measured.
	Rounds int
	// Changes is how many changes are made before a restart.
	Changes int
	// Nodes is the number of processes whose heartbeats are measured.
	Nodes int
	Out   io.Writer
}

const fleetText = `
[Fleet]
Region = lv-riga
[DataCentre riga-a]
[Service drafter]
Protocol = Model
MaxCost = 4000
[Customer riga-centrs]
KeyHash = 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef
`

// callers is how many calls are under way at a time under load.
const callers = 64

// Run measures everything and prints one line "name value unit" for each figure.
func Run(cfg Config) error {
	for _, f := range []func(Config) error{syncCost, loads, restart, electionGap, inForce, idle} {
		if err := f(cfg); err != nil {
			return err
		}
	}
	return nil
}

func (c *Config) print(name string, value float64, unit string) {
	fmt.Fprintf(c.Out, "%s %.3f %s\n", name, value, unit)
}

// syncCost measures one sync of a small record.
func syncCost(cfg Config) error {
	folder := filepath.Join(cfg.Folder, "sync")
	defer os.RemoveAll(folder)
	l, err := disk.Open(folder)
	if err != nil {
		return err
	}
	const syncs = 200
	began := time.Now()
	for range syncs {
		if err := l.Append(make([]byte, 200)); err != nil {
			return err
		}
		if err := l.Sync(); err != nil {
			return err
		}
	}
	cfg.print("control.sync", time.Since(began).Seconds()*1000/syncs, "ms")
	return l.Close()
}

// loads measures changes and ledger calls with each way of syncing.
func loads(cfg Config) error {
	for _, way := range []struct {
		name string
		each bool
	}{{"group", false}, {"each", true}} {
		g, err := newGroup(filepath.Join(cfg.Folder, way.name), way.each)
		if err != nil {
			return err
		}
		if err := g.load(&cfg, way.name); err != nil {
			return err
		}
		if err := g.close(); err != nil {
			return err
		}
	}
	return nil
}

func (g *group) load(cfg *Config, way string) error {
	serial, err := g.changes(cfg.Duration)
	if err != nil {
		return err
	}
	cfg.print("control.changes_in_turn."+way, serial, "1/s")
	before, err := g.bytesOnDisk(0)
	if err != nil {
		return err
	}
	calls, err := g.ledgerCalls(cfg.Duration)
	if err != nil {
		return err
	}
	cfg.print("control.ledger_commits."+way, 2*calls/cfg.Duration.Seconds(), "1/s")
	after, err := g.bytesOnDisk(0)
	if err != nil {
		return err
	}
	if calls > 0 {
		cfg.print("control.ledger_disk_per_call."+way, float64(after-before)/calls, "B")
	}
	return nil
}

// changes makes one change after another and returns how many were accepted a second.
func (g *group) changes(d time.Duration) (float64, error) {
	state, err := g.state(fleet.StateRequest{Host: "bench", Role: fleet.RoleOperator})
	if err != nil {
		return 0, err
	}
	first, began := state.Version, time.Now()
	v := first
	for time.Since(began) < d {
		if v, err = g.change(v); err != nil {
			return 0, err
		}
	}
	return float64(v-first) / time.Since(began).Seconds(), nil
}

// change makes the change after version v and returns the new version.
func (g *group) change(v fleet.Version) (fleet.Version, error) {
	var reply fleet.ChangeReply
	err := g.call(fleet.MethodApply, fleet.ApplyRequest{
		Operation: fleet.OperationID(fmt.Sprintf("op-%d", v)), Base: v, Text: fmt.Sprintf("%s; %d\n", fleetText, v),
	}, &reply)
	if err == nil && !reply.Accepted {
		err = errors.Errorf("change after version %d was not accepted: %+v", v, reply)
	}
	return reply.Version, err
}

// ledgerCalls begins and ends calls with many callers and returns how many it made.
func (g *group) ledgerCalls(d time.Duration) (float64, error) {
	var wg sync.WaitGroup
	counts, errs := make([]int, callers), make([]error, callers)
	end := time.Now().Add(d)
	for i := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ; errs[i] == nil && time.Now().Before(end); counts[i]++ {
				errs[i] = g.ledgerCall(i, counts[i])
			}
		}()
	}
	wg.Wait()
	total := 0
	for i := range counts {
		if errs[i] != nil {
			return 0, errs[i]
		}
		total += counts[i]
	}
	return float64(total), nil
}

func (g *group) ledgerCall(caller, n int) error {
	key := fleet.LedgerKey{
		Customer: "riga-centrs", Service: "permit-desk",
		Key: fleet.IdempotencyKey(fmt.Sprintf("%08d-%08d-permit-filing-1", caller, n)),
	}
	by := fleet.AttemptID{Router: "r1", Incarnation: 1, Attempt: fleet.Sequence(n)}
	var begin fleet.LedgerBeginReply
	if err := g.call(fleet.MethodLedgerBegin, fleet.LedgerBeginRequest{
		LedgerKey: key, By: by,
		Body: "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
	}, &begin); err != nil {
		return err
	}
	var end fleet.LedgerEndReply
	return g.call(fleet.MethodLedgerEnd, fleet.LedgerEndRequest{
		LedgerKey: key, By: by, Verdict: fleet.Ran,
		Answer: &fleet.RecordedAnswer{Status: 200, ContentType: "application/json", Body: make([]byte, 200)},
	}, &end)
}

// restart measures how long one replica takes to be ready after many changes.
func restart(cfg Config) error {
	g, err := newGroup(filepath.Join(cfg.Folder, "restart"), false)
	if err != nil {
		return err
	}
	v := fleet.Version(0)
	for int(v) < cfg.Changes {
		if v, err = g.change(v); err != nil {
			return err
		}
	}
	if err := g.stop(0); err != nil {
		return err
	}
	began := time.Now()
	if err := g.start(0); err != nil {
		return err
	}
	cfg.print(fmt.Sprintf("control.restart_after_%d_changes", cfg.Changes), time.Since(began).Seconds()*1000, "ms")
	size, err := g.bytesOnDisk(0)
	if err != nil {
		return err
	}
	cfg.print(fmt.Sprintf("control.disk_after_%d_changes", cfg.Changes), float64(size), "B")
	return g.close()
}

// electionGap measures how long no change is accepted after the leader has gone.
func electionGap(cfg Config) error {
	g, err := newGroup(filepath.Join(cfg.Folder, "election"), false)
	if err != nil {
		return err
	}
	v, longest, sum := fleet.Version(0), 0.0, 0.0
	for range cfg.Rounds {
		if v, err = g.change(v); err != nil {
			return err
		}
		leader := g.leader()
		if leader < 0 {
			return errors.New("no replica leads")
		}
		if err := g.stop(leader); err != nil {
			return err
		}
		began := time.Now()
		if v, err = g.change(v); err != nil {
			return err
		}
		gap := time.Since(began).Seconds()
		longest, sum = max(longest, gap), sum+gap
		if err := g.start(leader); err != nil {
			return err
		}
		time.Sleep(time.Second)
	}
	cfg.print("control.election_gap.mean", sum/float64(cfg.Rounds), "s")
	cfg.print("control.election_gap.max", longest, "s")
	return g.close()
}

// followers is the number of processes whose configuration is watched.
const followers = 20

// inForce measures how long an accepted change takes to reach every process.
func inForce(cfg Config) error {
	g, err := newGroup(filepath.Join(cfg.Folder, "force"), false)
	if err != nil {
		return err
	}
	all := make([]*configsync.Follower, followers)
	for i := range all {
		all[i] = g.follow(i)
	}
	v, longest, sum := fleet.Version(0), 0.0, 0.0
	for range cfg.Rounds {
		if v, err = g.change(v); err != nil {
			return err
		}
		began := time.Now()
		for _, f := range all {
			for c, _ := f.Current(); c.Version < v; c, _ = f.Current() {
				time.Sleep(time.Millisecond)
			}
		}
		took := time.Since(began).Seconds()
		longest, sum = max(longest, took), sum+took
	}
	cfg.print("control.in_force.mean", sum/float64(cfg.Rounds), "s")
	cfg.print("control.in_force.max", longest, "s")
	for _, f := range all {
		f.Stop()
	}
	return g.close()
}

// follow starts a process's view of the configuration.
func (g *group) follow(i int) *configsync.Follower {
	f := configsync.New(configsync.Config{
		Control: g.control, Clock: fleet.SystemClock{}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Heartbeat: func() fleet.StateRequest {
			return fleet.StateRequest{Host: fleet.HostID(fmt.Sprintf("router-%d", i)), Role: fleet.RoleRouter, Incarnation: 1}
		},
	})
	f.Start()
	return f
}

// idle measures what heartbeats of a fleet without any change cost.
func idle(cfg Config) error {
	g, err := newGroup(filepath.Join(cfg.Folder, "idle"), false)
	if err != nil {
		return err
	}
	if _, err := g.change(0); err != nil {
		return err
	}
	// By then every process has the list of hosts.
	seen := make([]fleet.Sequence, cfg.Nodes)
	if err := g.heartbeats(seen, 2*cfg.Duration); err != nil {
		return err
	}
	cpu, peers, clients := cpuTime(), g.peers.BytesWritten(), g.clients.BytesRead()+g.clients.BytesWritten()
	began := time.Now()
	if err := g.heartbeats(seen, cfg.Duration); err != nil {
		return err
	}
	seconds := time.Since(began).Seconds()
	nodes := seconds * float64(cfg.Nodes)
	cfg.print("control.idle_traffic_per_node", float64(g.clients.BytesRead()+g.clients.BytesWritten()-clients)/nodes, "B/s")
	cfg.print("control.idle_cpu_per_node", (cpuTime()-cpu).Seconds()*1e6/nodes, "us/s")
	cfg.print("control.idle_traffic_between_replicas", float64(g.peers.BytesWritten()-peers)/seconds, "B/s")
	return g.close()
}

// heartbeats asks for the state once a second for each of many nodes, which
// know the hosts of the versions seen.
func (g *group) heartbeats(seen []fleet.Sequence, d time.Duration) error {
	var wg sync.WaitGroup
	nodes := len(seen)
	errs := make([]error, nodes)
	end := time.Now().Add(d)
	for i := range nodes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Second * time.Duration(i) / time.Duration(nodes))
			for errs[i] == nil && time.Now().Before(end) {
				var s fleet.StateReply
				s, errs[i] = g.state(fleet.StateRequest{
					Host: fleet.HostID(fmt.Sprintf("router-%d", i)), Incarnation: 1, Role: fleet.RoleRouter,
					Address: "192.0.2.1:8080", DataCentre: "riga-a", Version: 1, HostsSeen: seen[i],
				})
				seen[i] = s.HostsVersion
				time.Sleep(time.Second)
			}
		}()
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
