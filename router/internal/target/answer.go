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
	// tailKept is how much of the end of a body is kept to verify it, in bytes.
	maxTail = 512
	// streamEnd ends a stream of server-sent events of a model.
	streamEnd = "data: [DONE]"
)

var completionTokens = regexp.MustCompile(`"completion_tokens"\s*:\s*(\d+)`)

// answer is what is known of the answer that an exchange passes on.
type responseState struct {
	// once says that the answer is kept for the ledger.
	record bool
	// begun says that the header was passed on.
	begun       bool
	status      int
	contentType string
	// length is the announced length of the body, or -1.
	length        int64
	offset        int64
	firstToken    time.Duration
	isEventStream bool
	tokens        fleet.Cost
	// line holds the beginning of the line at the end of what arrived.
	linePrefix   []byte
	tail         []byte
	recordedBody []byte
	tooLarge     bool
	// held is the last part of an answer that waits to be recorded.
	heldBack []byte
}

// last says whether the part that was added last ends an answer of known length.
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

// lineKept is how much of a line is needed to recognise a data event.
const maxLinePrefix = len(streamEnd)

// count counts the data events, one for each token, except the one that ends the stream.
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

// whole says whether a body that ended as framed is complete.
func (a *responseState) isComplete() bool {
	if a.length >= 0 && a.offset != a.length {
		return false
	}
	if !a.isEventStream {
		return true
	}
	return strings.HasSuffix(strings.TrimRight(string(a.tail), "\r\n"), streamEnd)
}

// finish counts the tokens of an answer in one piece.
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

// recorded returns the answer as the ledger keeps it.
func (a *responseState) recordedAnswer() *fleet.RecordedAnswer {
	return &fleet.RecordedAnswer{Status: a.status, ContentType: a.contentType, Body: a.recordedBody, Truncated: a.tooLarge}
}
