// Package customer defines the command group `customer`, the commands about customers.
package customer

import (
	"github.com/fuchsiashed/fuchsiashed/cli/internal/command"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/customer/list"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/factory"
)

// New returns the command group.
func New(f *factory.Factory) command.Group {
	return command.Group{
		Name:     "customer",
		Short:    "Show customers",
		Commands: []command.Command{list.New(f)},
	}
}
