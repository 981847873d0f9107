// Package datacentre defines the command group `datacentre`, the commands about data centres.
package datacentre

import (
	"github.com/fuchsiashed/fuchsiashed/cli/internal/command"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/datacentre/in"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/datacentre/list"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/datacentre/out"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/factory"
)

// New returns the command group.
func New(f *factory.Factory) command.Group {
	return command.Group{
		Name:     "datacentre",
		Short:    "Take data centres out of service and bring them back",
		Commands: []command.Command{out.New(f), in.New(f), list.New(f)},
	}
}
