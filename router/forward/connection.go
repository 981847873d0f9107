package forward

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// connKey is the key of the caller's connection in the context of its requests.
type connKey struct{}

// ConnContext is to be the ConnContext of the server that takes the callers' requests.
// It lets a forwarder see that a caller has left before its context tells so.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// hasLeft says whether the caller closed its connection. A request and the end of its
// connection may have waited together while this host had no time to read them.
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
