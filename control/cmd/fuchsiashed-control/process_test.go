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

	"github.com/smartystreets/goconvey/convey"

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

// replicas is a quorum of real processes.
type replicas struct {
	t       *testing.T
	binary  string
	folder  string
	port    int
	running map[int]*exec.Cmd
	control *rpc.Control
}

const replicaCount = 3

// binary builds the program once for all tests.
func binary(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "fuchsiashed-control")
	out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %s\n%s", err, out)
	}
	return path
}

func startReplicas(t *testing.T, port int) *replicas {
	r := &replicas{t: t, binary: binary(t), folder: t.TempDir(), port: port, running: map[int]*exec.Cmd{}}
	var addresses []netip.AddrPort
	for i := range replicaCount {
		addresses = append(addresses, netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", port+i)))
		r.start(i)
	}
	r.control = rpc.NewControl(rpc.ControlConfig{Replicas: addresses, Traffic: &rpc.Traffic{}})
	r.control.Start()
	t.Cleanup(r.stop)
	return r
}

func (r *replicas) dataFolder(i int) string {
	return filepath.Join(r.folder, fmt.Sprintf("data-%d", i))
}

func (r *replicas) settings(i int) string {
	var members []string
	for j := range replicaCount {
		members = append(members, fmt.Sprintf("control-%d@127.0.0.1:%d", j, r.port+j))
	}
	return fmt.Sprintf("[Host]\nHost = control-%d\nDataCentre = riga-a\nAdmin = 127.0.0.1:%d\n"+
		"[Control]\nListen = 127.0.0.1:%d\nDataFolder = %s\nBootstrap = true\nSnapshotEntries = 50\n[Replicas]\nMembers = %s\n",
		i, r.port+10+i, r.port+i, r.dataFolder(i), strings.Join(members, ","))
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
	cmd := exec.Command(r.binary, "--settings", path)
	cmd.Stderr = logFile
	if err := cmd.Start(); err != nil {
		r.t.Fatal(err)
	}
	r.running[i] = cmd
}

// kill ends a replica without a warning.
func (r *replicas) kill(i int) {
	cmd := r.running[i]
	delete(r.running, i)
	if err := cmd.Process.Kill(); err != nil {
		r.t.Error(err)
	}
	// The error is that it was killed.
	_ = cmd.Wait()
}

func (r *replicas) signal(i int, s syscall.Signal) {
	if err := r.running[i].Process.Signal(s); err != nil {
		r.t.Error(err)
	}
}

func (r *replicas) stop() {
	r.control.Stop()
	for i := range r.running {
		r.kill(i)
	}
}

// call calls the leader, through elections if need be.
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

func (r *replicas) apply(operation string, base fleet.Version, text string) (fleet.ChangeReply, error) {
	var c fleet.ChangeReply
	err := r.call(fleet.MethodApply, fleet.ApplyRequest{
		Operation: fleet.OperationID(operation), Base: base, Text: text, Operator: "tester",
	}, &c)
	return c, err
}

// leader returns the number of the replica that leads.
func (r *replicas) leader() int {
	for range 200 {
		for i := range replicaCount {
			var s fleet.StatusReply
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			err := r.control.Replica(i).Call(ctx, fleet.MethodStatus, fleet.StatusRequest{}, &s)
			cancel()
			if err == nil && s.Standing == "Leader" {
				return i
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	r.t.Fatal("no replica leads")
	return -1
}

func TestRequests(t *testing.T) {
	convey.Convey("Three replicas answer every method", t, func() {
		r := startReplicas(t, 21100)
		state, err := r.state()
		convey.So(err, convey.ShouldBeNil)
		convey.So(state.Version, convey.ShouldEqual, 0)

		c, err := r.apply("op-1", 0, fleetText)
		convey.So(err, convey.ShouldBeNil)
		convey.So(c, convey.ShouldResemble, fleet.ChangeReply{Accepted: true, Version: 1})
		c, err = r.apply("op-1", 0, fleetText)
		convey.So(err, convey.ShouldBeNil)
		convey.So(c, convey.ShouldResemble, fleet.ChangeReply{Accepted: true, Version: 1})
		c, err = r.apply("op-2", 0, fleetText)
		convey.So(err, convey.ShouldBeNil)
		convey.So(c.Conflict, convey.ShouldResemble, &fleet.Conflict{Base: 0, Current: 1})

		var dc fleet.ChangeReply
		err = r.call(fleet.MethodDataCentre, fleet.DataCentreRequest{Operation: "op-3", Base: 1, DataCentre: "riga-b", Out: true}, &dc)
		convey.So(err, convey.ShouldBeNil)
		convey.So(dc, convey.ShouldResemble, fleet.ChangeReply{Accepted: true, Version: 2})

		var text fleet.TextReply
		convey.So(r.call(fleet.MethodText, fleet.TextRequest{}, &text), convey.ShouldBeNil)
		convey.So(text.Text, convey.ShouldEqual, fleetText)
		convey.So(text.DataCentresOut, convey.ShouldResemble, []fleet.DataCentreName{"riga-b"})

		var history fleet.HistoryReply
		convey.So(r.call(fleet.MethodHistory, fleet.HistoryRequest{}, &history), convey.ShouldBeNil)
		convey.So(len(history.Changes), convey.ShouldEqual, 2)
		convey.So(history.Changes[0].Kind, convey.ShouldEqual, "DataCentreOut")

		var l fleet.LeaseReply
		ask := fleet.LeaseRequest{Name: "Dispatch/lv-riga", Holder: "d1", Incarnation: 1, Duration: 2 * time.Second}
		convey.So(r.call(fleet.MethodLease, ask, &l), convey.ShouldBeNil)
		convey.So(l, convey.ShouldResemble, fleet.LeaseReply{Granted: true, Holder: "d1", Epoch: 1, Duration: 2 * time.Second})
		ask.Holder = "d2"
		convey.So(r.call(fleet.MethodLease, ask, &l), convey.ShouldBeNil)
		convey.So(l, convey.ShouldResemble, fleet.LeaseReply{Holder: "d1", Epoch: 1})

		testLedger(r)
	})
}

func testLedger(r *replicas) {
	key := fleet.LedgerKey{Customer: "riga-centrs", Service: "permit-desk", Key: "k1"}
	by := fleet.AttemptID{Router: "r1", Incarnation: 1, Attempt: 1}
	begin := fleet.LedgerBeginRequest{LedgerKey: key, Body: "abc", By: by}
	other := begin
	other.By.Attempt = 2
	mismatch := other
	mismatch.Body = "def"
	ask := func(b fleet.LedgerBeginRequest) fleet.LedgerState {
		var reply fleet.LedgerBeginReply
		convey.So(r.call(fleet.MethodLedgerBegin, b, &reply), convey.ShouldBeNil)
		return reply.State
	}
	convey.So(ask(begin), convey.ShouldEqual, fleet.LedgerGranted)
	convey.So(ask(begin), convey.ShouldEqual, fleet.LedgerGranted)
	convey.So(ask(other), convey.ShouldEqual, fleet.LedgerRunning)
	convey.So(ask(mismatch), convey.ShouldEqual, fleet.LedgerMismatch)
	var end fleet.LedgerEndReply
	convey.So(r.call(fleet.MethodLedgerEnd, fleet.LedgerEndRequest{
		LedgerKey: key, By: by, Verdict: fleet.Ran, Answer: &fleet.RecordedAnswer{Status: 200, Body: []byte("done")},
	}, &end), convey.ShouldBeNil)
	convey.So(end.Recorded, convey.ShouldBeTrue)
	convey.So(ask(other), convey.ShouldEqual, fleet.LedgerDone)
}
