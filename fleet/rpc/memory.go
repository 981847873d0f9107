package rpc

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/bytebudget"
)

const (
	// maxMessageBytes bounds a message. The largest ones carry a configuration of 16 MB, encoded as
	// base64.
	maxMessageBytes = 32 << 20
	// freeMessage is the size up to which a message does not count in the budget, in bytes.
	freeMessage = 16 << 10
	// maxCalls bounds the calls of one peer that are handled at the same time; its next messages wait.
	maxCalls = 256
	// socketBuffer bounds the bytes that the system keeps of a connection in each direction. It is above
	// the largest snapshot of the feed of 300 routers.
	socketBuffer = 512 << 10
	// minSilence is how long a connection must have been silent to be closed for a new one.
	minSilence = time.Second
)

// clock is what the budget goes by.
var clock fleet.Clock = fleet.SystemClock{}

// boundSocket bounds the buffers of a connection.
func boundSocket(nc net.Conn) error {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := tcp.SetReadBuffer(socketBuffer); err != nil {
		return errors.Wrap(err, "bound read buffer")
	}
	return errors.Wrap(tcp.SetWriteBuffer(socketBuffer), "bound write buffer")
}

// messageMemory is what a message takes of the budget.
type messageMemory struct {
	open func() *bytebudget.Hold
	hold *bytebudget.Hold
	// held is what hold has.
	held int
}

// grow reserves a buffer of size bytes, which takes the place of the one before.
func (m *messageMemory) grow(size int) error {
	if size <= freeMessage {
		return nil
	}
	if m.hold == nil {
		m.hold = m.open()
	}
	if err := m.hold.Grow(clock.Now(), int64(size)); err != nil {
		return errors.Wrap(err, "read message")
	}
	m.hold.Shrink(int64(m.held))
	m.held = size
	return nil
}

func (m *messageMemory) progress(n int) { m.hold.Progress(clock.Now(), int64(n)) }

func (m *messageMemory) release() { m.hold.Close() }

// holdCalls returns a handler that counts large calls in the budget while they are handled, and refuses
// those for which there is no memory.
func holdCalls(h Handler, open func() *bytebudget.Hold) Handler {
	return HandlerFunc(func(ctx context.Context, peer fleet.Caller, method string, params json.RawMessage) (any, error) {
		if len(params) <= freeMessage {
			return h.Handle(ctx, peer, method, params)
		}
		hold := open()
		defer hold.Close()
		err := hold.Grow(clock.Now(), int64(len(params)))
		if err == nil {
			err = hold.Enter(clock.Now(), bytebudget.Sent)
		}
		if err != nil {
			return nil, NewError(fleet.CodeUnavailable, err.Error(), nil)
		}
		return h.Handle(ctx, peer, method, params)
	})
}
