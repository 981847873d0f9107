package main_test

import (
	"context"
	"fmt"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/quorum"
)

// changeStream applies one change of the fleet text after another in the background, until
// one fails or stopAndVerify is called.
type changeStream struct {
	replicas *replicas
	stop     chan struct{}
	done     chan struct{}
	accepted atomic.Uint64
	// problem describes the first failed change; empty while there is none.
	problem string
}

func startChangeStream(r *replicas) *changeStream {
	s := &changeStream{replicas: r, stop: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

func (s *changeStream) run() {
	defer close(s.done)
	for n := fleet.Version(0); s.problem == ""; n++ {
		select {
		case <-s.stop:
			return
		default:
			s.applyTwice(n)
		}
	}
}

// applyTwice applies the change from version n to n+1 and retries it once, as a client does
// whose reply was lost. Both replies must accept the same version.
func (s *changeStream) applyTwice(n fleet.Version) {
	want := fleet.ChangeReply{Accepted: true, Version: n + 1}
	for range 2 {
		got, err := s.replicas.apply(fmt.Sprintf("op-%d", n), n, fmt.Sprintf("%s; change %d\n", fleetText, n))
		if err != nil || got != want {
			s.problem = fmt.Sprintf("change %d: %+v, %v", n, got, err)
			return
		}
	}
	s.accepted.Store(uint64(n + 1))
}

// stopAndVerify stops the stream and checks that the quorum's version is the number of
// accepted changes, which must exceed 50.
func (s *changeStream) stopAndVerify() {
	close(s.stop)
	<-s.done
	convey.So(s.problem, convey.ShouldBeEmpty)
	state, err := s.replicas.state()
	convey.So(err, convey.ShouldBeNil)
	convey.So(state.Version, convey.ShouldEqual, fleet.Version(s.accepted.Load()))
	convey.So(s.accepted.Load(), convey.ShouldBeGreaterThan, 50)
}

// waitForChanges waits until more further changes are accepted, at most 20 s, and returns
// how long that took.
func (s *changeStream) waitForChanges(more uint64) time.Duration {
	start := time.Now()
	target := s.accepted.Load() + more
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if s.accepted.Load() >= target {
			break
		}
	}
	convey.So(s.accepted.Load(), convey.ShouldBeGreaterThanOrEqualTo, target)
	return time.Since(start)
}

func TestKillEachReplica(t *testing.T) {
	convey.Convey("No accepted change is lost or applied twice while each replica is killed in turn", t, func() {
		r := startReplicas(t, 21130)
		s := startChangeStream(r)
		for i := range replicaCount {
			s.waitForChanges(20)
			r.kill(i)
			t.Logf("control-%d killed, then 10 changes in %s", i, s.waitForChanges(10))
			r.start(i)
		}
		s.waitForChanges(10)
		for i := range replicaCount {
			r.kill(i)
		}
		for i := range replicaCount {
			r.start(i)
		}
		s.waitForChanges(10)
		s.stopAndVerify()
	})
}

func TestLoseDataFolder(t *testing.T) {
	convey.Convey("A replica that lost its data folder votes again only after control replace", t, func() {
		r := startReplicas(t, 21160)
		s := startChangeStream(r)
		s.waitForChanges(30)
		lost := r.leader()
		r.kill(lost)
		convey.So(os.RemoveAll(r.dataFolder(lost)), convey.ShouldBeNil)
		r.start(lost)
		s.waitForChanges(10)
		convey.So(r.isVoter(lost), convey.ShouldBeFalse)
		r.replaceMember(lost)

		next := r.leader()
		r.kill(next)
		convey.So(os.RemoveAll(r.dataFolder(next)), convey.ShouldBeNil)
		r.start(next)
		r.replaceMember(next)
		s.waitForChanges(10)
		s.stopAndVerify()
	})
}

// isVoter reports whether the leader lists replica i as a voter in its current incarnation.
func (r *replicas) isVoter(i int) bool {
	own, err := r.status(i)
	if err != nil {
		return false
	}
	leader, err := r.status(r.leader())
	if err != nil {
		return false
	}
	for _, m := range leader.Members {
		if m.Host == own.Host && m.Incarnation == own.Incarnation {
			return m.Voter
		}
	}
	return false
}

// replaceMember admits replica i, which lost its data folder, and waits until it is a voter.
func (r *replicas) replaceMember(i int) {
	req := fleet.ReplaceRequest{Operation: fleet.OperationID(fmt.Sprintf("replace-%d", i)), Host: fleet.HostID(fmt.Sprintf("control-%d", i))}
	var reply fleet.ReplaceReply
	for range 300 {
		err := r.call(fleet.MethodReplace, req, &reply)
		if err == nil && reply.Accepted && r.isVoter(i) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	convey.So(reply.Invalid, convey.ShouldEqual, "voter")
}

func TestFreezeLeader(t *testing.T) {
	convey.Convey("A leader that was suspended beyond its lease returns no stale state", t, func() {
		r := startReplicas(t, 21190)
		s := startChangeStream(r)
		s.waitForChanges(20)
		frozen := r.leader()
		r.signal(frozen, syscall.SIGSTOP)
		t.Logf("leader frozen, then 20 changes in %s", s.waitForChanges(20))
		known := fleet.Version(s.accepted.Load())
		answers := make(chan fleet.StateReply, 20)
		for range cap(answers) {
			go r.requestState(frozen, answers)
		}
		time.Sleep(100 * time.Millisecond)
		r.signal(frozen, syscall.SIGCONT)
		for range cap(answers) {
			if a := <-answers; a.Validity > 0 {
				convey.So(a.Version, convey.ShouldBeGreaterThanOrEqualTo, known)
			}
		}
		s.waitForChanges(10)
		s.stopAndVerify()
	})
}

// requestState requests the state from replica i alone and sends the reply to answers, or
// an empty one after an error.
func (r *replicas) requestState(i int, answers chan<- fleet.StateReply) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var s fleet.StateReply
	if err := r.control.Replica(i).Call(ctx, fleet.MethodState, fleet.StateRequest{Host: "tester", Role: fleet.RoleOperator}, &s); err != nil {
		s = fleet.StateReply{}
	}
	answers <- s
}

func TestIsolatedLeader(t *testing.T) {
	convey.Convey("A leader without contact to the others returns no state after its lease", t, func() {
		r := startReplicas(t, 21220)
		_, err := r.state()
		convey.So(err, convey.ShouldBeNil)
		alone := r.leader()
		for i := range replicaCount {
			if i != alone {
				r.signal(i, syscall.SIGSTOP)
			}
		}
		time.Sleep(quorum.MinElectionTimeout)
		answers := make(chan fleet.StateReply, 1)
		r.requestState(alone, answers)
		convey.So((<-answers).Validity, convey.ShouldEqual, 0)
	})
}
