package e2e_test

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/e2e/internal/harness"
	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// configChanger applies configurations one after another until it is stopped.
type configChanger struct {
	t    *testing.T
	f    *harness.Fleet
	stop chan struct{}
	wg   sync.WaitGroup

	mu sync.Mutex
	// accepted maps the ids of accepted changes to the versions in their replies.
	accepted map[fleet.OperationID]fleet.Version
}

func startConfigChanges(t *testing.T, f *harness.Fleet) *configChanger {
	c := &configChanger{t: t, f: f, stop: make(chan struct{}), accepted: map[fleet.OperationID]fleet.Version{}}
	c.wg.Add(1)
	go c.run()
	return c
}

func (c *configChanger) run() {
	defer c.wg.Done()
	dir := c.t.TempDir()
	for n := 1; ; n++ {
		select {
		case <-c.stop:
			return
		default:
		}
		op := fleet.OperationID(fmt.Sprintf("change-%d", n))
		path := filepath.Join(dir, "fleet.ini")
		if err := os.WriteFile(path, []byte(harness.FleetText(n)), 0o600); err != nil {
			c.t.Error(err)
			return
		}
		reply, err := c.f.Apply(op, path)
		if err != nil {
			// A change without a reply may or may not have been made: it isn't counted.
			c.t.Logf("change %d: %v", n, err)
			continue
		}
		c.mu.Lock()
		c.accepted[op] = reply.Version
		c.mu.Unlock()
	}
}

func (c *configChanger) acceptedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.accepted)
}

// awaitAccepted waits until n more changes are accepted.
func (c *configChanger) awaitAccepted(n int, limit time.Duration) error {
	before := c.acceptedCount()
	return harness.Eventually(limit, func() error {
		if got := c.acceptedCount() - before; got < n {
			return errors.Errorf("%d of %d changes accepted", got, n)
		}
		return nil
	})
}

// stopAndCheck stops the changes and compares them with the history: each accepted change
// is there once, under the version of its reply.
func (c *configChanger) stopAndCheck() {
	close(c.stop)
	c.wg.Wait()
	history, err := c.f.History()
	convey.So(err, convey.ShouldBeNil)
	versions := map[fleet.OperationID]fleet.Version{}
	for i, change := range history {
		_, duplicate := versions[change.Operation]
		convey.So(duplicate, convey.ShouldBeFalse)
		versions[change.Operation] = change.Version
		if i > 0 {
			convey.So(change.Version, convey.ShouldBeLessThan, history[i-1].Version)
		}
	}
	for op, v := range c.accepted {
		convey.So(fmt.Sprint(op, " ", versions[op]), convey.ShouldEqual, fmt.Sprint(op, " ", v))
	}
	c.t.Logf("%d changes accepted, %d in the history", len(c.accepted), len(history))
}

const (
	// changeTimeout limits the time until control accepts changes after a fault.
	changeTimeout = 10 * time.Second
	// changesPerStep is the number of changes to accept before a test's next step.
	changesPerStep = 5
)

func TestControlKilledInTurn(t *testing.T) {
	f := startFleet(t, 3, 0, 0, nil)
	convey.Convey("Killing each replica in turn neither loses nor duplicates a change", t, func() {
		changes := startConfigChanges(t, f)
		convey.So(changes.awaitAccepted(changesPerStep, changeTimeout), convey.ShouldBeNil)
		for _, p := range f.Control {
			convey.So(p.Kill(), convey.ShouldBeNil)
			convey.So(changes.awaitAccepted(changesPerStep, changeTimeout), convey.ShouldBeNil)
			convey.So(p.Start(), convey.ShouldBeNil)
			convey.So(changes.awaitAccepted(changesPerStep, changeTimeout), convey.ShouldBeNil)
			convey.So(awaitReplicas(f, 3), convey.ShouldBeNil)
		}
		changes.stopAndCheck()
	})
}

