// Package bench measures a quorum of control replicas. All replicas run in this process,
// each with a data folder of its own on disk, and communicate over loopback.
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

// Config configures Run.
type Config struct {
	// Folder is the data folder of the replicas. It should be on the disk to be measured.
	Folder string
	// Duration is how long each load and each idle measurement lasts.
	Duration time.Duration
	// Rounds is the number of elections, and of propagated changes, that are measured.
	Rounds int
	// RestartChanges is the number of changes applied before the restart that is measured.
	RestartChanges int
	// Processes is the number of simulated processes that send heartbeats.
	Processes int
	// Out receives the figures, one a line.
	Out io.Writer
}

// fleetText is the configuration of the cluster. Each change appends its base version as a
// comment.
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

// concurrentCallers is the number of callers that make ledger calls concurrently.
const concurrentCallers = 64

// Run takes all measurements and prints one line "name value unit" for each figure. It
// stops at the first error.
func Run(cfg Config) error {
	for _, measure := range []func(Config) error{measureSync, measureLoads, measureRestart, measureElectionGap, measurePropagation, measureIdle} {
		if err := measure(cfg); err != nil {
			return err
		}
	}
	return nil
}

func (c *Config) printFigure(name string, value float64, unit string) {
	fmt.Fprintf(c.Out, "%s %.3f %s\n", name, value, unit)
}

// measureSync measures the mean time to append and sync one small record.
func measureSync(cfg Config) error {
	folder := filepath.Join(cfg.Folder, "sync")
	defer os.RemoveAll(folder)
	log, err := disk.Open(folder)
	if err != nil {
		return err
	}
	const syncs = 200
	began := time.Now()
	for range syncs {
		if err := log.Append(make([]byte, 200)); err != nil {
			return err
		}
		if err := log.Sync(); err != nil {
			return err
		}
	}
	cfg.printFigure("control.sync", time.Since(began).Seconds()*1000/syncs, "ms")
	return log.Close()
}

// measureLoads measures changes and ledger calls, first with records synced in groups,
// then with each record synced by itself.
func measureLoads(cfg Config) error {
	for _, mode := range []struct {
		suffix         string
		syncEachRecord bool
	}{{"group", false}, {"each", true}} {
		c, err := newCluster(filepath.Join(cfg.Folder, mode.suffix), mode.syncEachRecord)
		if err != nil {
			return err
		}
		if err := c.measureLoad(&cfg, mode.suffix); err != nil {
			return err
		}
		if err := c.close(); err != nil {
			return err
		}
	}
	return nil
}

// measureLoad measures changes, ledger calls and the disk space that a ledger call takes.
// A ledger call commits two records, its begin and its end.
func (c *cluster) measureLoad(cfg *Config, suffix string) error {
	changeRate, err := c.applyChanges(cfg.Duration)
	if err != nil {
		return err
	}
	cfg.printFigure("control.changes_in_turn."+suffix, changeRate, "1/s")
	bytesBefore, err := c.bytesOnDisk(0)
	if err != nil {
		return err
	}
	calls, err := c.makeLedgerCalls(cfg.Duration)
	if err != nil {
		return err
	}
	cfg.printFigure("control.ledger_commits."+suffix, 2*calls/cfg.Duration.Seconds(), "1/s")
	bytesAfter, err := c.bytesOnDisk(0)
	if err != nil {
		return err
	}
	if calls > 0 {
		cfg.printFigure("control.ledger_disk_per_call."+suffix, float64(bytesAfter-bytesBefore)/calls, "B")
	}
	return nil
}

// applyChanges applies one change after another and returns the accepted changes a second.
func (c *cluster) applyChanges(duration time.Duration) (float64, error) {
	state, err := c.fetchState(fleet.StateRequest{Host: "bench", Role: fleet.RoleOperator})
	if err != nil {
		return 0, err
	}
	first, began := state.Version, time.Now()
	version := first
	for time.Since(began) < duration {
		if version, err = c.applyChange(version); err != nil {
			return 0, err
		}
	}
	return float64(version-first) / time.Since(began).Seconds(), nil
}

