package intake

import "github.com/pkg/errors"

// Limits of bodies in chunks.
const (
	// A body may have maxSmallChunks chunks of any size, and one more for each usualChunk bytes. This
	// admits a body of 20 KB in chunks of one byte and one of 4 MB in chunks of 64 bytes. Chunks of one
	// byte then take less processor time in all than the largest body of known length.
	maxSmallChunks = 32 << 10
	usualChunk     = 64
	// maxExtraBytes bounds the bytes of chunk extensions and trailers of a body, which nobody reads.
	maxExtraBytes = 4 << 10
	// maxSizeDigits bounds the digits of a chunk's size, so that it fits into an int64.
	maxSizeDigits = 15
)

// ErrBody is wrapped by the errors of reading a body whose chunks are malformed or exceed limits.
var ErrBody = errors.New("body is not proper")

var (
	errChunks = errors.Wrap(ErrBody, "malformed chunks")
	errExtra  = errors.Wrapf(ErrBody, "chunk extensions and trailers have more than %d bytes", maxExtraBytes)
	errCount  = errors.Wrap(ErrBody, "too many chunks for its size")
)

// chunkState is what a chunkDecoder expects next.
type chunkState int

const (
	chunkSize chunkState = iota
	chunkExtension
	chunkSizeEnd
	chunkData
	chunkDataEnd
	chunkDataEnd2
	trailerLine
	trailerText
	trailerEnd
	trailerLastEnd
	chunksDone
)

// chunkDecoder decodes a body in chunks. It takes a fifth of the processor time that the decoder
// of net/http takes for chunks of one byte (BenchmarkChunks).
type chunkDecoder struct {
	state  chunkState
	digits int
	// left is the number of bytes that the current chunk still has.
	left int64
	// data is the number of bytes of the body so far, chunks that of its chunks, and extra that of the
	// bytes of extensions and trailers.
	data          int64
	chunks, extra int
	// sawColon is true if the current trailer has a name.
	sawColon bool
}

// decode decodes bytes of in into out. It returns how many bytes of in it has taken and of out it has
// filled.
func (d *chunkDecoder) decode(out, in []byte) (taken, filled int, err error) {
	for taken < len(in) && d.state != chunksDone {
		switch d.state {
		case chunkData:
			if filled == len(out) {
				return taken, filled, nil
			}
			n := copySome(out[filled:], in[taken:min(int64(len(in)), int64(taken)+d.left)])
			taken, filled = taken+n, filled+n
			d.data += int64(n)
			if d.left -= int64(n); d.left > 0 {
				continue
			}
			d.state = chunkDataEnd
			if rest := in[taken:]; len(rest) >= 2 && rest[0] == '\r' && rest[1] == '\n' {
				d.state = chunkSize
				taken += 2
			}
			continue
		case chunkSize:
			if n := d.wholeSize(in[taken:]); n > 0 {
				taken += n
				if err := d.beginChunk('\n'); err != nil {
					return taken, filled, err
				}
				continue
			}
		}
		if err := d.step(in[taken]); err != nil {
			return taken, filled, err
		}
		taken++
	}
	return taken, filled, nil
}

// copySome copies like copy. A few bytes are copied without a call, which takes longer than the bytes.
func copySome(out, in []byte) int {
	if len(in) > 8 || len(out) < len(in) {
		return copy(out, in)
	}
	for i, c := range in {
		out[i] = c
	}
	return len(in)
}

// wholeSize takes the size of a chunk with its end if in begins with all of it, and returns the number
// of its bytes, or 0 if step is to take it.
func (d *chunkDecoder) wholeSize(in []byte) int {
	if d.digits > 0 {
		return 0
	}
	size := int64(0)
	for i, c := range in[:min(len(in), maxSizeDigits)] {
		digit := hexDigits[c]
		if digit < 0 {
			if i == 0 || size == 0 || c != '\r' || i+1 == len(in) || in[i+1] != '\n' {
				return 0
			}
			d.left = size
			return i + 2
		}
		size = size<<4 | int64(digit)
	}
	return 0
}

// hexDigits has the value of each hexadecimal digit, and -1 for other characters.
var hexDigits = func() (values [256]int8) {
	for i := range values {
		values[i] = -1
	}
	for i, c := range "0123456789abcdef" {
		values[c] = int8(i)
	}
	for i, c := range "ABCDEF" {
		values[c] = int8(i + 10)
	}
	return values
}()

// step takes a byte that is not data.
func (d *chunkDecoder) step(c byte) error {
	switch d.state {
	case chunkSize:
		return d.stepSize(c)
	case chunkExtension:
		if c == '\r' {
			d.state = chunkSizeEnd
			return nil
		}
		return d.addExtra(c)
	case chunkSizeEnd:
		return d.beginChunk(c)
	case chunkDataEnd:
		return d.expect(c, '\r', chunkDataEnd2)
	case chunkDataEnd2:
		return d.expect(c, '\n', chunkSize)
	case trailerLine:
		if c == '\r' {
			d.state = trailerLastEnd
			return nil
		}
		d.state, d.sawColon = trailerText, false
		return d.stepTrailer(c)
	case trailerText:
		return d.stepTrailer(c)
	case trailerEnd:
		if err := d.expect(c, '\n', trailerLine); err != nil {
			return err
		}
		return d.addExtra(' ')
	case trailerLastEnd:
		return d.expect(c, '\n', chunksDone)
	}
	return errChunks
}

// stepTrailer takes a byte of a trailer.
func (d *chunkDecoder) stepTrailer(c byte) error {
	switch {
	case c == '\r' && d.sawColon:
		d.state = trailerEnd
		return nil
	case c == '\r':
		return errChunks
	case c == ':':
		d.sawColon = true
	}
	return d.addExtra(c)
}

func (d *chunkDecoder) expect(c, want byte, next chunkState) error {
	if c != want {
		return errChunks
	}
	d.state = next
	return nil
}

// addExtra counts a byte of an extension or a trailer.
func (d *chunkDecoder) addExtra(c byte) error {
	if c == '\n' {
		return errChunks
	}
	if d.extra++; d.extra > maxExtraBytes {
		return errExtra
	}
	return nil
}

// stepSize takes a byte of the size of a chunk.
func (d *chunkDecoder) stepSize(c byte) error {
	digit := hexDigits[c]
	switch {
	case digit >= 0:
	case d.digits == 0:
		return errChunks
	case c == '\r':
		d.state = chunkSizeEnd
		return nil
	case c == ';' || c == ' ' || c == '\t':
		d.state = chunkExtension
		return d.addExtra(c)
	default:
		return errChunks
	}
	if d.digits++; d.digits > maxSizeDigits {
		return errChunks
	}
	d.left = d.left<<4 | int64(digit)
	return nil
}

// beginChunk takes the end of a chunk's size.
func (d *chunkDecoder) beginChunk(c byte) error {
	if c != '\n' {
		return errChunks
	}
	d.digits = 0
	if d.left == 0 {
		d.state = trailerLine
		return nil
	}
	if d.chunks++; int64(d.chunks) > maxSmallChunks+d.data/usualChunk {
		return errCount
	}
	d.state = chunkData
	return nil
}
