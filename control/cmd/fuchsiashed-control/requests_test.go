package main_test

import (
	"os"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/registry"
)

func TestRequests(t *testing.T) {
	convey.Convey("Three replicas handle each method of the control API", t, func() {
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
		leaseRequest := fleet.LeaseRequest{Name: "Dispatch/lv-riga", Holder: "d1", Incarnation: 1, Duration: 2 * time.Second}
		convey.So(r.call(fleet.MethodLease, leaseRequest, &l), convey.ShouldBeNil)
		convey.So(l, convey.ShouldResemble, fleet.LeaseReply{Granted: true, Holder: "d1", Epoch: 1, Duration: 2 * time.Second})
		leaseRequest.Holder = "d2"
		convey.So(r.call(fleet.MethodLease, leaseRequest, &l), convey.ShouldBeNil)
		convey.So(l, convey.ShouldResemble, fleet.LeaseReply{Holder: "d1", Epoch: 1})

		testLedger(r)
		testReplay(r)
	})
}

// testReplay stops the replicas and replays their event logs. At least the leader's must
// end with version 2, after both changes.
func testReplay(r *replicas) {
	newest := fleet.Version(0)
	for i := range replicaCount {
		r.kill(i)
		events, err := os.Open(r.eventLog(i))
		convey.So(err, convey.ShouldBeNil)
		server, err := registry.Replay(events, func(time.Time, fleet.Event, []fleet.Effect) {})
		convey.So(err, convey.ShouldBeNil)
		newest = max(newest, server.State().Version())
		convey.So(events.Close(), convey.ShouldBeNil)
	}
	convey.So(newest, convey.ShouldEqual, 2)
}

// testLedger begins and ends a run-once call in the ledger, with retries, a second attempt
// and a different body for the same key.
func testLedger(r *replicas) {
	key := fleet.LedgerKey{Customer: "riga-centrs", Service: "permit-desk", Key: "k1"}
	attempt := fleet.AttemptID{Router: "r1", Incarnation: 1, Attempt: 1}
	begin := fleet.LedgerBeginRequest{LedgerKey: key, Body: "abc", By: attempt}
	other := begin
	other.By.Attempt = 2
	mismatch := other
	mismatch.Body = "def"
	beginState := func(b fleet.LedgerBeginRequest) fleet.LedgerState {
		var reply fleet.LedgerBeginReply
		convey.So(r.call(fleet.MethodLedgerBegin, b, &reply), convey.ShouldBeNil)
		return reply.State
	}
	convey.So(beginState(begin), convey.ShouldEqual, fleet.LedgerGranted)
	convey.So(beginState(begin), convey.ShouldEqual, fleet.LedgerGranted)
	convey.So(beginState(other), convey.ShouldEqual, fleet.LedgerRunning)
	convey.So(beginState(mismatch), convey.ShouldEqual, fleet.LedgerMismatch)
	var end fleet.LedgerEndReply
	convey.So(r.call(fleet.MethodLedgerEnd, fleet.LedgerEndRequest{
		LedgerKey: key, By: attempt, Verdict: fleet.Ran, Answer: &fleet.RecordedAnswer{Status: 200, Body: []byte("done")},
	}, &end), convey.ShouldBeNil)
	convey.So(end.Recorded, convey.ShouldBeTrue)
	convey.So(beginState(other), convey.ShouldEqual, fleet.LedgerDone)
}
