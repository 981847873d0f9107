package overload

import (
	"expvar"
	"net"
)

// boundedConnections counts the new connections of Bounded listeners that were closed at the limit.
var boundedConnections = expvar.NewInt("ConnectionsClosedAtLimit")

// Bounded accepts the connections of another listener and closes those that a ConnectionLimiter rejects.
// The limiter must track the connections of the server.
type Bounded struct {
	net.Listener
	Limiter *ConnectionLimiter
}

// Accept implements net.Listener.
func (l Bounded) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.Limiter.ShouldReject() {
			if tcp, ok := c.(*net.TCPConn); ok {
				return &limitedConn{TCPConn: tcp}, nil
			}
			return c, nil
		}
		boundedConnections.Add(1)
		// The peer has sent nothing that could have run.
		_ = c.Close()
	}
}
