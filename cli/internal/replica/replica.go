// Package replica defines the command group `control`, the commands about the control replicas.
package replica

import (
	"github.com/fuchsiashed/fuchsiashed/cli/internal/command"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/factory"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/replica/replace"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/replica/status"
)

// New returns the command group.
func New(f *factory.Factory) command.Group {
	return command.Group{
		Name:     "control",
		Short:    "Show and repair the control replicas",
		Commands: []command.Command{status.New(f), replace.New(f)},
	}
}
