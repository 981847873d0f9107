// Package fleet defines the command group `fleet`, the commands about the fleet text.
package fleet

import (
	"github.com/fuchsiashed/fuchsiashed/cli/internal/command"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/factory"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/fleet/apply"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/fleet/check"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/fleet/diff"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/fleet/history"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/fleet/show"
)

// New returns the command group.
func New(f *factory.Factory) command.Group {
	return command.Group{
		Name:     "fleet",
		Short:    "Change and show the fleet text",
		Commands: []command.Command{apply.New(f), check.New(f), diff.New(f), show.New(f), history.New(f)},
	}
}
