package registry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/internal/fault"
	"github.com/fuchsiashed/fuchsiashed/fleet/quorum"
	"github.com/fuchsiashed/fuchsiashed/fleet/registry"
)

// newManagedCluster returns a cluster of n replicas with automatic membership, of which the
// first three are founders.
func newManagedCluster(n int, seed uint64) *cluster {
	c := newCluster(n, seed, fault.Set{})
	c.founders, c.toleratedLosses = 3, 1
	c.configure = func(cfg *quorum.Config) {
		cfg.Membership = &quorum.MembershipPolicy{
			SilentAfter: 8 * time.Second, MinVoters: 3, MaxMembers: 9,
			SurplusSilentAfter: 1500 * time.Millisecond, TargetVoters: 2*c.toleratedLosses + 1,
		}
		cfg.RecordCommits, cfg.NoLeases = true, true
	}
	return c
}

// leader returns the confirmed leader, or nil.
func (c *cluster) leader() *node {
	for _, n := range c.nodes {
		if n.up && !n.frozen && n.server.IsConfirmedLeader() {
			return n
		}
	}
	return nil
}

// put proposes a configuration to the leader until it is acknowledged, for up to 100
// attempts, and reports whether it was.
func (c *cluster) put(number fleet.ConfigNumber, text string) bool {
	done := false
	for range 100 {
		if l := c.leader(); l != nil {
			req := &fleet.PutConfigRequest{NumberedConfig: fleet.NumberedConfig{Number: number, Text: []byte(text)}}
			c.ask(l, registry.Request{PutConfig: req}, func(a registry.Answer) { done = done || a.Failure == nil })
		}
		c.runFor(100 * time.Millisecond)
		if done {
			return true
		}
	}
	return false
}

// read returns the number of a confirmed read at the leader, or -1 if there is none.
func (c *cluster) read() fleet.ConfigNumber {
	got := fleet.ConfigNumber(-1)
	for range 100 {
		if l := c.leader(); l != nil {
			c.ask(l, registry.Request{ReadConfig: &fleet.ReadConfigRequest{}}, func(a registry.Answer) {
				if r, ok := a.Reply.(*fleet.ReadConfigReply); ok {
					got = r.Number
				}
			})
		}
		c.runFor(100 * time.Millisecond)
		if got >= 0 {
			return got
		}
	}
	return got
}

// voters returns the hosts of the voters in the leader's view.
func (c *cluster) voters() map[fleet.HostID]bool {
	out := map[fleet.HostID]bool{}
	if l := c.leader(); l != nil {
		for _, m := range l.server.Status().Members {
			if m.Voter {
				out[m.Host] = true
			}
		}
	}
	return out
}

// crashFor crashes a replica and restarts it after d.
func (n *node) crashFor(d time.Duration) {
	n.crash()
	n.c.after(d, n.start)
}

func TestHostsJoinTheQuorum(t *testing.T) {
	convey.Convey("Hosts that are not founders become voters", t, func() {
		c := newManagedCluster(5, 1)
		c.start()
		c.runFor(6 * time.Second)
		convey.So(c.violation, convey.ShouldBeEmpty)
		convey.So(len(c.voters()), convey.ShouldEqual, 5)
		convey.So(c.put(7, "seven"), convey.ShouldBeTrue)
		convey.So(c.read(), convey.ShouldEqual, 7)
	})
}

func TestReplacedHostTakesTheVote(t *testing.T) {
	convey.Convey("A new host replaces one that is permanently lost", t, func() {
		c := newManagedCluster(4, 2)
		for _, n := range c.nodes[:3] {
			n.start()
		}
		c.runFor(4 * time.Second)
		convey.So(c.put(3, "three"), convey.ShouldBeTrue)
		c.nodes[1].crash()
		c.nodes[3].start()
		c.runFor(20 * time.Second)
		convey.So(c.violation, convey.ShouldBeEmpty)
		voters := c.voters()
		convey.So(voters["control-3"], convey.ShouldBeTrue)
		convey.So(voters["control-1"], convey.ShouldBeFalse)
		convey.So(c.read(), convey.ShouldEqual, 3)
		convey.Convey("and a second host may be lost right after", func() {
			c.nodes[0].wipe()
			c.runFor(5 * time.Second)
			convey.So(c.read(), convey.ShouldEqual, 3)
		})
	})
}

