package rpc

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net"
	"sync"

	"github.com/pkg/errors"
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

	mu  sync.Mutex
	out *json.Encoder
}

func newLineStream(conn net.Conn, onNotification func(method string, params json.RawMessage)) *lineStream {
	return &lineStream{conn: conn, in: bufio.NewReader(conn), out: json.NewEncoder(conn), onNotification: onNotification}
}

// ReadObject implements jsonrpc2.ObjectStream. It returns calls and replies only.
func (s *lineStream) ReadObject(v any) error {
	for {
		line, err := s.in.ReadBytes('\n')
		if err != nil {
			return err
		}
		method, params, ok := parseNotification(line)
		if !ok {
			return errors.Wrap(json.Unmarshal(line, v), "decode message")
		}
		s.onNotification(method, params)
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
