package overload

import (
	"net"
	"net/netip"
	"os"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// acceptQueueLength is the number of connections that may wait to be accepted; further ones are not
// opened. An overloaded router would read what waits in a longer queue after the callers have left.
const acceptQueueLength = 256

// The system keeps at most receiveBuffer bytes that a peer has sent and the process has not read, and
// sendBuffer bytes that the peer has not read, for each connection. By default they grow to 4 MB and more.
// A body of 20 KB arrives in one piece; one of 4 MB takes 0.7 s over a round-trip time of 10 ms.
const (
	receiveBuffer = 64 << 10
	sendBuffer    = 64 << 10
)

// Listen listens for callers on a TCP address, with a queue of acceptQueueLength connections.
// Package net always uses the longest queue that the system allows.
func Listen(addr netip.AddrPort) (net.Listener, error) {
	fd, err := listenSocket(addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", addr)
	}
	f := os.NewFile(uintptr(fd), addr.String())
	ln, err := net.FileListener(f)
	// The listener has a duplicate of the descriptor.
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return ln, errors.Wrapf(err, "listen on %s", addr)
}

// listenSocket returns the descriptor of a listening socket.
func listenSocket(addr netip.AddrPort) (int, error) {
	var family int
	var sa unix.Sockaddr
	if ip := addr.Addr().Unmap(); ip.Is4() {
		family, sa = unix.AF_INET, &unix.SockaddrInet4{Port: int(addr.Port()), Addr: ip.As4()}
	} else {
		family, sa = unix.AF_INET6, &unix.SockaddrInet6{Port: int(addr.Port()), Addr: ip.As16()}
	}
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return 0, os.NewSyscallError("socket", err)
	}
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return 0, closeAfter(fd, os.NewSyscallError("setsockopt", err))
	}
	// Accepted connections inherit the sizes, which have to be set before listen.
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer); err != nil {
		return 0, closeAfter(fd, os.NewSyscallError("setsockopt", err))
	}
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer); err != nil {
		return 0, closeAfter(fd, os.NewSyscallError("setsockopt", err))
	}
	if err := unix.Bind(fd, sa); err != nil {
		return 0, closeAfter(fd, os.NewSyscallError("bind", err))
	}
	if err := unix.Listen(fd, acceptQueueLength); err != nil {
		return 0, closeAfter(fd, os.NewSyscallError("listen", err))
	}
	return fd, nil
}

// closeAfter closes a descriptor after an error, which it returns.
func closeAfter(fd int, err error) error {
	if closeErr := unix.Close(fd); closeErr != nil {
		return errors.Wrapf(err, "close: %v", closeErr)
	}
	return err
}
