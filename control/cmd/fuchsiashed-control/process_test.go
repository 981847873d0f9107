package main_test

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
)

const fleetText = `
[Fleet]
Region = lv-riga
[DataCentre riga-a]
[DataCentre riga-b]
[Service drafter]
Protocol = Model
MaxCost = 4000
[Customer riga-centrs]
KeyHash = 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef
`

// replicas is a quorum of processes of the program.
type replicas struct {
	t         *testing.T
	folder    string
	port      int
	processes map[int]*exec.Cmd
	control   *rpc.ControlClient
}

const replicaCount = 3

// binary is the path of the program, built once for all tests.
var binary string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the program and runs the tests with it.
func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "fuchsiashed-control")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(folder)
	binary = filepath.Join(folder, "fuchsiashed-control")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		panic(string(out))
	}
	return m.Run()
}

// startReplicas starts replicaCount replicas that listen on successive ports from port on, and
// their admin endpoints from port+10 on.
func startReplicas(t *testing.T, port int) *replicas {
	r := &replicas{t: t, folder: t.TempDir(), port: port, processes: map[int]*exec.Cmd{}}
	var addresses []netip.AddrPort
	for i := range replicaCount {
		addresses = append(addresses, netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", port+i)))
		r.start(i)
	}
	r.control = rpc.NewControlClient(rpc.ControlClientConfig{Replicas: addresses, Traffic: &rpc.Traffic{}})
	r.control.Start()
	t.Cleanup(r.stop)
	return r
}

func (r *replicas) dataFolder(i int) string {
	return filepath.Join(r.folder, fmt.Sprintf("data-%d", i))
}

func (r *replicas) eventLog(i int) string { return r.dataFolder(i) + ".events" }

func (r *replicas) settings(i int) string {
	var members []string
	for j := range replicaCount {
		members = append(members, fmt.Sprintf("control-%d@127.0.0.1:%d", j, r.port+j))
	}
	return fmt.Sprintf("[Host]\nHost = control-%d\nDataCentre = riga-a\nAdmin = 127.0.0.1:%d\n"+
		"[Control]\nListen = 127.0.0.1:%d\nDataFolder = %s\nBootstrap = true\nSnapshotEntries = 50\nRecord = %s\n[Replicas]\nMembers = %s\n",
		i, r.port+10+i, r.port+i, r.dataFolder(i), r.eventLog(i), strings.Join(members, ","))
}

func (r *replicas) start(i int) {
	path := filepath.Join(r.folder, fmt.Sprintf("control-%d.ini", i))
	if err := os.WriteFile(path, []byte(r.settings(i)), 0o600); err != nil {
		r.t.Fatal(err)
	}
	logFile, err := os.OpenFile(path+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		r.t.Fatal(err)
	}
	defer logFile.Close()
	cmd := exec.Command(binary, "--settings", path)
	cmd.Stderr = logFile
	if err := cmd.Start(); err != nil {
		r.t.Fatal(err)
	}
	r.processes[i] = cmd
}

// kill kills a replica with SIGKILL.
func (r *replicas) kill(i int) {
	cmd := r.processes[i]
	delete(r.processes, i)
	if err := cmd.Process.Kill(); err != nil {
		r.t.Error(err)
	}
	// Wait returns an error because the process was killed.
	_ = cmd.Wait()
}

func (r *replicas) signal(i int, s syscall.Signal) {
	if err := r.processes[i].Process.Signal(s); err != nil {
		r.t.Error(err)
	}
}

func (r *replicas) stop() {
	r.control.Stop()
	for i := range r.processes {
		r.kill(i)
	}
}

// call calls the leader; it retries through elections, for at most 15 s.
func (r *replicas) call(method string, params, reply any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	return r.control.Call(ctx, method, params, reply)
}

func (r *replicas) state() (fleet.StateReply, error) {
	var s fleet.StateReply
	err := r.call(fleet.MethodState, fleet.StateRequest{Host: "tester", Role: fleet.RoleOperator}, &s)
	return s, err
}

// apply applies a fleet text on top of version base.
func (r *replicas) apply(operation string, base fleet.Version, text string) (fleet.ChangeReply, error) {
	var c fleet.ChangeReply
	err := r.call(fleet.MethodApply, fleet.ApplyRequest{
		Operation: fleet.OperationID(operation), Base: base, Text: text, Operator: "tester",
	}, &c)
	return c, err
}

// status returns the status of replica i.
func (r *replicas) status(i int) (fleet.StatusReply, error) {
	var s fleet.StatusReply
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err := r.control.Replica(i).Call(ctx, fleet.MethodStatus, fleet.StatusRequest{}, &s)
	return s, err
}

// leader returns the number of the leader and waits up to 10 s for an election.
func (r *replicas) leader() int {
	for range 200 {
		for i := range replicaCount {
			if s, err := r.status(i); err == nil && s.Standing == "Leader" {
				return i
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	r.t.Fatal("no replica leads")
	return -1
}
