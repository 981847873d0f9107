package factory

import (
	"context"

	"github.com/fuchsiashed/fuchsiashed/cli/internal/command"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/control"
	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// ChangeFlags holds the flags of commands that change the configuration.
type ChangeFlags struct {
	Base      *uint64 `long:"base" value-name:"VERSION" description:"version that the change is based on (default: the one in force)"`
	Operation string  `long:"operation" value-name:"ID" description:"operation id of a change whose answer was lost, to repeat it; give the same --base, if any"`
}

// Change identifies a change and the version that it is based on.
type Change struct {
	Operation fleet.OperationID
	Base      fleet.Version
}

// PrepareChange returns the change that the flags describe. Without --operation it generates
// an operation id, and without --base it reads the version in force.
func (f *Factory) PrepareChange(ctx context.Context, c *control.Client, flags ChangeFlags) (Change, error) {
	ch := Change{Operation: fleet.OperationID(flags.Operation)}
	if ch.Operation == "" {
		op, err := f.NewOperation()
		if err != nil {
			return ch, err
		}
		ch.Operation = op
	}
	if err := fleet.CheckName("--operation", string(ch.Operation)); err != nil {
		return ch, command.FlagErrorf("%s", err)
	}
	if flags.Base != nil {
		ch.Base = fleet.Version(*flags.Base)
		return ch, nil
	}
	state, err := c.State(ctx)
	ch.Base = state.Version
	return ch, err
}
