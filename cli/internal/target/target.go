// Package target groups the verbs on targets.
package target

import (
	"github.com/fuchsiashed/fuchsiashed/cli/internal/command"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/factory"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/target/list"
)

// New makes the noun.
func New(f *factory.Factory) command.Group {
	return command.Group{
		Name:     "target",
		Short:    "Show targets",
		Commands: []command.Command{list.New(f)},
	}
}
