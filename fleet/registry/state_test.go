package registry_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/registry"
)

// applier applies commands to a state with consecutive indexes.
type applier struct {
	state *registry.State
	index fleet.Index
}

func newApplier() *applier { return &applier{state: registry.NewState()} }

func (a *applier) apply(c registry.Command) any {
	a.index++
	data, err := c.Encode()
	convey.So(err, convey.ShouldBeNil)
	return a.state.Apply(a.index, data)
}

// call is an attempt of router r1 at a ledger call.
type call struct {
	key     string
	body    string
	inc     fleet.Incarnation
	attempt fleet.Sequence
}

func (c call) ledgerKey() fleet.LedgerKey {
	return fleet.LedgerKey{Customer: "riga-centrs", Service: "permit-desk", Key: fleet.IdempotencyKey(c.key)}
}

func (c call) by() fleet.AttemptID {
	return fleet.AttemptID{Router: "r1", Incarnation: c.inc, Attempt: c.attempt}
}

func (a *applier) begin(c call) fleet.LedgerBeginReply {
	return a.apply(registry.Command{Begin: &fleet.LedgerBeginRequest{
		LedgerKey: c.ledgerKey(), Body: fleet.ContentHash(c.body), By: c.by(),
	}}).(fleet.LedgerBeginReply)
}

func (a *applier) end(c call, v fleet.Verdict, now registry.LogTime) bool {
	end := &fleet.LedgerEndRequest{LedgerKey: c.ledgerKey(), By: c.by(), Verdict: v}
	if v == fleet.Ran {
		end.Answer = &fleet.RecordedAnswer{Status: 201, Body: []byte("filed")}
	}
	return a.apply(registry.Command{Now: now, End: end}).(fleet.LedgerEndReply).Recorded
}

func TestLedger(t *testing.T) {
	first := call{key: "k", body: "b", inc: 1, attempt: 1}
	second := call{key: "k", body: "b", inc: 1, attempt: 2}
	convey.Convey("A call is granted to the first attempt", t, func() {
		a := newApplier()
		convey.So(a.begin(first).State, convey.ShouldEqual, fleet.LedgerGranted)
		convey.So(a.begin(first).State, convey.ShouldEqual, fleet.LedgerGranted)
		convey.So(a.begin(second).State, convey.ShouldEqual, fleet.LedgerRunning)
		convey.So(a.end(second, fleet.NotRun, 0), convey.ShouldBeFalse)
		convey.Convey("and others get its recorded answer", func() {
			convey.So(a.end(first, fleet.Ran, 0), convey.ShouldBeTrue)
			convey.So(a.end(first, fleet.Ran, 0), convey.ShouldBeTrue)
			convey.So(a.end(first, fleet.NotRun, 0), convey.ShouldBeFalse)
			reply := a.begin(second)
			convey.So(reply.State, convey.ShouldEqual, fleet.LedgerDone)
			convey.So(string(reply.Answer.Body), convey.ShouldEqual, "filed")
			convey.So(a.begin(call{key: "k", body: "other", inc: 1, attempt: 3}).State, convey.ShouldEqual, fleet.LedgerMismatch)
		})
		convey.Convey("and is free again when it did not run", func() {
			convey.So(a.end(first, fleet.NotRun, 0), convey.ShouldBeTrue)
			convey.So(a.begin(first).State, convey.ShouldEqual, fleet.LedgerRunning)
			convey.So(a.begin(second).State, convey.ShouldEqual, fleet.LedgerGranted)
			convey.So(a.end(first, fleet.NotRun, 0), convey.ShouldBeFalse)
			convey.So(a.begin(call{key: "k", body: "b", inc: 2, attempt: 1}).State, convey.ShouldEqual, fleet.LedgerRunning)
		})
		convey.Convey("and is closed as may-have-run when its router is abandoned", func() {
			a.apply(registry.Command{Abandon: &registry.AbandonCommand{Router: "r1", Incarnation: 1}})
			convey.So(a.begin(second).State, convey.ShouldEqual, fleet.LedgerMayHaveRun)
			convey.So(a.end(first, fleet.Ran, 0), convey.ShouldBeTrue)
			convey.So(a.begin(second).State, convey.ShouldEqual, fleet.LedgerDone)
		})
	})
	convey.Convey("A begin that arrives after its end is not granted", t, func() {
		a := newApplier()
		convey.So(a.end(first, fleet.NotRun, 0), convey.ShouldBeTrue)
		convey.So(a.begin(first).State, convey.ShouldEqual, fleet.LedgerRunning)
		convey.So(a.begin(second).State, convey.ShouldEqual, fleet.LedgerGranted)
	})
	convey.Convey("Ended calls expire by log time, running ones never", t, func() {
		a := newApplier()
		other := call{key: "other", body: "b", inc: 1, attempt: 9}
		a.begin(first)
		a.begin(other)
		a.end(first, fleet.Ran, registry.LogTime(time.Hour))
		expire := &registry.ExpireCommand{Before: registry.LogTime(time.Hour), Most: 10}
		a.apply(registry.Command{Expire: expire})
		convey.So(a.begin(second).State, convey.ShouldEqual, fleet.LedgerDone)
		expire.Before++
		a.apply(registry.Command{Expire: expire})
		convey.So(a.begin(second).State, convey.ShouldEqual, fleet.LedgerGranted)
		convey.So(a.begin(call{key: "other", body: "b", inc: 1, attempt: 10}).State, convey.ShouldEqual, fleet.LedgerRunning)
	})
}

func TestSnapshot(t *testing.T) {
	convey.Convey("A state restored from a snapshot equals the original and applies commands alike", t, func() {
		a := newApplier()
		text := &registry.TextCommand{
			ApplyRequest: fleet.ApplyRequest{Operation: "op-1", Text: fleetText},
			DataCentres:  []fleet.DataCentreName{"riga-a", "riga-b"}, Retention: time.Hour,
		}
		a.apply(registry.Command{At: time.Unix(1_700_000_000, 5), Text: text})
		a.apply(registry.Command{Centre: &fleet.DataCentreRequest{Operation: "op-2", Base: 1, DataCentre: "riga-b", Out: true}})
		a.apply(registry.Command{Lease: &registry.LeaseCommand{Name: "Dispatch/lv-riga", Holder: "d1", Incarnation: 1, Duration: time.Second}})
		for i := range fleet.Sequence(5) {
			c := call{key: string(rune('a' + i)), body: "b", inc: 1, attempt: i}
			a.begin(c)
			if i%2 == 0 {
				a.end(c, fleet.Verdict(1+i/2), 7)
			}
		}
		b := newApplier()
		b.index = a.index
		convey.So(b.state.Restore(a.state.Snapshot()), convey.ShouldBeNil)
		convey.So(bytes.Equal(a.state.Snapshot(), b.state.Snapshot()), convey.ShouldBeTrue)
		again := registry.Command{Text: text}
		convey.So(b.apply(again), convey.ShouldResemble, fleet.ChangeReply{Accepted: true, Version: 1})
		convey.So(a.apply(again), convey.ShouldResemble, fleet.ChangeReply{Accepted: true, Version: 1})
		abandon := registry.Command{Abandon: &registry.AbandonCommand{Router: "r1", Incarnation: 1}}
		a.apply(abandon)
		b.apply(abandon)
		convey.So(bytes.Equal(a.state.Snapshot(), b.state.Snapshot()), convey.ShouldBeTrue)
		convey.Convey("and an older snapshot is refused", func() {
			convey.So(func() { _ = b.state.Restore(registry.NewState().Snapshot()) }, convey.ShouldPanic)
		})
	})
}
