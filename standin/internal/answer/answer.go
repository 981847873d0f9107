// Package answer computes the answers of stand-in targets. An answer depends on the
// request alone, so that a caller can check every byte of it.
package answer

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// Range of the number of tokens in an answer if the request doesn't set max_tokens.
const (
	minDefaultTokens = 8
	maxDefaultTokens = 40
)

// MaxTokens is the upper limit of max_tokens in a request.
const MaxTokens = 1_000_000

// DoneEvent is the last event of a stream.
const DoneEvent = "data: [DONE]\n\n"

// Message is one message of a chat completion request.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Completion is a chat completion request.
type Completion struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
}

// ParseCompletion decodes and checks a chat completion request.
func ParseCompletion(body []byte) (Completion, error) {
	var c Completion
	if err := json.Unmarshal(body, &c); err != nil {
		return c, errors.Wrap(err, "decode chat completion request")
	}
	if len(c.Messages) == 0 {
		return c, errors.New("chat completion request has no messages")
	}
	if c.MaxTokens < 0 || c.MaxTokens > MaxTokens {
		return c, errors.Errorf("max_tokens is %d; 0 to %d are allowed", c.MaxTokens, MaxTokens)
	}
	return c, nil
}

// Prompt returns the contents of all messages, each followed by a newline.
func (c Completion) Prompt() string {
	var b strings.Builder
	for _, m := range c.Messages {
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// Tokens returns the number of tokens in the answer: max_tokens, or a number derived from
// the prompt.
func (c Completion) Tokens() int {
	if c.MaxTokens > 0 {
		return c.MaxTokens
	}
	sum := sha256.Sum256([]byte(c.Prompt()))
	return minDefaultTokens + int(sum[0])%(maxDefaultTokens-minDefaultTokens+1)
}

// Token returns token i of the answer, from 0.
func (c Completion) Token(i int) string {
	sum := sha256.Sum256([]byte(c.Prompt()))
	n := binary.BigEndian.Uint64(sum[:8]) * uint64(2*i+1)
	return fmt.Sprintf("w%06x ", n>>40)
}

// Event returns the server-sent event for token i.
func (c Completion) Event(i int) string {
	return fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", c.Token(i))
}

// StreamBody returns the complete body of the answer with stream set.
func (c Completion) StreamBody() string {
	var b strings.Builder
	for i := range c.Tokens() {
		b.WriteString(c.Event(i))
	}
	b.WriteString(DoneEvent)
	return b.String()
}

// UnaryBody returns the complete body of the answer without stream set.
func (c Completion) UnaryBody() string {
	var b strings.Builder
	n := c.Tokens()
	for i := range n {
		b.WriteString(c.Token(i))
	}
	return fmt.Sprintf("{\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":%q}}],\"usage\":{\"completion_tokens\":%d}}\n", b.String(), n)
}

// PlainBody returns the body of the plain service's answer.
func PlainBody(method, path string, body []byte) string {
	return fmt.Sprintf("{\"Method\":%q,\"Path\":%q,\"Receipt\":%q}\n", method, path, ContentHash(method, path, body))
}

// ContentHash returns the SHA-256 of a request's method, path and body in hex.
func ContentHash(method, path string, body []byte) string {
	h := sha256.New()
	fmt.Fprintf(h, "%s %s\n", method, path)
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// PoisonMarker is a text in a request's body that crashes every target which executes it.
const PoisonMarker = "POISON"
