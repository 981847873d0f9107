// Package key groups the verbs on customers' keys.
package key

import (
	"github.com/fuchsiashed/fuchsiashed/cli/internal/command"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/factory"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/key/hash"
)

// New makes the noun.
func New(f *factory.Factory) command.Noun {
	return command.Noun{
		Name:  "key",
		Short: "Prepare keys for the fleet text",
		Verbs: []command.Verb{hash.New(f)},
	}
}
