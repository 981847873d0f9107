package registry_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/eventlog"
	"github.com/fuchsiashed/fuchsiashed/fleet/internal/fault"
	"github.com/fuchsiashed/fuchsiashed/fleet/registry"
)

var update = flag.Bool("update", false, "re-record the traces in testdata")

// tracePath is the event log of a leader that was isolated. It was recorded with leases
// switched off, and ends when that leader answers with a version older than that of the
// other replicas.
const tracePath = "testdata/isolated-leader.jsonl"

// recording is the event log of one replica with the effects that it returned.
type recording struct {
	log     bytes.Buffer
	effects []string
}

// record records a replica. All its restarts go into one log.
func record(c *cluster, id int) *recording {
	rec := &recording{}
	w := eventlog.NewWriter(&rec.log)
	c.recorder = func(n *node, now time.Time, ev fleet.Event, effects []fleet.Effect) {
		if n.id != id {
			return
		}
		if err := w.Write(now, registry.RecordableEvent(ev)); err != nil {
			panic(err)
		}
		if _, started := ev.(registry.Started); !started {
			rec.effects = append(rec.effects, encode(effects))
		}
	}
	return rec
}

func encode(v any) string {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(raw)
}

func TestReplay(t *testing.T) {
	convey.Convey("The log of a replica with restarts and a lost disk replays to the same effects and state", t, func() {
		c := newCluster(3, 3, fault.Set{})
		rec := record(c, 1)
		w, violation := runPlan(c, []disruption{
			{Kind: "FreezeLeader", For: 2 * time.Second, Pause: 3 * time.Second},
			{Kind: "Crash", Node: 1, For: 300 * time.Millisecond, Pause: 3 * time.Second},
			{Kind: "Wipe", Node: 1, For: 300 * time.Millisecond, Pause: 3 * time.Second},
		})
		convey.So(violation, convey.ShouldBeEmpty)
		var effects []string
		server, err := registry.Replay(&rec.log, func(_ time.Time, _ fleet.Event, es []fleet.Effect) {
			effects = append(effects, encode(es))
		})
		convey.So(err, convey.ShouldBeNil)
		convey.So(len(effects), convey.ShouldEqual, len(rec.effects))
		for i := range effects {
			if effects[i] != rec.effects[i] {
				convey.So(effects[i], convey.ShouldEqual, rec.effects[i])
			}
		}
		convey.So(bytes.Equal(server.State().Snapshot(), w.nodes[1].server.State().Snapshot()), convey.ShouldBeTrue)
	})
}

// recordIsolatedLeader records the trace with leases switched off, so that it holds every
// event up to the outdated answer.
func recordIsolatedLeader(t *testing.T) {
	c := newCluster(3, 9, fault.Set{SkipQuorumCheck: true})
	logs := []*bytes.Buffer{{}, {}, {}}
	c.recorder = func(n *node, now time.Time, ev fleet.Event, _ []fleet.Effect) {
		if err := eventlog.NewWriter(logs[n.id]).Write(now, registry.RecordableEvent(ev)); err != nil {
			t.Fatal(err)
		}
	}
	w := newWorkload(c)
	w.runFor(3 * time.Second)
	w.operator(0, 0, 0)
	w.reader(0)
	w.runFor(200 * time.Millisecond)
	leader := w.leading().id
	w.disrupt(disruption{Kind: "IsolateLeader", For: 4 * time.Second})
	w.runFor(4 * time.Second)
	t.Logf("recorded: %s", w.violation)
	if err := os.WriteFile(tracePath, logs[leader].Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestIsolatedLeaderTrace(t *testing.T) {
	if *update {
		recordIsolatedLeader(t)
	}
	convey.Convey("An isolated leader gives no leased answer after its lease", t, func() {
		trace, err := os.ReadFile(tracePath)
		convey.So(err, convey.ShouldBeNil)
		var heard, lastAnswer, lastAsked time.Time
		_, err = registry.Replay(bytes.NewReader(trace), func(now time.Time, ev fleet.Event, es []fleet.Effect) {
			switch ev.EventName() {
			case "Received":
				heard = now
			case "Asked":
				lastAsked = now
			}
			for _, e := range es {
				if _, ok := e.(registry.LeasedAnswer); ok {
					lastAnswer = now
				}
			}
		})
		convey.So(err, convey.ShouldBeNil)
		convey.So(lastAnswer, convey.ShouldHappenAfter, heard)
		convey.So(lastAnswer, convey.ShouldHappenBefore, heard.Add(time.Second))
		convey.So(lastAsked, convey.ShouldHappenAfter, heard.Add(time.Second))
	})
}
