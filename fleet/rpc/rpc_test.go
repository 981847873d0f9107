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

// echo returns the parameters of a call; the method Fail returns an error with data.
func echo(_ context.Context, _ fleet.Caller, method string, params json.RawMessage) (any, error) {
	if method == "Fail" {
		return nil, rpc.NewError(fleet.CodeNotLeader, "not the leader", fleet.NotLeader{Leader: "control-2"})
	}
	return params, nil
}

// eventually polls f until it returns true or the limit has passed.
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

// stallingProxy forwards connections. It keeps the first stalled ones open but discards
// their bytes, as a failing network does.
type stallingProxy struct {
	ln      net.Listener
	to      string
	stalled atomic.Int64
	opened  atomic.Int64
}

func (s *stallingProxy) run() {
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

// pipe copies one direction of the nth connection until it ends or is stalled.
func (s *stallingProxy) pipe(n int64, dst io.Writer, src io.Reader) {
	b := make([]byte, 4096)
	for {
		k, err := src.Read(b)
		if err != nil {
			return
		}
		if n <= s.stalled.Load() {
			continue
		}
		if _, err := dst.Write(b[:k]); err != nil {
			return
		}
	}
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	convey.Convey("A connection that stays open without passing data is replaced by a new one", t, func() {
		s := rpc.NewServer(rpc.ServerConfig{Address: loopback, Handler: rpc.HandlerFunc(echo)})
		convey.So(s.Start(), convey.ShouldBeNil)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		proxy := &stallingProxy{ln: ln, to: s.Addr().String()}
		go proxy.run()
		c := rpc.NewClient(rpc.ClientConfig{Address: ln.Addr().(*net.TCPAddr).AddrPort()})
		c.Start()
		convey.So(eventually(c.Connected, time.Second), convey.ShouldBeTrue)
		proxy.stalled.Store(proxy.opened.Load())
		callSucceeds := func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			var got string
			return c.Call(ctx, "Echo", "again", &got) == nil
		}
		convey.So(callSucceeds(), convey.ShouldBeFalse)
		convey.So(eventually(callSucceeds, rpc.HeartbeatInterval+rpc.HeartbeatTimeout+2*rpc.DialTimeout), convey.ShouldBeTrue)
		c.Stop()
		s.Stop()
		convey.So(ln.Close(), convey.ShouldBeNil)
	})
}
