package rpc

import (
	"compress/flate"
	"io"
	"net"

	"github.com/pkg/errors"
)

// CompressionLevel favours processor time: messages are short and much alike.
const CompressionLevel = flate.BestSpeed

// compressedConn passes one DEFLATE stream (RFC 1951) each way. The window spans
// messages, so names and field names that earlier messages held cost a few bits.
type compressedConn struct {
	net.Conn
	in  io.ReadCloser
	out *flate.Writer
}

// codedConn compresses a connection, unless both ends agreed to leave it plain.
func codedConn(nc net.Conn, plain bool) (net.Conn, error) {
	if plain {
		return nc, nil
	}
	return newCompressedConn(nc)
}

func newCompressedConn(nc net.Conn) (*compressedConn, error) {
	out, err := flate.NewWriter(nc, CompressionLevel)
	if err != nil {
		return nil, errors.Wrap(err, "compress connection")
	}
	return &compressedConn{Conn: nc, in: flate.NewReader(nc), out: out}, nil
}

// Read implements net.Conn.
func (c *compressedConn) Read(b []byte) (int, error) { return c.in.Read(b) }

// Write implements net.Conn. All of b is on its way when it returns.
func (c *compressedConn) Write(b []byte) (int, error) {
	n, err := c.out.Write(b)
	if err != nil {
		return n, err
	}
	return n, c.out.Flush()
}
