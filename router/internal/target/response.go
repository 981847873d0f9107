package target

import (
	"bytes"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

const (
	// maxTail is how many bytes of the end of a body are kept to verify that it is
	// complete.
	maxTail = 512
	// streamEnd is the last event of a model's stream of server-sent events.
	streamEnd = "data: [DONE]"
)

var completionTokens = regexp.MustCompile(`"completion_tokens"\s*:\s*(\d+)`)

// responseState is what has been received of the response to an attempt.
type responseState struct {
	// record reports whether the response is recorded in the ledger.
	record bool
	// begun reports whether the header has been passed on.
	begun       bool
	status      int
	contentType string
	// length is the announced length of the body in bytes, or -1 if there is none.
	length int64
	// offset is how many bytes of the body have been received.
	offset int64
	// firstToken is the time from sending the request to the header of a stream; 0 for
	// other responses.
	firstToken time.Duration
	// isEventStream reports whether the body is a model's stream, whose events are
	// counted.
	isEventStream bool
	tokens        fleet.Cost
	// linePrefix holds the first maxLinePrefix bytes of the last, incomplete line.
	linePrefix []byte
	// tail is the end of the body, up to maxTail bytes.
	tail []byte
	// recordedBody is the body for the ledger; tooLarge reports whether it was discarded
	// because it exceeds what the ledger stores.
	recordedBody []byte
	tooLarge     bool
	// heldBack is the last part of a body, which is passed on after it has been
	// recorded.
	heldBack []byte
}

// lengthReached reports whether the body has reached its announced length; false without
// one.
func (s *responseState) lengthReached() bool {
	return s.length > 0 && s.offset == s.length
}

// add records the next part of the body.
func (s *responseState) add(p []byte) {
	s.offset += int64(len(p))
	s.tail = append(s.tail, p[max(0, len(p)-maxTail):]...)
	if n := len(s.tail) - maxTail; n > 0 {
		s.tail = s.tail[:copy(s.tail, s.tail[n:])]
	}
	if s.isEventStream {
		s.countEvents(p)
	}
	if !s.record || s.tooLarge {
		return
	}
	if s.tooLarge = len(s.recordedBody)+len(p) > fleet.MaxRecordedAnswerBytes; s.tooLarge {
		s.recordedBody = nil
		return
	}
	s.recordedBody = append(s.recordedBody, p...)
}

// maxLinePrefix is how many bytes of a line are needed to distinguish a data event from
// streamEnd.
const maxLinePrefix = len(streamEnd)

// countEvents counts the data events, of which there is one for each token. The event
// that ends the stream does not count.
func (s *responseState) countEvents(p []byte) {
	for len(p) > 0 {
		i := bytes.IndexByte(p, '\n')
		part := p
		if i >= 0 {
			part = p[:i]
		}
		if room := maxLinePrefix - len(s.linePrefix); room > 0 {
			s.linePrefix = append(s.linePrefix, part[:min(room, len(part))]...)
		}
		if i < 0 {
			return
		}
		if bytes.HasPrefix(s.linePrefix, []byte("data:")) && string(s.linePrefix) != streamEnd {
			s.tokens++
		}
		s.linePrefix = s.linePrefix[:0]
		p = p[i+1:]
	}
}

// isComplete reports whether a body that ended as framed is complete: it has its announced
// length, if any, and a stream ends with streamEnd.
func (s *responseState) isComplete() bool {
	if s.length >= 0 && s.offset != s.length {
		return false
	}
	if !s.isEventStream {
		return true
	}
	return strings.HasSuffix(strings.TrimRight(string(s.tail), "\r\n"), streamEnd)
}

// readTokenCount reads the token count from the end of a response that is not a stream.
func (s *responseState) readTokenCount() {
	if s.isEventStream {
		return
	}
	if m := completionTokens.FindSubmatch(s.tail); m != nil {
		if n, err := strconv.ParseInt(string(m[1]), 10, 64); err == nil {
			s.tokens = fleet.Cost(n)
		}
	}
}

// recordedAnswer returns the response in the form in which the ledger stores it.
func (s *responseState) recordedAnswer() *fleet.RecordedAnswer {
	return &fleet.RecordedAnswer{Status: s.status, ContentType: s.contentType, Body: s.recordedBody, Truncated: s.tooLarge}
}
