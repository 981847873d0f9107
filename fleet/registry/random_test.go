package registry_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/internal/fault"
	"github.com/fuchsiashed/fuchsiashed/fleet/invariant"
	"github.com/fuchsiashed/fuchsiashed/fleet/registry"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "4"} {
		setDefault(name, value)
	}
	for name, value := range map[string]string{"rapid.nofailfile": "true", "rapid.shrinktime": "10s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	invariant.PanicOnViolation(true)
	os.Exit(m.Run())
}

// setDefault sets a flag that the command line does not set.
func setDefault(name, value string) {
	f := flag.Lookup(name)
	if f.Value.String() != f.DefValue {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// disruption is one injected fault. For is its duration, Pause the time until the next one.
type disruption struct {
	Kind  string
	Node  int
	Other int
	For   time.Duration
	Pause time.Duration
}

var disruptionKinds = []string{"Crash", "CrashAll", "Freeze", "FreezeLeader", "Isolate", "IsolateLeader", "CutOneWay", "Loss", "Wipe", "WipeTwice"}

// durations are sampled from a list, since integers drawn from a range are mostly small.
var durations = []time.Duration{
	4 * time.Second, 2500 * time.Millisecond, 1500 * time.Millisecond,
	900 * time.Millisecond, 300 * time.Millisecond, 20 * time.Millisecond,
}

func drawDisruption(t *rapid.T) disruption {
	return disruption{
		Kind:  rapid.SampledFrom(disruptionKinds).Draw(t, "kind"),
		Node:  rapid.IntRange(0, 4).Draw(t, "node"),
		Other: rapid.IntRange(0, 4).Draw(t, "other"),
		For:   rapid.SampledFrom(durations).Draw(t, "for"),
		Pause: rapid.SampledFrom(durations).Draw(t, "pause"),
	}
}

// disrupt injects a fault and ends it after d.For.
func (w *workload) disrupt(h disruption) {
	n, other := w.nodes[h.Node%len(w.nodes)], w.nodes[h.Other%len(w.nodes)]
	if l := w.leading(); l != nil && (h.Kind == "FreezeLeader" || h.Kind == "IsolateLeader") {
		n = l
	}
	switch h.Kind {
	case "Crash":
		w.restart(n, h.For)
	case "CrashAll":
		for _, n := range w.nodes {
			w.restart(n, h.For)
		}
	case "Freeze", "FreezeLeader":
		n.freezeNext = n.up
		w.after(h.For, func() { n.freezeNext = false; n.unfreeze() })
	case "Isolate", "IsolateLeader":
		for _, o := range w.nodes {
			w.cutBoth(n, o, h.For)
		}
	case "CutOneWay":
		w.cutOneWay(n, other, h.For)
	case "Loss":
		w.lossRate = 0.2
		w.after(h.For, func() { w.lossRate = 0 })
	case "Wipe":
		w.replaceDisk(n, h.For, nil)
	case "WipeTwice":
		w.replaceDisk(n, h.For, func() { w.replaceDisk(other, h.For, nil) })
	}
}

func (w *workload) restart(n *node, after time.Duration) {
	if !n.up {
		return
	}
	n.crash()
	w.after(after, n.start)
}

func (w *workload) cutOneWay(from, to *node, d time.Duration) {
	link := [2]int{from.id, to.id}
	w.cutLinks[link] = true
	w.after(d, func() { delete(w.cutLinks, link) })
}

func (w *workload) cutBoth(a, b *node, d time.Duration) {
	w.cutOneWay(a, b, d)
	w.cutOneWay(b, a, d)
}

// replaceDisk wipes the disk of a replica and has the replica readmitted. It does nothing
// unless all replicas vote. then, if not nil, is called once the replica votes again.
func (w *workload) replaceDisk(n *node, after time.Duration, then func()) {
	if !w.allReplicasVote() || !n.up {
		return
	}
	n.wipe()
	w.replaced++
	operation := fleet.OperationID(fmt.Sprintf("replace-%d", w.replaced))
	w.after(min(after, 300*time.Millisecond), n.start)
	var repair func()
	repair = func() {
		if n.up && w.allReplicasVote() {
			if then != nil {
				then()
			}
			return
		}
		for _, to := range w.nodes {
			w.ask(to, registry.Request{Replace: &fleet.ReplaceRequest{Operation: operation, Host: n.host}}, func(registry.Answer) {})
		}
		w.after(20*time.Millisecond, repair)
	}
	w.after(min(after, 300*time.Millisecond)+20*time.Millisecond, repair)
}

// runPlan runs the workload through all disruptions, lets the cluster recover, and returns
// the first violation, or "". After recovery a change must be accepted.
func runPlan(c *cluster, plan []disruption) (*workload, string) {
	w := startWorkload(c)
	w.runFor(4 * time.Second)
	for _, h := range plan {
		w.after(0, func() { w.disrupt(h) })
		w.runFor(h.Pause)
	}
	w.runFor(12 * time.Second)
	before := w.changes
	w.runFor(5 * time.Second)
	if w.changes == before {
		w.reportViolation("no change was accepted after recovery")
	}
	return w, w.violation
}

func TestRandomRuns(t *testing.T) {
	for _, size := range []int{3, 5} {
		rapid.Check(t, func(t *rapid.T) {
			plan := rapid.SliceOfN(rapid.Custom(drawDisruption), 4, 16).Draw(t, "plan")
			c := newCluster(size, rapid.Uint64().Draw(t, "seed"), fault.Set{})
			if _, violation := runPlan(c, plan); violation != "" {
				t.Fatalf("%d replicas: %s", size, violation)
			}
		})
	}
}

func TestLargeSnapshot(t *testing.T) {
	convey.Convey("A replica that lost its disk gets a large snapshot in parts, some of them lost", t, func() {
		w := newWorkload(newCluster(3, 5, fault.Set{}))
		w.padding = 200 << 10
		w.runFor(3 * time.Second)
		w.operator(0, 0, 0)
		w.runFor(10 * time.Second)
		w.lossRate = 0.1
		wiped := w.nodes[0]
		w.replaceDisk(wiped, 10*time.Millisecond, nil)
		w.runFor(20 * time.Second)
		convey.So(w.violation, convey.ShouldBeEmpty)
		convey.So(w.allReplicasVote(), convey.ShouldBeTrue)
		convey.So(wiped.server.Status().Snapshot, convey.ShouldBeGreaterThan, 0)
		convey.So(len(wiped.server.State().Snapshot()), convey.ShouldBeGreaterThan, 2<<20)
	})
}
