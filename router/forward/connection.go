package forward

import (
	"context"
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// connKey is the context key of the caller's connection.
type connKey struct{}

// ConnContext must be set as the ConnContext of the http.Server that serves callers. It
// lets a Forwarder detect that a caller has disconnected before the request's context is
// cancelled.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// callerDisconnected reports whether the caller has closed its connection. On a busy
// host the server may read a request after the caller has closed the connection, and
// before the end of the connection cancels ctx.
func callerDisconnected(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return false
	}
	n, err := peek(c)
	return err == nil && n == 0 || errors.Is(err, unix.ECONNRESET)
}

// peek looks for a byte that has arrived on a connection and has not been read. It returns 0 if the
// peer has closed the connection, and an error if there is neither.
func peek(c net.Conn) (n int, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, errors.New("connection without a descriptor")
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return n, err
}

// resetOnClose makes the server reset the caller's connection when it closes it.
func resetOnClose(ctx context.Context) {
	// The connection may be one that wraps a net.TCPConn.
	if c, ok := ctx.Value(connKey{}).(interface{ SetLinger(int) error }); ok {
		// The call fails only if the connection has ended already.
		_ = c.SetLinger(0)
	}
}