func TestWipedHostDoesNotVoteAsBefore(t *testing.T) {
	convey.Convey("Acknowledged changes survive a power failure of all hosts with the loss of one disk", t, func() {
		for seed := uint64(1); seed <= 20; seed++ {
			c := newManagedCluster(5, seed)
			c.start()
			c.runFor(6 * time.Second)
			convey.So(c.put(5, "five"), convey.ShouldBeTrue)
			for i, n := range c.nodes {
				if i == int(seed%5) {
					n.wipe()
				} else {
					n.crash()
				}
			}
			for _, n := range c.nodes {
				c.after(c.randomDuration(time.Millisecond, time.Second), n.start)
			}
			c.runFor(5 * time.Second)
			convey.So(c.violation, convey.ShouldBeEmpty)
			convey.So(c.read(), convey.ShouldEqual, 5)
			c.runFor(5 * time.Second)
			convey.So(len(c.voters()), convey.ShouldEqual, 5)
		}
	})
}

func TestMinorityThatMissedChangesDoesNotDecide(t *testing.T) {
	convey.Convey("A minority with an older log elects no leader while the up-to-date voters are down", t, func() {
		c := newManagedCluster(5, 9)
		c.start()
		c.runFor(6 * time.Second)
		convey.So(c.put(1, "one"), convey.ShouldBeTrue)
		for i := 3; i < 5; i++ {
			c.nodes[i].crash()
		}
		c.runFor(time.Second)
		convey.So(c.put(2, "two"), convey.ShouldBeTrue)
		c.nodes[0].wipe()
		c.nodes[1].crash()
		c.nodes[2].crash()
		c.nodes[0].start()
		c.nodes[3].start()
		c.nodes[4].start()
		c.runFor(4 * time.Second)
		convey.So(c.leader(), convey.ShouldBeNil)
		c.nodes[1].start()
		c.nodes[2].start()
		c.runFor(4 * time.Second)
		convey.So(c.violation, convey.ShouldBeEmpty)
		convey.So(c.read(), convey.ShouldEqual, 2)
	})
}

func TestRestartKnowsWhatWasCommitted(t *testing.T) {
	convey.Convey("A replica that starts without a leader knows a committed configuration", t, func() {
		c := newManagedCluster(3, 4)
		c.start()
		c.runFor(4 * time.Second)
		convey.So(c.put(8, "eight"), convey.ShouldBeTrue)
		c.runFor(time.Second)
		for _, n := range c.nodes {
			n.crash()
		}
		c.nodes[1].start()
		convey.So(c.nodes[1].server.State().Numbered().Config.Number, convey.ShouldEqual, 8)
		convey.Convey("and a quorum is back within two seconds", func() {
			c.nodes[0].start()
			c.nodes[2].start()
			c.runFor(2 * time.Second)
			convey.So(c.leader(), convey.ShouldNotBeNil)
		})
	})
}

func TestSuspendedLeaderAnswersNoRead(t *testing.T) {
	convey.Convey("A leader that was suspended does not answer a read from an outdated state", t, func() {
		c := newManagedCluster(3, 5)
		c.start()
		c.runFor(4 * time.Second)
		convey.So(c.put(1, "one"), convey.ShouldBeTrue)
		old := c.leader()
		// The monotonic clock of a suspended host stands still, so the host resumes with a lag.
		stopped, rate := old.clock(), old.clockRate
		old.frozen = true
		c.runFor(4 * time.Second)
		convey.So(c.put(2, "two"), convey.ShouldBeTrue)
		lag := epoch.Add(time.Duration(float64(c.now) * rate)).Sub(stopped)
		old.clockLag = lag
		old.backlog = nil
		old.frozen = false
		var answers []registry.Answer
		c.ask(old, registry.Request{ReadConfig: &fleet.ReadConfigRequest{}}, func(a registry.Answer) { answers = append(answers, a) })
		c.runFor(3 * time.Second)
		for _, a := range answers {
			if r, ok := a.Reply.(*fleet.ReadConfigReply); ok {
				convey.So(r.Number, convey.ShouldEqual, 2)
			}
		}
		convey.So(answers, convey.ShouldNotBeEmpty)
	})
}

