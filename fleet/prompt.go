package fleet

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// PrefixBytes is the number of a prompt's leading bytes that its PrefixHash covers.
const PrefixBytes = 1024

// PromptPrefix returns the hash of the leading part of the messages in a chat completion
// request body, or 0 for any other body. Targets announce the same hashes for the prefixes
// in their caches.
func PromptPrefix(body []byte) PrefixHash {
	var c struct {
		Messages []struct {
			Role    string          `json:"role"`
			Content json.RawMessage `json:"content"`
		} `json:"messages"`
	}
	if json.Unmarshal(body, &c) != nil || len(c.Messages) == 0 {
		return 0
	}
	prompt := make([]byte, 0, PrefixBytes)
	for _, m := range c.Messages {
		prompt = append(append(prompt, m.Role...), m.Content...)
		if len(prompt) >= PrefixBytes {
			prompt = prompt[:PrefixBytes]
			break
		}
	}
	return PrefixHash(xxhash.Sum64(prompt))
}
