package forward

import (
	"context"
	"net"
	"syscall"

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
	sc, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	disconnected := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		disconnected = err == nil && n == 0 || err == unix.ECONNRESET
	})
	return err == nil && disconnected
}

// resetOnClose makes the server reset the caller's connection when it closes it.
func resetOnClose(ctx context.Context) {
	// The connection may be one that wraps a net.TCPConn.
	if c, ok := ctx.Value(connKey{}).(interface{ SetLinger(int) error }); ok {
		// The call fails only if the connection has ended already.
		_ = c.SetLinger(0)
	}
}