func TestPlannedStopHandsOver(t *testing.T) {
	convey.Convey("A leadership transfer elects a successor within 250 ms", t, func() {
		c := newManagedCluster(3, 6)
		c.start()
		c.runFor(4 * time.Second)
		convey.So(c.put(1, "one"), convey.ShouldBeTrue)
		old := c.leader()
		old.handle(quorum.TransferLeadership{})
		c.runFor(250 * time.Millisecond)
		next := c.leader()
		convey.So(next, convey.ShouldNotBeNil)
		convey.So(next.host, convey.ShouldNotEqual, old.host)
		convey.So(c.violation, convey.ShouldBeEmpty)
	})
}

func TestNumberedConfigurations(t *testing.T) {
	convey.Convey("The highest number is in force, and an older change is acknowledged", t, func() {
		c := newManagedCluster(3, 7)
		c.start()
		c.runFor(4 * time.Second)
		convey.So(c.put(4, "four"), convey.ShouldBeTrue)
		convey.So(c.put(9, "nine"), convey.ShouldBeTrue)
		convey.So(c.put(4, "another four"), convey.ShouldBeTrue)
		convey.So(c.put(9, "another nine"), convey.ShouldBeTrue)
		convey.So(c.read(), convey.ShouldEqual, 9)
		n := c.leader().server.State().Numbered()
		convey.So(string(n.Config.Text), convey.ShouldEqual, "nine")
	})
	convey.Convey("Random crashes, disk losses, partitions and freezes lose no acknowledged change", t, func() {
		for seed := uint64(1); seed <= 30; seed++ {
			c := newManagedCluster(5, seed)
			c.start()
			c.runFor(5 * time.Second)
			number := fleet.ConfigNumber(0)
			wiped := time.Duration(-time.Minute)
			for range 12 {
				number += fleet.ConfigNumber(1 + c.rng.IntN(3))
				convey.So(c.put(number, fmt.Sprint(number)), convey.ShouldBeTrue)
				n := c.nodes[c.rng.IntN(5)]
				switch c.rng.IntN(4) {
				case 0:
					n.crashFor(c.randomDuration(time.Millisecond, 3*time.Second))
				case 1:
					// A disk is wiped only after the previously wiped replica had time to catch up.
					if c.now-wiped > 8*time.Second {
						wiped = c.now
						n.wipe()
						c.after(c.randomDuration(time.Millisecond, time.Second), n.start)
					}
				case 2:
					n.frozen = true
					c.after(c.randomDuration(time.Second, 3*time.Second), n.unfreeze)
				case 3:
					for _, other := range c.nodes {
						c.cutLinks[[2]int{n.id, other.id}], c.cutLinks[[2]int{other.id, n.id}] = true, true
					}
					c.after(c.randomDuration(time.Second, 4*time.Second), func() { c.cutLinks = map[[2]int]bool{} })
				}
				c.runFor(c.randomDuration(time.Millisecond, 3*time.Second))
			}
			c.runFor(10 * time.Second)
			convey.So(c.violation, convey.ShouldBeEmpty)
			convey.So(c.read(), convey.ShouldEqual, number)
		}
	})
}

func TestWipedHostIsAdmittedByALongStandingLeader(t *testing.T) {
	convey.Convey("A host that lost its disk votes within 4 s, however long the leader has led", t, func() {
		for seed := uint64(1); seed <= 10; seed++ {
			c := newManagedCluster(3, seed)
			c.start()
			c.runFor(10 * time.Second)
			// Writes more entries than maxPromotionLag, so that a new learner has to catch up first.
			for number := fleet.ConfigNumber(1); number <= 20; number++ {
				convey.So(c.put(number, "text"), convey.ShouldBeTrue)
			}
			c.runFor(20 * time.Second)
			leader := c.leader()
			wiped := c.nodes[0]
			if wiped == leader {
				wiped = c.nodes[1]
			}
			wiped.wipe()
			c.after(time.Second, wiped.start)
			c.runFor(5 * time.Second)
			convey.So(c.voters()[wiped.host], convey.ShouldBeTrue)
			convey.So(c.put(21, "last"), convey.ShouldBeTrue)
			for _, n := range c.nodes {
				if n == leader {
					n.wipe()
				} else {
					n.crash()
				}
				c.after(time.Second, n.start)
			}
			c.runFor(5 * time.Second)
			convey.So(c.read(), convey.ShouldEqual, 21)
			convey.So(c.violation, convey.ShouldBeEmpty)
		}
	})
}

