// Package rollout defines the command group `rollout`, the commands about roll-outs.
package rollout

import (
	"github.com/fuchsiashed/fuchsiashed/cli/internal/command"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/factory"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/rollout/list"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/rollout/show"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/rollout/start"
)

// New returns the command group.
func New(f *factory.Factory) command.Group {
	return command.Group{
		Name:     "rollout",
		Short:    "Move a service to targets with another software version",
		Commands: []command.Command{list.New(f), show.New(f), start.New(f)},
	}
}
