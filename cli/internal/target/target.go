// Package target defines the command group `target`, the commands about targets.
package target

import (
	"github.com/fuchsiashed/fuchsiashed/cli/internal/command"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/factory"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/target/list"
)

// New returns the command group.
func New(f *factory.Factory) command.Group {
	return command.Group{
		Name:     "target",
		Short:    "Show targets",
		Commands: []command.Command{list.New(f)},
	}
}