// catchUpTime is the time after the start of a successor from which on the loss of its
// predecessor counts as made good.
const catchUpTime = 4 * time.Second

// replaceHost stops a host for good, with its disk, and starts its successor after d.
func (c *cluster) replaceHost(old, successor *node, d time.Duration) {
	old.wipe()
	c.after(d, successor.start)
}

// Guards against the loss of the quorum when hosts are replaced one after the other: the lost host
// kept its vote long after its successor had caught up, so that the next loss left too few voters.
func TestHostsReplacedOneAfterTheOther(t *testing.T) {
	losses := []struct {
		name string
		// lose loses the second host, of which nodes[4] is the successor if it gets one.
		lose func(c *cluster, n *node)
	}{
		{"another host is replaced", func(c *cluster, n *node) { c.replaceHost(n, c.nodes[4], 300*time.Millisecond) }},
		{"another host loses its disk", func(c *cluster, n *node) { n.wipe(); c.after(2*time.Second, n.start) }},
		{"another host is lost for good", func(_ *cluster, n *node) { n.wipe() }},
	}
	for _, loss := range losses {
		for _, leaderFirst := range []bool{false, true} {
			convey.Convey(fmt.Sprintf("A host is replaced, then %s; the first one led: %t", loss.name, leaderFirst), t, func() {
				for seed := uint64(1); seed <= 20; seed++ {
					c := newManagedCluster(5, seed)
					for _, n := range c.nodes[:3] {
						n.start()
					}
					c.runFor(4 * time.Second)
					convey.So(c.put(3, "three"), convey.ShouldBeTrue)
					first := c.nodes[0]
					if isLeader := first == c.leader(); isLeader != leaderFirst {
						first = c.nodes[1]
						if leaderFirst {
							first = c.leader()
						}
					}
					delay := c.randomDuration(100*time.Millisecond, 2*time.Second)
					c.replaceHost(first, c.nodes[3], delay)
					c.runFor(delay + catchUpTime)
					convey.So(c.put(4, "four"), convey.ShouldBeTrue)
					loss.lose(c, c.leader())
					c.runFor(4 * time.Second)
					convey.So(c.violation, convey.ShouldBeEmpty)
					convey.So(c.read(), convey.ShouldEqual, 4)
					convey.So(c.put(5, "five"), convey.ShouldBeTrue)
				}
			})
		}
	}
}

// Guards against the same loss where two hosts may be lost at a time: both successors voted beside
// both lost hosts.
func TestPairsOfHostsReplaced(t *testing.T) {
	convey.Convey("Two of five hosts are replaced, then two others are lost", t, func() {
		for seed := uint64(1); seed <= 20; seed++ {
			c := newManagedCluster(7, seed)
			c.toleratedLosses = 2
			for _, n := range c.nodes[:5] {
				n.start()
			}
			c.runFor(6 * time.Second)
			convey.So(len(c.voters()), convey.ShouldEqual, 5)
			convey.So(c.put(3, "three"), convey.ShouldBeTrue)
			for i := range 2 {
				c.replaceHost(c.nodes[i], c.nodes[5+i], c.randomDuration(100*time.Millisecond, time.Second))
			}
			c.runFor(time.Second + catchUpTime)
			convey.So(c.put(4, "four"), convey.ShouldBeTrue)
			for _, n := range c.nodes[2:4] {
				n.wipe()
			}
			c.runFor(4 * time.Second)
			convey.So(c.violation, convey.ShouldBeEmpty)
			convey.So(c.read(), convey.ShouldEqual, 4)
			convey.So(c.put(5, "five"), convey.ShouldBeTrue)
		}
	})
}

// Guards against a group that shrinks below the copies that the tolerated losses require.
func TestHostsThatAreNotSurplusKeepTheirVote(t *testing.T) {
	convey.Convey("Hosts of the required number that are away for 5 s keep their votes", t, func() {
		c := newManagedCluster(5, 3)
		c.toleratedLosses = 2
		c.start()
		c.runFor(6 * time.Second)
		for _, n := range c.nodes {
			if n != c.leader() {
				n.crashFor(5 * time.Second)
				break
			}
		}
		c.runFor(4 * time.Second)
		convey.So(len(c.voters()), convey.ShouldEqual, 5)
	})
}
