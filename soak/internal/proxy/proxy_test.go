package proxy_test

import (
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/soak/internal/proxy"
)

// startEchoServer starts an echo server behind a proxy and returns the proxy and its address.
func startEchoServer(t *testing.T, public, private string) (*proxy.Proxy, string) {
	ln, err := net.Listen("tcp", private+":0")
	convey.So(err, convey.ShouldBeNil)
	port := ln.Addr().(*net.TCPAddr).AddrPort().Port()
	p, err := proxy.New(netip.MustParseAddr(public), netip.MustParseAddr(private), port)
	convey.So(err, convey.ShouldBeNil)
	t.Cleanup(func() {
		p.Close()
		_ = ln.Close()
	})
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				// Errors are ignored: the test checks what the client receives.
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return p, netip.AddrPortFrom(netip.MustParseAddr(public), port).String()
}

// client is a connection whose bytes are numbered, so that the late echo of an earlier one is
// not taken for that of the last.
type client struct {
	net.Conn
	sent byte
}

// roundTrip sends a byte and reports whether it comes back within the timeout.
func (c *client) roundTrip(timeout time.Duration) bool {
	c.sent++
	if _, err := c.Write([]byte{c.sent}); err != nil {
		return false
	}
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return false
	}
	echo := make([]byte, 1)
	for {
		if _, err := c.Read(echo); err != nil {
			return false
		}
		if echo[0] == c.sent {
			return true
		}
	}
}

// isRefused reports whether a new connection is refused: it is reset, either before the dial
// returns or later.
func isRefused(addr string, timeout time.Duration) bool {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.ECONNREFUSED)
	}
	defer c.Close()
	return !(&client{Conn: c}).roundTrip(timeout)
}

func TestProxy(t *testing.T) {
	convey.Convey("A proxy forwards, delays, blocks, blackholes, resets and refuses", t, func() {
		p, addr := startEchoServer(t, "127.0.77.2", "127.0.77.1")
		dial := func() *client {
			c, err := net.Dial("tcp", addr)
			convey.So(err, convey.ShouldBeNil)
			return &client{Conn: c}
		}
		const shortTimeout, longTimeout = 200 * time.Millisecond, 5 * time.Second
		oldConn := dial()
		convey.So(oldConn.roundTrip(longTimeout), convey.ShouldBeTrue)

		p.Delay(50 * time.Millisecond)
		startedAt := time.Now()
		convey.So(oldConn.roundTrip(longTimeout), convey.ShouldBeTrue)
		convey.So(time.Since(startedAt), convey.ShouldBeGreaterThan, 100*time.Millisecond)
		p.Delay(0)

		p.Block(proxy.FromSubject, true)
		convey.So(oldConn.roundTrip(shortTimeout), convey.ShouldBeFalse)
		p.Block(proxy.FromSubject, false)
		convey.So(oldConn.roundTrip(longTimeout), convey.ShouldBeTrue)

		p.Blackhole()
		convey.So(oldConn.roundTrip(shortTimeout), convey.ShouldBeFalse)
		newConn := dial()
		convey.So(newConn.roundTrip(longTimeout), convey.ShouldBeTrue)

		p.Reset()
		convey.So(newConn.roundTrip(longTimeout), convey.ShouldBeFalse)
		p.Refuse(true)
		convey.So(isRefused(addr, longTimeout), convey.ShouldBeTrue)
		p.Refuse(false)
		convey.So(dial().roundTrip(longTimeout), convey.ShouldBeTrue)
	})
}