// awaitReplicas waits until n replicas are leader or follower.
func awaitReplicas(f *harness.Fleet, n int) error {
	return harness.Eventually(changeTimeout, func() error {
		list, err := f.Replicas()
		if err != nil {
			return err
		}
		voting := 0
		for _, r := range list {
			if r.Status != nil && (r.Status.Standing == "Leader" || r.Status.Standing == "Follower") {
				voting++
			}
		}
		if voting < n {
			return errors.Errorf("%d of %d replicas vote: %+v", voting, n, list)
		}
		return nil
	})
}

func TestControlDiskLost(t *testing.T) {
	f := startFleet(t, 3, 0, 0, nil)
	convey.Convey("A replica that lost its disk is replaced, and a second loss right after it loses no change", t, func() {
		changes := startConfigChanges(t, f)
		convey.So(changes.awaitAccepted(changesPerStep, changeTimeout), convey.ShouldBeNil)
		lost := f.Control[0]
		convey.So(lost.Kill(), convey.ShouldBeNil)
		convey.So(os.RemoveAll(f.DataFolder(lost)), convey.ShouldBeNil)
		convey.So(lost.Start(), convey.ShouldBeNil)
		convey.So(changes.awaitAccepted(changesPerStep, changeTimeout), convey.ShouldBeNil)
		err := harness.Eventually(changeTimeout, func() error {
			_, err := f.CLI("control", "replace", lost.Name)
			return err
		})
		convey.So(err, convey.ShouldBeNil)
		convey.So(awaitReplicas(f, 3), convey.ShouldBeNil)
		second := f.Control[1]
		convey.So(second.Kill(), convey.ShouldBeNil)
		convey.So(os.RemoveAll(f.DataFolder(second)), convey.ShouldBeNil)
		convey.So(changes.awaitAccepted(changesPerStep, changeTimeout), convey.ShouldBeNil)
		changes.stopAndCheck()
	})
}

func TestControlLeaderFrozen(t *testing.T) {
	f := startFleet(t, 3, 0, 0, nil)
	convey.Convey("A leader that is frozen beyond its lease and resumed reverts no change", t, func() {
		changes := startConfigChanges(t, f)
		convey.So(changes.awaitAccepted(changesPerStep, changeTimeout), convey.ShouldBeNil)
		leader, err := f.Leader()
		convey.So(err, convey.ShouldBeNil)
		convey.So(leader.Freeze(), convey.ShouldBeNil)
		convey.So(changes.awaitAccepted(changesPerStep, changeTimeout), convey.ShouldBeNil)
		time.Sleep(3 * time.Second)
		convey.So(leader.Resume(), convey.ShouldBeNil)
		convey.So(changes.awaitAccepted(changesPerStep, changeTimeout), convey.ShouldBeNil)
		convey.So(awaitReplicas(f, 3), convey.ShouldBeNil)
		changes.stopAndCheck()
	})
}

func TestOperatorsRace(t *testing.T) {
	f := startFleet(t, 3, 0, 0, nil)
	convey.Convey("Of concurrent changes based on one version exactly one is accepted, and the others fail with a conflict", t, func() {
		const operators = 6
		dir := t.TempDir()
		errs := make([]error, operators)
		var wg sync.WaitGroup
		for i := range operators {
			path := filepath.Join(dir, fmt.Sprintf("fleet-%d.ini", i))
			convey.So(os.WriteFile(path, []byte(harness.FleetText(100+i)), 0o600), convey.ShouldBeNil)
			wg.Add(1)
			go func() {
				defer wg.Done()
				_, errs[i] = f.CLI("fleet", "apply", "--base", "1", path)
			}()
		}
		wg.Wait()
		won := 0
		for _, err := range errs {
			if err == nil {
				won++
				continue
			}
			convey.So(err.Error(), convey.ShouldContainSubstring, "based on version 1, but version 2 is in force")
		}
		convey.So(won, convey.ShouldEqual, 1)
		history, err := f.History()
		convey.So(err, convey.ShouldBeNil)
		convey.So(len(history), convey.ShouldEqual, 2)
	})
}
