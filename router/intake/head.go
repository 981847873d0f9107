package intake

import (
	"bytes"
	"math"
)

// Limits of request headers.
const (
	// maxHeadBytes bounds the header of a request. Proper callers send at most 16,384 bytes.
	maxHeadBytes = 20 << 10
	// maxFields bounds the number of header fields. A field of 5 bytes takes about 100 bytes in a
	// parsed header, so that the limit of bytes alone allows 400 KB.
	maxFields = 256
	// maxEmptyLines bounds the empty lines before a request. RFC 9112 asks servers to ignore at least
	// one.
	maxEmptyLines = 8
	// maxLengthDigits bounds the digits of Content-Length, so that it fits into an int64.
	maxLengthDigits = 18
)

// framing says how the body of a request is delimited.
type framing struct {
	chunked bool
	// length is the length of a body that is not chunked.
	length int64
}

// verdict is the result of scanning a part of a header.
type verdict int

const (
	// incomplete means that more bytes are needed.
	incomplete verdict = iota
	// complete means that the header has ended.
	complete
	// tooLarge means that the header exceeds maxHeadBytes.
	tooLarge
	// malformed means that the request is refused.
	malformed
)

// headScanner finds the end of a request's header and how its body is delimited. It looks at each byte
// once, and takes only what net/http takes in the same way; all else is malformed.
type headScanner struct {
	// begin and end delimit the header in the bytes scanned so far; scanned is the number of bytes
	// that were looked at.
	begin, end, scanned int
	lineStart           int
	emptyLines, fields  int
	sawRequestLine      bool
	// oldVersion means HTTP/1.0, where net/http ignores Transfer-Encoding.
	oldVersion bool
	encodings  int
	chunked    bool
	lengths    int
	length     int64
	// reason says why the header is malformed.
	reason string
}

// scan looks at the bytes of buf that follow those that were scanned before. The bytes before must
// be the same at each call.
func (s *headScanner) scan(buf []byte) verdict {
	for {
		i := bytes.IndexByte(buf[s.scanned:], '\n')
		if i < 0 {
			s.scanned = len(buf)
			if len(buf)-s.begin > maxHeadBytes {
				return tooLarge
			}
			return incomplete
		}
		s.scanned += i + 1
		line := bytes.TrimSuffix(buf[s.lineStart:s.scanned-1], []byte{'\r'})
		s.lineStart = s.scanned
		if v := s.addLine(line); v != incomplete {
			return v
		}
		if s.scanned-s.begin > maxHeadBytes {
			return tooLarge
		}
	}
}

// addLine takes a line of the header without its end.
func (s *headScanner) addLine(line []byte) verdict {
	switch {
	case !s.sawRequestLine && len(line) == 0:
		s.begin = s.scanned
		if s.emptyLines++; s.emptyLines > maxEmptyLines {
			return s.refuse("EmptyLines")
		}
		return incomplete
	case !s.sawRequestLine:
		s.sawRequestLine = true
		s.oldVersion = bytes.HasSuffix(line, []byte(" HTTP/1.0"))
		return incomplete
	case len(line) == 0:
		s.end = s.scanned
		return s.finish()
	}
	if s.fields++; s.fields > maxFields {
		return s.refuse("Fields")
	}
	if line[0] == ' ' || line[0] == '\t' {
		// Lines that continue a field are obsolete; net/http joins them.
		return s.refuse("FoldedLine")
	}
	name, value, _ := bytes.Cut(line, []byte{':'})
	switch {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		s.encodings++
		s.chunked = bytes.EqualFold(bytes.Trim(value, " \t"), []byte("chunked"))
	case bytes.EqualFold(name, []byte("Content-Length")):
		return s.addLength(bytes.Trim(value, " \t"))
	}
	return incomplete
}

func (s *headScanner) addLength(digits []byte) verdict {
	if len(digits) == 0 || len(digits) > maxLengthDigits {
		return s.refuse("Length")
	}
	n := int64(0)
	for _, c := range digits {
		if c < '0' || c > '9' {
			return s.refuse("Length")
		}
		n = n*10 + int64(c-'0')
	}
	if s.lengths++; s.lengths > 1 && n != s.length {
		return s.refuse("Length")
	}
	s.length = n
	return incomplete
}

// finish checks the header as a whole.
func (s *headScanner) finish() verdict {
	if s.oldVersion {
		s.chunked = false
		return complete
	}
	if s.encodings > 1 || s.encodings == 1 && !s.chunked {
		return s.refuse("TransferEncoding")
	}
	return complete
}

func (s *headScanner) refuse(reason string) verdict {
	s.reason = reason
	return malformed
}

// framing returns how the body is delimited, once the header is complete.
func (s *headScanner) framing() framing {
	if s.chunked {
		return framing{chunked: true, length: math.MaxInt64}
	}
	return framing{length: s.length}
}
