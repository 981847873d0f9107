package e2e_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/fuchsiashed/fuchsiashed/e2e/internal/harness"
)

// binFolder is the folder that holds the programs under test.
var binFolder string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	var err error
	binFolder, err = os.MkdirTemp("", "fuchsiashed-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(binFolder)
	if err := harness.Build(binFolder); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// startFleet starts a fleet for one test. At the end of the test it checks the invariants,
// and logs the last lines of every process if the test failed.
func startFleet(t *testing.T, control, dispatchers, routers int, targets []harness.Target) *harness.Fleet {
	t.Helper()
	f, err := harness.New(harness.Config{
		Bin: binFolder, Folder: t.TempDir(), FleetText: harness.FleetText(0), Control: control, Dispatchers: dispatchers,
		Routers: routers, Targets: targets,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		checkInvariants(t, f)
		f.Close()
		if t.Failed() {
			for _, p := range f.All() {
				t.Logf("== %s\n%s", p.Name, p.Tail(25))
			}
		}
	})
	if err := f.Start(); err != nil {
		t.Fatal(err)
	}
	return f
}

// checkInvariants fails the test if a running process counted an invariant violation.
func checkInvariants(t *testing.T, f *harness.Fleet) {
	for _, list := range [][]*harness.Process{f.Control, f.Dispatchers, f.Routers} {
		for _, p := range list {
			if !p.Running() {
				continue
			}
			violations, err := f.Counters(p, "InvariantViolations")
			if err != nil || len(violations) > 0 {
				t.Errorf("%s: invariant violations %v, error %v", p.Name, violations, err)
			}
		}
	}
}

// startLoad starts a load of both services, with the given workers for the large customer.
func startLoad(t *testing.T, f *harness.Fleet, d time.Duration, workers int, seed uint64) *harness.Load {
	t.Helper()
	l, err := f.StartLoad(harness.LoadConfig{Duration: d, Workers: workers, PlainPercent: 30, Tokens: 20, Seed: seed})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("== load\n%s", l.Output())
		}
	})
	return l
}

// must fails the test at once on an error of a preparatory step.
func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
