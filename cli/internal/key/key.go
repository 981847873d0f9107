// Package key defines the command group `key`, the commands about customers' keys.
package key

import (
	"github.com/fuchsiashed/fuchsiashed/cli/internal/command"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/factory"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/key/hash"
)

// New returns the command group.
func New(f *factory.Factory) command.Group {
	return command.Group{
		Name:     "key",
		Short:    "Prepare keys for the fleet text",
		Commands: []command.Command{hash.New(f)},
	}
}
