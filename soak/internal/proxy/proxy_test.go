package proxy_test

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

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

// roundTrip sends a byte and reports whether a byte comes back within the timeout.
func roundTrip(c net.Conn, timeout time.Duration) bool {
	if _, err := c.Write([]byte{1}); err != nil {
		return false
	}
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return false
	}
	_, err := c.Read(make([]byte, 1))
	return err == nil
}

func TestProxy(t *testing.T) {
	convey.Convey("A proxy forwards, delays, blocks, blackholes, resets and refuses", t, func() {
		p, addr := startEchoServer(t, "127.0.77.2", "127.0.77.1")
		dial := func() net.Conn {
			c, err := net.Dial("tcp", addr)
			convey.So(err, convey.ShouldBeNil)
			return c
		}
		const shortTimeout, longTimeout = 200 * time.Millisecond, 5 * time.Second
		oldConn := dial()
		convey.So(roundTrip(oldConn, longTimeout), convey.ShouldBeTrue)

		p.Delay(50 * time.Millisecond)
		startedAt := time.Now()
		convey.So(roundTrip(oldConn, longTimeout), convey.ShouldBeTrue)
		convey.So(time.Since(startedAt), convey.ShouldBeGreaterThan, 100*time.Millisecond)
		p.Delay(0)

		p.Block(proxy.FromSubject, true)
		convey.So(roundTrip(oldConn, shortTimeout), convey.ShouldBeFalse)
		p.Block(proxy.FromSubject, false)
		convey.So(roundTrip(oldConn, longTimeout), convey.ShouldBeTrue)

		p.Blackhole()
		convey.So(roundTrip(oldConn, shortTimeout), convey.ShouldBeFalse)
		newConn := dial()
		convey.So(roundTrip(newConn, longTimeout), convey.ShouldBeTrue)

		p.Reset()
		convey.So(roundTrip(newConn, longTimeout), convey.ShouldBeFalse)
		p.Refuse(true)
		convey.So(roundTrip(dial(), longTimeout), convey.ShouldBeFalse)
		p.Refuse(false)
		convey.So(roundTrip(dial(), longTimeout), convey.ShouldBeTrue)
	})
}
