package rpc

import (
	"compress/flate"
	"io"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// CompressionLevel saves processor time rather than bytes: messages are short and similar.
const CompressionLevel = flate.BestSpeed

// compressedConn carries one DEFLATE stream (RFC 1951) in each direction. The compression
// window spans messages, so names that occurred in earlier messages take only a few bits.
type compressedConn struct {
	net.Conn
	in io.ReadCloser
	// mu serialises writes.
	mu  sync.Mutex
	out *flate.Writer
}

// wrapConn returns the connection with compression, or unchanged if it is uncompressed.
func wrapConn(nc net.Conn, uncompressed bool) (net.Conn, error) {
	if uncompressed {
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

// Write implements net.Conn. It flushes, so that the peer can decompress all of b.
func (c *compressedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.out.Write(b)
	if err != nil {
		return n, err
	}
	return n, c.out.Flush()
}
