package core_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"regexp"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/control/core"
	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// joinPattern finds the control host that opened a connection in its first message.
var joinPattern = regexp.MustCompile(`"Host":"([^"]+)"`)

// joinPrefixSize is the number of bytes of a connection within which joinPattern must match.
const joinPrefixSize = 16 << 10

// cut holds up all bytes between one control host and the others, and loses none.
type cut struct {
	mu      sync.Mutex
	changed *sync.Cond
	victim  fleet.HostID
	closed  bool
}

func newCut() *cut {
	c := &cut{}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// set makes h the host that is cut off; "" ends the cut.
func (c *cut) set(h fleet.HostID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.victim = h
	c.changed.Broadcast()
}

func (c *cut) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.changed.Broadcast()
}

// forward listens at the address of a host and forwards connections to another address.
func (c *cut) forward(self, to netip.AddrPort) {
	ln, err := net.Listen("tcp", self.String())
	convey.So(err, convey.ShouldBeNil)
	convey.Reset(func() { _ = ln.Close() })
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to.String())
			if err != nil {
				_ = in.Close()
				continue
			}
			l := &cutLink{cut: c, server: core.HostIDOf(self)}
			go l.copy(out, in, true)
			go l.copy(in, out, false)
		}
	}()
}

// cutLink is a connection between two control hosts.
type cutLink struct {
	cut            *cut
	server, client fleet.HostID
	prefix         []byte
}

// copy forwards one direction and holds it up while one end is cut off.
func (l *cutLink) copy(to, from net.Conn, fromClient bool) {
	defer func() { _ = to.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if !l.await(buf[:n], fromClient) {
			return
		}
		if _, writeErr := to.Write(buf[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// await waits until neither end is cut off. It returns false once the cut is closed.
func (l *cutLink) await(data []byte, fromClient bool) bool {
	c := l.cut
	c.mu.Lock()
	defer c.mu.Unlock()
	if fromClient && l.client == "" && len(l.prefix) < joinPrefixSize {
		l.prefix = append(l.prefix, data...)
		if m := joinPattern.FindSubmatch(l.prefix); m != nil {
			l.client = fleet.HostID(m[1])
		}
	}
	// A connection whose client is unknown yet may be one of the victim.
	for c.victim != "" && (l.server == c.victim || l.client == c.victim || l.client == "") && !c.closed {
		c.changed.Wait()
	}
	return !c.closed
}

// cutHost is a control host that the others reach through a cut.
type cutHost struct {
	*core.Core
	id fleet.HostID
}

// startCutCluster starts three control hosts that reach each other through a cut.
func startCutCluster(t *testing.T) ([]cutHost, *cut) {
	c := newCut()
	var seeds []netip.AddrPort
	for range 3 {
		seeds = append(seeds, freePort())
	}
	var hosts []cutHost
	for _, self := range seeds {
		listen := freePort()
		h, err := core.New(core.Config{
			Self: self, Listen: listen, DataCentre: "a", Seeds: seeds, Bootstrap: true, DataFolder: t.TempDir(), ToleratedLosses: 1,
			DemandWindow: 4 * time.Second, Clock: fleet.SystemClock{}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		convey.So(err, convey.ShouldBeNil)
		convey.So(h.Start(), convey.ShouldBeNil)
		c.forward(self, listen)
		hosts = append(hosts, cutHost{Core: h, id: core.HostIDOf(self)})
	}
	convey.Reset(func() {
		c.close()
		for _, h := range hosts {
			convey.So(h.Stop(), convey.ShouldBeNil)
		}
	})
	return hosts, c
}

// Guards against an order that a cut held up on its way to the leader and that undid a newer,
// acknowledged one after the cut.
func TestHeldUpOrderDoesNotUndoNewerOne(t *testing.T) {
	convey.Convey("With three control hosts of which a follower is cut off", t, func() {
		hosts, c := startCutCluster(t)
		setOut := func(h cutHost, out bool) bool {
			return eventually(func() bool { return h.SetOut(context.Background(), "a", out) == nil }, 5*time.Second)
		}
		isOut := func(h cutHost) bool { return len(h.Status().Notice.Out) > 0 }
		convey.So(setOut(hosts[0], true), convey.ShouldBeTrue)
		var followers []cutHost
		for _, h := range hosts {
			if !h.Status().Leads {
				followers = append(followers, h)
			}
		}
		convey.So(followers, convey.ShouldHaveLength, 2)
		victim, other := followers[0], followers[1]
		convey.So(eventually(func() bool { return isOut(victim) && isOut(other) }, 5*time.Second), convey.ShouldBeTrue)

		c.set(victim.id)
		convey.So(victim.SetOut(context.Background(), "a", false), convey.ShouldNotBeNil)
		convey.So(setOut(other, false), convey.ShouldBeTrue)
		convey.So(setOut(other, true), convey.ShouldBeTrue)
		// The cut outlasts the connections of the victim, which sends what is queued all the same.
		time.Sleep(3 * time.Second)
		c.set("")
		convey.So(eventually(func() bool { return victim.HasQuorumContact() }, 5*time.Second), convey.ShouldBeTrue)
		convey.So(eventually(func() bool { return !isOut(other) }, 2*time.Second), convey.ShouldBeFalse)
		convey.So(setOut(victim, false), convey.ShouldBeTrue)
		convey.So(eventually(func() bool { return !isOut(other) }, 5*time.Second), convey.ShouldBeTrue)
	})
}
