package intake

import "strconv"

const (
	// chunkBufferSize is the size of the buffers through which bodies in chunks are read, in bytes.
	chunkBufferSize = 8 << 10
	// minDirect is the size from which on the rest of a chunk is passed on without a copy, in bytes.
	minDirect = 4 << 10
	// chunkStart is the space before the data of a chunk for its size: 4 digits and CRLF.
	chunkStart = 6
	// chunkFrame is the space around the data of a chunk, with that of the last chunk.
	chunkFrame = chunkStart + len("\r\n") + len("0\r\n\r\n")
)

// readChunks reads a part of a body in chunks and makes one chunk of it.
func (c *Conn) readChunks() error {
	if c.raw == nil {
		if err := c.reserve(2 * chunkBufferSize); err != nil {
			return err
		}
		c.raw, c.decoded = make([]byte, chunkBufferSize), make([]byte, chunkBufferSize)
	}
	if c.chunks.left >= minDirect && c.chunks.state == chunkData && len(c.unread) == 0 {
		c.direct = c.chunks.left
		c.ready = append(strconv.AppendInt(c.decoded[:0], c.direct, 16), "\r\n"...)
		return nil
	}
	// What decoding yields has at most as many bytes as what is read, less the frame that is added.
	n, err := c.readBody(c.raw[:chunkBufferSize-chunkFrame])
	if n == 0 || err != nil {
		return err
	}
	raw, decoded := c.raw[:n], c.decoded
	taken, filled, err := c.chunks.decode(decoded[chunkStart:], raw)
	if err != nil {
		reason := chunkReasons[err]
		c.cfg.count(reason)
		c.cfg.logEnded(c, reason, c.figures()...)
		return err
	}
	c.ready = frameChunk(decoded, filled)
	if c.chunks.state == chunksDone {
		c.ready = append(c.ready, "0\r\n\r\n"...)
		c.putBack(raw[taken:])
		c.endBody()
	}
	return nil
}

// readDirect reads a part of a chunk that is passed on as it is.
func (c *Conn) readDirect(p []byte) (int, error) {
	n, err := c.readBody(p[:min(int64(len(p)), c.direct)])
	c.chunks.data += int64(n)
	if c.direct -= int64(n); c.direct == 0 {
		c.chunks.left, c.chunks.state = 0, chunkDataEnd
		c.ready = append(c.decoded[:0], "\r\n"...)
	}
	return n, err
}

// chunkReasons are the reasons for which bodies in chunks are refused.
var chunkReasons = map[error]string{errChunks: "Chunks", errExtra: "ChunkExtensions", errCount: "ChunkCount"}

// frameChunk makes a chunk of the n bytes of data from chunkStart on. It returns nothing for no data.
func frameChunk(buf []byte, n int) []byte {
	if n == 0 {
		return buf[:0]
	}
	size := strconv.AppendInt(make([]byte, 0, chunkStart), int64(n), 16)
	begin := chunkStart - len("\r\n") - len(size)
	copy(buf[begin:], size)
	copy(buf[chunkStart-len("\r\n"):], "\r\n")
	return append(buf[begin:chunkStart+n], "\r\n"...)
}
