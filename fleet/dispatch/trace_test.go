package dispatch

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/eventlog"
)

// Events of a load trace.
type (
	// arrival is a request that a caller sends.
	arrival struct {
		Router   int
		Customer fleet.CustomerName
		Service  fleet.ServiceName
		Cost     int
		Hint     fleet.Cost
	}
	// order takes a data centre out of service or brings it back.
	order struct {
		DataCentre fleet.DataCentreName
		Out        bool
	}
)

func (arrival) EventName() string { return "Arrival" }

func (order) EventName() string { return "Order" }

func decodeTrace(name string, raw json.RawMessage) (fleet.Event, error) {
	if name == (order{}).EventName() {
		return eventlog.DecodeAs[order](raw)
	}
	return eventlog.DecodeAs[arrival](raw)
}

// outcome is the expected result of a trace.
type outcome struct {
	// Routers, Targets and Desks, the targets of permit-desk, size the fleet; DataCentres
	// lists its data centres.
	Routers, Targets, Desks int
	Slots                   fleet.Slots
	DataCentres             []fleet.DataCentreName
	MaxCost                 fleet.Cost
	Small                   []fleet.CustomerName
	// Completed and Refused count the requests of the trace.
	Completed, Refused int
	// SmallWaitAtMost bounds the wait of the 99th percentile of the small customers'
	// requests, AnyWaitAtMost that of any request, in milliseconds.
	SmallWaitAtMost, AnyWaitAtMost int
	OverloadsAtMost                int
	// IdleAtMost bounds the share of slots that are idle while requests wait.
	IdleAtMost float64
}

type timedEvent struct {
	at time.Time
	ev fleet.Event
}

func readTrace(t *testing.T, name string) (events []timedEvent, want outcome) {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", name+".outcome.json"))
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(raw, &want); err != nil {
		t.Fatal(err)
	}
	f, err := os.Open(filepath.Join("testdata", name+".trace"))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	err = eventlog.ForEach(f, decodeTrace, func(at time.Time, ev fleet.Event) error {
		events = append(events, timedEvent{at, ev})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return events, want
}

func replayTrace(events []timedEvent, want outcome) *sim {
	f := testFleet()
	f.DataCentres = want.DataCentres
	for name, service := range f.Services {
		service.MaxCost = want.MaxCost
		f.Services[name] = service
	}
	s := newSim(simConfig{
		seed: 5, dispatchers: 2, routers: want.Routers, targets: want.Targets, permitDeskTargets: want.Desks, slots: want.Slots,
		customers: 16, spread: 2 * time.Millisecond, announceRunning: true, fleet: f,
	})
	next := 0
	each := func() {
		for ; next < len(events) && !events[next].at.After(s.now); next++ {
			switch ev := events[next].ev.(type) {
			case arrival:
				q := s.newRequest(ev.Customer, ev.Service, ev.Cost, "")
				q.hint = ev.Hint
				s.routers[ev.Router].add(q)
			case order:
				s.takeOut(ev.DataCentre, ev.Out)
			}
		}
	}
	s.run(events[len(events)-1].at.Sub(s.now)+stepInterval, each)
	s.run(30*time.Second, each)
	return s
}

func TestTraces(t *testing.T) {
	for _, name := range []string{"lv-riga-midnight", "ro-centru-evening"} {
		convey.Convey("Trace "+name+" gives the stated result", t, func() {
			events, want := readTrace(t, name)
			s := replayTrace(events, want)
			refused := 0
			for _, n := range s.refused {
				refused += n
			}
			small, all := []time.Duration{0}, []time.Duration{0}
			for c, waits := range s.waits {
				all = append(all, waits...)
				if slices.Contains(want.Small, c) {
					small = append(small, waits...)
				}
			}
			slices.Sort(small)
			slices.Sort(all)
			idle := float64(s.idleSteps) / float64(max(1, s.slotSteps))
			t.Logf("completed %d, refused %v, small customers wait p50 %s p99 %s, all p50 %s p99 %s max %s, overloads %d, idle %.3f",
				s.completed, s.refused, small[len(small)/2], small[len(small)*99/100], all[len(all)/2], all[len(all)*99/100],
				all[len(all)-1], s.overloads, idle)
			convey.So(s.violations, convey.ShouldBeEmpty)
			convey.So(s.openRequests, convey.ShouldBeEmpty)
			convey.So(s.completed, convey.ShouldEqual, want.Completed)
			convey.So(refused, convey.ShouldEqual, want.Refused)
			convey.So(small[len(small)*99/100].Milliseconds(), convey.ShouldBeLessThanOrEqualTo, want.SmallWaitAtMost)
			convey.So(all[len(all)-1].Milliseconds(), convey.ShouldBeLessThanOrEqualTo, want.AnyWaitAtMost)
			convey.So(s.overloads, convey.ShouldBeLessThanOrEqualTo, want.OverloadsAtMost)
			convey.So(idle, convey.ShouldBeLessThanOrEqualTo, want.IdleAtMost)
		})
	}
}

// TestReplayGivesSameEffects records the events of a dispatcher in a run with faults and
// replays them.
func TestReplayGivesSameEffects(t *testing.T) {
	convey.Convey("A recorded event log replays to the same effects", t, func() {
		var log bytes.Buffer
		var effects [][]fleet.Effect
		w := eventlog.NewWriter(&log)
		s := newSim(baseConfig(mechanisms{}))
		s.record = func(d *simDispatcher, ev fleet.Event, got []fleet.Effect) {
			if d.index != 0 {
				return
			}
			if err := w.Write(s.now, ev); err != nil {
				t.Fatal(err)
			}
			effects = append(effects, got)
		}
		s.configure()
		s.run(5*time.Second, flood(s, 0, 1))
		s.submit(s.routers[0], 2, 10, crashingContent)
		s.restartRouter(1)
		s.run(5*time.Second, flood(s, 0, 1))

		again := New(Config{Host: "d0"})
		n := 0
		err := eventlog.ForEach(&log, Decode, func(at time.Time, ev fleet.Event) error {
			got := again.Reduce(at, ev)
			if !reflect.DeepEqual(got, effects[n]) {
				t.Fatalf("event %d, %s: effects %v; recorded %v", n, ev.EventName(), got, effects[n])
			}
			n++
			return nil
		})
		convey.So(err, convey.ShouldBeNil)
		convey.So(n, convey.ShouldEqual, len(effects))
		convey.So(n, convey.ShouldBeGreaterThan, 2000)
	})
}
