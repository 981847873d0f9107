package rpc

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet/bytebudget"
)

// notificationStart and paramsStart enclose the method of a notification as both
// EncodeNotification and the JSON-RPC library write it. A call has its ID before.
var (
	notificationStart = []byte(`{"jsonrpc":"2.0","method":"`)
	paramsStart       = []byte(`","params":`)
)

// lineStream is a jsonrpc2.ObjectStream of one message a line. It passes notifications to
// onNotification without the library, which would parse each of them four times.
type lineStream struct {
	conn           net.Conn
	in             *bufio.Reader
	onNotification func(method string, params json.RawMessage)
	// hold opens a hold for a message.
	hold func() *bytebudget.Hold
	// spoke is set once a message has been read.
	spoke *atomic.Bool

	mu  sync.Mutex
	out *json.Encoder
}

func newLineStream(conn net.Conn, hold func() *bytebudget.Hold, spoke *atomic.Bool, onNotification func(method string, params json.RawMessage)) *lineStream {
	return &lineStream{conn: conn, in: bufio.NewReader(conn), out: json.NewEncoder(conn), hold: hold, spoke: spoke, onNotification: onNotification}
}

// ReadObject implements jsonrpc2.ObjectStream. It returns calls and replies only.
func (s *lineStream) ReadObject(v any) error {
	for {
		done, err := s.readMessage(v)
		if done || err != nil {
			return err
		}
	}
}

// readMessage reads a message and handles it if it is a notification. It returns true for others, which
// it decodes.
func (s *lineStream) readMessage(v any) (done bool, err error) {
	memory := messageMemory{open: s.hold}
	defer memory.release()
	line, err := s.readLine(&memory)
	if err != nil {
		return false, err
	}
	s.spoke.Store(true)
	method, params, ok := parseNotification(line)
	if !ok {
		return true, errors.Wrap(json.Unmarshal(line, v), "decode message")
	}
	s.onNotification(method, params)
	return false, nil
}

// readLine reads a line of at most maxMessageBytes. It fails if there is no memory for it.
func (s *lineStream) readLine(memory *messageMemory) ([]byte, error) {
	var line []byte
	for {
		part, err := s.in.ReadSlice('\n')
		if line == nil && err == nil {
			// Handlers may keep what they get.
			return bytes.Clone(part), nil
		}
		if len(line)+len(part) > maxMessageBytes {
			return nil, errors.Errorf("message has more than %d bytes", maxMessageBytes)
		}
		if need := len(line) + len(part); need > cap(line) {
			size := min(max(2*cap(line), 2*need), maxMessageBytes)
			if err := memory.grow(size); err != nil {
				return nil, err
			}
			line = append(make([]byte, 0, size), line...)
		}
		memory.progress(len(part))
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

// parseNotification splits a line into the method and the parameters of a notification. It
// returns false for other messages.
func parseNotification(line []byte) (method string, params json.RawMessage, ok bool) {
	rest, ok := bytes.CutPrefix(bytes.TrimSpace(line), notificationStart)
	if !ok {
		return "", nil, false
	}
	name, rest, ok := bytes.Cut(rest, paramsStart)
	if !ok || bytes.ContainsAny(name, `"\`) {
		return "", nil, false
	}
	params, ok = bytes.CutSuffix(rest, []byte("}"))
	return string(name), params, ok
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *lineStream) WriteObject(v any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Encode(v)
}

// Close implements jsonrpc2.ObjectStream.
func (s *lineStream) Close() error { return s.conn.Close() }
