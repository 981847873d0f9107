// Package answer computes the answers of the stand-in targets. An answer is a
// function of the request alone, so that a caller can check every byte of it.
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

// Bounds of the tokens in an answer to a request that does not set max_tokens.
const (
	minDefaultTokens = 8
	maxDefaultTokens = 40
)

// MaxTokens is the most tokens that a request may ask for.
const MaxTokens = 1_000_000

// Done is the last event of a stream.
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

// Prompt returns all messages as one text.
func (c Completion) Prompt() string {
	var b strings.Builder
	for _, m := range c.Messages {
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// Tokens returns the number of tokens in the answer.
func (c Completion) Tokens() int {
	if c.MaxTokens > 0 {
		return c.MaxTokens
	}
	sum := sha256.Sum256([]byte(c.Prompt()))
	return minDefaultTokens + int(sum[0])%(maxDefaultTokens-minDefaultTokens+1)
}

// Token returns the i-th token of the answer, counted from 0.
func (c Completion) Token(i int) string {
	sum := sha256.Sum256([]byte(c.Prompt()))
	n := binary.BigEndian.Uint64(sum[:8]) * uint64(2*i+1)
	return fmt.Sprintf("w%06x ", n>>40)
}

// Event returns the server-sent event of the i-th token.
func (c Completion) Event(i int) string {
	return fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", c.Token(i))
}

// StreamBody returns the whole body of the streamed answer.
func (c Completion) StreamBody() string {
	var b strings.Builder
	for i := range c.Tokens() {
		b.WriteString(c.Event(i))
	}
	b.WriteString(DoneEvent)
	return b.String()
}

// UnaryBody returns the whole body of the answer that is not streamed.
func (c Completion) UnaryBody() string {
	var b strings.Builder
	n := c.Tokens()
	for i := range n {
		b.WriteString(c.Token(i))
	}
	return fmt.Sprintf("{\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":%q}}],\"usage\":{\"completion_tokens\":%d}}\n", b.String(), n)
}

// Plain returns the answer of the plain service.
func PlainBody(method, path string, body []byte) string {
	return fmt.Sprintf("{\"Method\":%q,\"Path\":%q,\"Receipt\":%q}\n", method, path, ContentHash(method, path, body))
}

// ContentHash returns the hex SHA-256 of a request's method, path and body.
func ContentHash(method, path string, body []byte) string {
	h := sha256.New()
	fmt.Fprintf(h, "%s %s\n", method, path)
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// PoisonMarker is the text in a request that crashes every target which runs it.
const PoisonMarker = "POISON"
