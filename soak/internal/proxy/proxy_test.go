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

// echo starts a server behind a proxy and returns the proxy and its address.
func echo(t *testing.T, public, private string) (*proxy.Host, string) {
	ln, err := net.Listen("tcp", private+":0")
	convey.So(err, convey.ShouldBeNil)
	port := ln.Addr().(*net.TCPAddr).AddrPort().Port()
	h, err := proxy.New(netip.MustParseAddr(public), netip.MustParseAddr(private), port)
	convey.So(err, convey.ShouldBeNil)
	t.Cleanup(func() {
		h.Close()
		_ = ln.Close()
	})
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				// The test sees by the answer how the copy ended.
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return h, netip.AddrPortFrom(netip.MustParseAddr(public), port).String()
}

// ask sends a byte and says whether it comes back within the limit.
func ask(c net.Conn, limit time.Duration) bool {
	if _, err := c.Write([]byte{1}); err != nil {
		return false
	}
	if err := c.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return false
	}
	_, err := c.Read(make([]byte, 1))
	return err == nil
}

func TestHost(t *testing.T) {
	convey.Convey("A proxy passes on, delays, cuts, silences, resets and refuses", t, func() {
		h, addr := echo(t, "127.0.77.2", "127.0.77.1")
		dial := func() net.Conn {
			c, err := net.Dial("tcp", addr)
			convey.So(err, convey.ShouldBeNil)
			return c
		}
		const short, long = 200 * time.Millisecond, 5 * time.Second
		c := dial()
		convey.So(ask(c, long), convey.ShouldBeTrue)

		h.Delay(50 * time.Millisecond)
		begin := time.Now()
		convey.So(ask(c, long), convey.ShouldBeTrue)
		convey.So(time.Since(begin), convey.ShouldBeGreaterThan, 100*time.Millisecond)
		h.Delay(0)

		h.Cut(proxy.FromSubject, true)
		convey.So(ask(c, short), convey.ShouldBeFalse)
		h.Cut(proxy.FromSubject, false)
		convey.So(ask(c, long), convey.ShouldBeTrue)

		h.Silence()
		convey.So(ask(c, short), convey.ShouldBeFalse)
		fresh := dial()
		convey.So(ask(fresh, long), convey.ShouldBeTrue)

		h.Reset()
		convey.So(ask(fresh, long), convey.ShouldBeFalse)
		h.Refuse(true)
		convey.So(ask(dial(), long), convey.ShouldBeFalse)
		h.Refuse(false)
		convey.So(ask(dial(), long), convey.ShouldBeTrue)
	})
}
