// Package replica groups the verbs on the control replicas.
package replica

import (
	"github.com/fuchsiashed/fuchsiashed/cli/internal/command"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/factory"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/replica/replace"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/replica/status"
)

// New makes the noun.
func New(f *factory.Factory) command.Noun {
	return command.Noun{
		Name:  "control",
		Short: "Show and repair the control replicas",
		Verbs: []command.Verb{status.New(f), replace.New(f)},
	}
}
