package rpc_test

import (
	"bytes"
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet/bytebudget"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
)

// isClosed reports whether the peer closes a connection.
func isClosed(c net.Conn) bool {
	if c.SetReadDeadline(time.Now().Add(3*time.Second)) != nil {
		return false
	}
	_, err := c.Read(make([]byte, 1))
	var timeout net.Error
	return err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
}

// Guards against messages that fill the memory of a process (callers that exceed limits).
func TestMessagesWithinTheBudget(t *testing.T) {
	convey.Convey("An endless message ends the connection and releases its memory; one that fits is handled", t, func() {
		budget := bytebudget.New(bytebudget.Config{Total: 4 << 20})
		s := rpc.NewServer(rpc.ServerConfig{Address: loopback, Uncompressed: true, Budget: budget, Handler: rpc.HandlerFunc(echo)})
		convey.So(s.Start(), convey.ShouldBeNil)
		defer s.Stop()
		endless, err := net.Dial("tcp", s.Addr().String())
		convey.So(err, convey.ShouldBeNil)
		defer endless.Close()
		go func() {
			for err := error(nil); err == nil; {
				_, err = endless.Write(bytes.Repeat([]byte("x"), 1<<16))
			}
		}()
		convey.So(isClosed(endless), convey.ShouldBeTrue)
		convey.So(budget.Status().Peak, convey.ShouldBeBetweenOrEqual, 1<<20, 4<<20)
		convey.So(eventually(func() bool { return budget.Status().Held == 0 }, 3*time.Second), convey.ShouldBeTrue)

		c := rpc.NewClient(rpc.ClientConfig{Address: s.Addr(), Uncompressed: true})
		c.Start()
		defer c.Stop()
		convey.So(eventually(c.Connected, time.Second), convey.ShouldBeTrue)
		text, got := strings.Repeat("x", 500_000), ""
		convey.So(c.Call(context.Background(), "Echo", text, &got), convey.ShouldBeNil)
		convey.So(got == text, convey.ShouldBeTrue)
		convey.So(budget.Status().Held, convey.ShouldEqual, 0)
	})
}

// Guards against connections of silent peers that take all descriptors, or the places of others.
func TestMaxConnections(t *testing.T) {
	convey.Convey("At the limit a connection that has been silent gives way, one that has spoken does not", t, func() {
		s := rpc.NewServer(rpc.ServerConfig{Address: loopback, Uncompressed: true, MaxConnections: 2, Handler: rpc.HandlerFunc(echo)})
		convey.So(s.Start(), convey.ShouldBeNil)
		defer s.Stop()
		first := rpc.NewClient(rpc.ClientConfig{Address: s.Addr(), Uncompressed: true})
		first.Start()
		defer first.Stop()
		convey.So(eventually(first.Connected, time.Second), convey.ShouldBeTrue)
		dial := func() net.Conn {
			c, err := net.Dial("tcp", s.Addr().String())
			convey.So(err, convey.ShouldBeNil)
			return c
		}
		silent, refused := dial(), dial()
		defer silent.Close()
		defer refused.Close()
		convey.So(isClosed(refused), convey.ShouldBeTrue)
		time.Sleep(time.Second)
		second := rpc.NewClient(rpc.ClientConfig{Address: s.Addr(), Uncompressed: true})
		second.Start()
		defer second.Stop()
		convey.So(eventually(second.Connected, 3*time.Second), convey.ShouldBeTrue)
		convey.So(isClosed(silent), convey.ShouldBeTrue)
		convey.So(first.Connected(), convey.ShouldBeTrue)
	})
}
