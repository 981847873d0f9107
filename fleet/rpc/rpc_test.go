package rpc_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func echo(_ context.Context, _ fleet.Caller, method string, params json.RawMessage) (any, error) {
	if method == "Fail" {
		return nil, rpc.NewError(fleet.CodeNotLeader, "not the leader", fleet.NotLeader{Leader: "control-2"})
	}
	return params, nil
}

func eventually(f func() bool, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return f()
}

func TestCall(t *testing.T) {
	convey.Convey("A client calls a server and sees typed errors", t, func() {
		s := rpc.NewServer(rpc.ServerConfig{Address: loopback, Handler: rpc.HandlerFunc(echo)})
		convey.So(s.Start(), convey.ShouldBeNil)
		c := rpc.NewClient(rpc.ClientConfig{Address: s.Addr()})
		c.Start()
		convey.So(eventually(c.Connected, time.Second), convey.ShouldBeTrue)
		var got string
		convey.So(c.Call(context.Background(), "Echo", "hello", &got), convey.ShouldBeNil)
		convey.So(got, convey.ShouldEqual, "hello")
		err := c.Call(context.Background(), "Fail", nil, &got)
		var e *rpc.Error
		convey.So(err, convey.ShouldHaveSameTypeAs, e)
		convey.So(err.(*rpc.Error).Code, convey.ShouldEqual, fleet.CodeNotLeader)
		c.Stop()
		s.Stop()
	})
}

// silencer forwards connections until it is told to swallow the bytes of the open ones.
type silencer struct {
	ln       net.Listener
	to       string
	silenced atomic.Int64
	opened   atomic.Int64
}

func (s *silencer) run() {
	for {
		in, err := s.ln.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", s.to)
		if err != nil {
			return
		}
		n := s.opened.Add(1)
		go s.pipe(n, out, in)
		go s.pipe(n, in, out)
	}
}

func (s *silencer) pipe(n int64, dst io.Writer, src io.Reader) {
	b := make([]byte, 4096)
	for {
		k, err := src.Read(b)
		if err != nil {
			return
		}
		if n <= s.silenced.Load() {
			continue
		}
		if _, err := dst.Write(b[:k]); err != nil {
			return
		}
	}
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	convey.Convey("A connection that went silent is replaced by a new one", t, func() {
		s := rpc.NewServer(rpc.ServerConfig{Address: loopback, Handler: rpc.HandlerFunc(echo)})
		convey.So(s.Start(), convey.ShouldBeNil)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		link := &silencer{ln: ln, to: s.Addr().String()}
		go link.run()
		c := rpc.NewClient(rpc.ClientConfig{Address: ln.Addr().(*net.TCPAddr).AddrPort()})
		c.Start()
		convey.So(eventually(c.Connected, time.Second), convey.ShouldBeTrue)
		link.silenced.Store(link.opened.Load())
		works := func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			var got string
			return c.Call(ctx, "Echo", "again", &got) == nil
		}
		convey.So(works(), convey.ShouldBeFalse)
		convey.So(eventually(works, rpc.HeartbeatInterval+rpc.HeartbeatTimeout+2*rpc.DialTimeout), convey.ShouldBeTrue)
		c.Stop()
		s.Stop()
		convey.So(ln.Close(), convey.ShouldBeNil)
	})
}
