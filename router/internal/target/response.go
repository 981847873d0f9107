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
	// record says that the response is recorded in the ledger.
	record bool
	// begun says that the header has been passed on.
	begun       bool
	status      int
	contentType string
	// length is the announced length of the body in bytes, or -1 if there is none.
	length        int64
	offset        int64
	firstToken    time.Duration
	isEventStream bool
	tokens        fleet.Cost
	// linePrefix holds the first maxLinePrefix bytes of the last, incomplete line.
	linePrefix   []byte
	tail         []byte
	recordedBody []byte
	tooLarge     bool
	// heldBack is the last part of a body, which is passed on after it has been
	// recorded.
	heldBack []byte
}

// lengthReached reports whether the body has reached its announced length, if it has
// one.
func (a *responseState) lengthReached() bool {
	return a.length > 0 && a.offset == a.length
}

// add takes the next part of the body.
func (a *responseState) add(p []byte) {
	a.offset += int64(len(p))
	a.tail = append(a.tail, p[max(0, len(p)-maxTail):]...)
	if n := len(a.tail) - maxTail; n > 0 {
		a.tail = a.tail[:copy(a.tail, a.tail[n:])]
	}
	if a.isEventStream {
		a.countEvents(p)
	}
	if !a.record || a.tooLarge {
		return
	}
	if a.tooLarge = len(a.recordedBody)+len(p) > fleet.MaxRecordedAnswerBytes; a.tooLarge {
		a.recordedBody = nil
		return
	}
	a.recordedBody = append(a.recordedBody, p...)
}

// maxLinePrefix is how many bytes of a line are needed to recognise a data event.
const maxLinePrefix = len(streamEnd)

// countEvents counts the data events, of which there is one for each token. The event
// that ends the stream does not count.
func (a *responseState) countEvents(p []byte) {
	for len(p) > 0 {
		i := bytes.IndexByte(p, '\n')
		part := p
		if i >= 0 {
			part = p[:i]
		}
		if room := maxLinePrefix - len(a.linePrefix); room > 0 {
			a.linePrefix = append(a.linePrefix, part[:min(room, len(part))]...)
		}
		if i < 0 {
			return
		}
		if bytes.HasPrefix(a.linePrefix, []byte("data:")) && string(a.linePrefix) != streamEnd {
			a.tokens++
		}
		a.linePrefix = a.linePrefix[:0]
		p = p[i+1:]
	}
}

// isComplete reports whether a body is complete that ended as framed.
func (a *responseState) isComplete() bool {
	if a.length >= 0 && a.offset != a.length {
		return false
	}
	if !a.isEventStream {
		return true
	}
	return strings.HasSuffix(strings.TrimRight(string(a.tail), "\r\n"), streamEnd)
}

// readTokenCount takes the token count from a response that is not a stream.
func (a *responseState) readTokenCount() {
	if a.isEventStream {
		return
	}
	if m := completionTokens.FindSubmatch(a.tail); m != nil {
		if n, err := strconv.ParseInt(string(m[1]), 10, 64); err == nil {
			a.tokens = fleet.Cost(n)
		}
	}
}

// recordedAnswer returns the response in the form in which the ledger stores it.
func (a *responseState) recordedAnswer() *fleet.RecordedAnswer {
	return &fleet.RecordedAnswer{Status: a.status, ContentType: a.contentType, Body: a.recordedBody, Truncated: a.tooLarge}
}
