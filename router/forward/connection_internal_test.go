package forward

import (
	"net"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/router/targetconn"
)

// Guards against a router short of processor time that sends a request to a second target although the first
// has answered, and that answer only waits to be read.
func TestHasInput(t *testing.T) {
	convey.Convey("A connection has input once the peer has written to it or closed it", t, func() {
		for _, act := range []func(net.Conn) error{
			func(c net.Conn) error {
				_, err := c.Write([]byte("H"))
				return err
			},
			net.Conn.Close,
			func(c net.Conn) error {
				_ = c.(*net.TCPConn).SetLinger(0)
				return c.Close()
			},
		} {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			convey.So(err, convey.ShouldBeNil)
			c, err := net.Dial("tcp", ln.Addr().String())
			convey.So(err, convey.ShouldBeNil)
			peer, err := ln.Accept()
			convey.So(err, convey.ShouldBeNil)
			convey.So(ln.Close(), convey.ShouldBeNil)
			conn := &targetconn.Conn{Conn: c}
			convey.So(hasInput(conn), convey.ShouldBeFalse)
			convey.So(act(peer), convey.ShouldBeNil)
			seen := false
			for range 100 {
				if seen = hasInput(conn); seen {
					break
				}
				time.Sleep(time.Millisecond)
			}
			convey.So(seen, convey.ShouldBeTrue)
			convey.So(c.Close(), convey.ShouldBeNil)
			convey.So(hasInput(conn), convey.ShouldBeFalse)
		}
	})
}