// applyChange applies a change to the base version and returns the new version. A change
// that is not accepted is an error.
func (c *cluster) applyChange(base fleet.Version) (fleet.Version, error) {
	var reply fleet.ChangeReply
	err := c.call(fleet.MethodApply, fleet.ApplyRequest{
		Operation: fleet.OperationID(fmt.Sprintf("op-%d", base)), Base: base, Text: fmt.Sprintf("%s; %d\n", fleetText, base),
	}, &reply)
	if err == nil && !reply.Accepted {
		err = errors.Errorf("change after version %d was not accepted: %+v", base, reply)
	}
	return reply.Version, err
}

// makeLedgerCalls has concurrentCallers callers begin and end calls in the ledger, and
// returns how many calls they made.
func (c *cluster) makeLedgerCalls(duration time.Duration) (float64, error) {
	var wg sync.WaitGroup
	counts, errs := make([]int, concurrentCallers), make([]error, concurrentCallers)
	deadline := time.Now().Add(duration)
	for i := range concurrentCallers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ; errs[i] == nil && time.Now().Before(deadline); counts[i]++ {
				errs[i] = c.makeLedgerCall(i, counts[i])
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

// makeLedgerCall records the begin and the end of one call in the ledger.
func (c *cluster) makeLedgerCall(caller, number int) error {
	key := fleet.LedgerKey{
		Customer: "riga-centrs", Service: "permit-desk",
		Key: fleet.IdempotencyKey(fmt.Sprintf("%08d-%08d-permit-filing-1", caller, number)),
	}
	attempt := fleet.AttemptID{Router: "r1", Incarnation: 1, Attempt: fleet.Sequence(number)}
	var beginReply fleet.LedgerBeginReply
	if err := c.call(fleet.MethodLedgerBegin, fleet.LedgerBeginRequest{
		LedgerKey: key, By: attempt,
		Body: "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
	}, &beginReply); err != nil {
		return err
	}
	var endReply fleet.LedgerEndReply
	return c.call(fleet.MethodLedgerEnd, fleet.LedgerEndRequest{
		LedgerKey: key, By: attempt, Verdict: fleet.Ran,
		Answer: &fleet.RecordedAnswer{Status: 200, ContentType: "application/json", Body: make([]byte, 200)},
	}, &endReply)
}

// measureRestart measures how long a replica takes to restart after many changes, and the
// size of its data.
func measureRestart(cfg Config) error {
	c, err := newCluster(filepath.Join(cfg.Folder, "restart"), false)
	if err != nil {
		return err
	}
	version := fleet.Version(0)
	for int(version) < cfg.RestartChanges {
		if version, err = c.applyChange(version); err != nil {
			return err
		}
	}
	if err := c.stopReplica(0); err != nil {
		return err
	}
	began := time.Now()
	if err := c.startReplica(0); err != nil {
		return err
	}
	cfg.printFigure(fmt.Sprintf("control.restart_after_%d_changes", cfg.RestartChanges), time.Since(began).Seconds()*1000, "ms")
	size, err := c.bytesOnDisk(0)
	if err != nil {
		return err
	}
	cfg.printFigure(fmt.Sprintf("control.disk_after_%d_changes", cfg.RestartChanges), float64(size), "B")
	return c.close()
}

// measureElectionGap measures the time from the stop of the leader until the next change
// is accepted.
func measureElectionGap(cfg Config) error {
	c, err := newCluster(filepath.Join(cfg.Folder, "election"), false)
	if err != nil {
		return err
	}
	version, longest, sum := fleet.Version(0), 0.0, 0.0
	for range cfg.Rounds {
		if version, err = c.applyChange(version); err != nil {
			return err
		}
		leader := c.leaderIndex()
		if leader < 0 {
			return errors.New("no replica reports that it is the leader")
		}
		if err := c.stopReplica(leader); err != nil {
			return err
		}
		began := time.Now()
		if version, err = c.applyChange(version); err != nil {
			return err
		}
		gap := time.Since(began).Seconds()
		longest, sum = max(longest, gap), sum+gap
		if err := c.startReplica(leader); err != nil {
			return err
		}
		time.Sleep(time.Second)
	}
	cfg.printFigure("control.election_gap.mean", sum/float64(cfg.Rounds), "s")
	cfg.printFigure("control.election_gap.max", longest, "s")
	return c.close()
}

// followerCount is the number of processes that follow the configuration.
const followerCount = 20

// measurePropagation measures how long an accepted change takes to reach every process
// that follows the configuration.
func measurePropagation(cfg Config) error {
	c, err := newCluster(filepath.Join(cfg.Folder, "force"), false)
	if err != nil {
		return err
	}
	followers := make([]*configsync.Follower, followerCount)
	for i := range followers {
		followers[i] = c.startFollower(i)
	}
	version, longest, sum := fleet.Version(0), 0.0, 0.0
	for range cfg.Rounds {
		if version, err = c.applyChange(version); err != nil {
			return err
		}
		began := time.Now()
		for _, follower := range followers {
			for config, _ := follower.Current(); config.Version < version; config, _ = follower.Current() {
				time.Sleep(time.Millisecond)
			}
		}
		seconds := time.Since(began).Seconds()
		longest, sum = max(longest, seconds), sum+seconds
	}
	cfg.printFigure("control.in_force.mean", sum/float64(cfg.Rounds), "s")
	cfg.printFigure("control.in_force.max", longest, "s")
	for _, follower := range followers {
		follower.Stop()
	}
	return c.close()
}

// startFollower starts following the configuration as the router with index i does.
func (c *cluster) startFollower(i int) *configsync.Follower {
	follower := configsync.New(configsync.Config{
		Control: c.control, Clock: fleet.SystemClock{}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Heartbeat: func() fleet.StateRequest {
			return fleet.StateRequest{Host: fleet.HostID(fmt.Sprintf("router-%d", i)), Role: fleet.RoleRouter, Incarnation: 1}
		},
	})
	follower.Start()
	return follower
}

// measureIdle measures the traffic and CPU time of heartbeats while nothing changes.
func measureIdle(cfg Config) error {
	c, err := newCluster(filepath.Join(cfg.Folder, "idle"), false)
	if err != nil {
		return err
	}
	if _, err := c.applyChange(0); err != nil {
		return err
	}
	// After these heartbeats every process has the list of hosts, which is not sent again.
	hostsSeen := make([]fleet.Sequence, cfg.Processes)
	if err := c.sendHeartbeats(hostsSeen, 2*cfg.Duration); err != nil {
		return err
	}
	cpuBefore, peerBytesBefore, clientBytesBefore := cpuTime(), c.peers.BytesWritten(), c.clients.BytesRead()+c.clients.BytesWritten()
	began := time.Now()
	if err := c.sendHeartbeats(hostsSeen, cfg.Duration); err != nil {
		return err
	}
	seconds := time.Since(began).Seconds()
	processSeconds := seconds * float64(cfg.Processes)
	cfg.printFigure("control.idle_traffic_per_node", float64(c.clients.BytesRead()+c.clients.BytesWritten()-clientBytesBefore)/processSeconds, "B/s")
	cfg.printFigure("control.idle_cpu_per_node", (cpuTime()-cpuBefore).Seconds()*1e6/processSeconds, "us/s")
	cfg.printFigure("control.idle_traffic_between_replicas", float64(c.peers.BytesWritten()-peerBytesBefore)/seconds, "B/s")
	return c.close()
}

// sendHeartbeats requests the state once a second for each process. hostsSeen has one
// element for each process, the last version of the list of hosts that it received, and
// is updated.
func (c *cluster) sendHeartbeats(hostsSeen []fleet.Sequence, duration time.Duration) error {
	var wg sync.WaitGroup
	processes := len(hostsSeen)
	errs := make([]error, processes)
	deadline := time.Now().Add(duration)
	for i := range processes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Second * time.Duration(i) / time.Duration(processes))
			for errs[i] == nil && time.Now().Before(deadline) {
				var reply fleet.StateReply
				reply, errs[i] = c.fetchState(fleet.StateRequest{
					Host: fleet.HostID(fmt.Sprintf("router-%d", i)), Incarnation: 1, Role: fleet.RoleRouter,
					Address: "192.0.2.1:8080", DataCentre: "riga-a", Version: 1, HostsSeen: hostsSeen[i],
				})
				hostsSeen[i] = reply.HostsVersion
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

// cpuTime returns the CPU time that this process has used, or 0 if it cannot be read.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
