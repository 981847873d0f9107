// Package customer groups the verbs on customers.
package customer

import (
	"github.com/fuchsiashed/fuchsiashed/cli/internal/command"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/customer/list"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/factory"
)

// New makes the noun.
func New(f *factory.Factory) command.Noun {
	return command.Noun{
		Name:  "customer",
		Short: "Show customers",
		Verbs: []command.Verb{list.New(f)},
	}
}
