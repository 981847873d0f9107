// Package change takes data centres out of service and brings them back, for the commands
// `datacentre out` and `datacentre in`.
package change

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/cli/internal/control"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/factory"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/table"
	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Change is a change of the state of a data centre.
type Change struct {
	Name fleet.DataCentreName
	// Out reports whether the data centre is taken out of service; else it is brought back.
	Out   bool
	Flags factory.ChangeFlags
}

// Run proposes the change to control and prints the result.
func Run(ctx context.Context, f *factory.Factory, ch Change) error {
	c, err := f.Control()
	if err != nil {
		return err
	}
	change, err := f.PrepareChange(ctx, c, ch.Flags)
	if err != nil {
		return err
	}
	reply, err := c.DataCentre(ctx, fleet.DataCentreRequest{
		Operation: change.Operation, Base: change.Base, DataCentre: ch.Name, Out: ch.Out, Operator: f.Operator(),
	})
	if err != nil {
		return err
	}
	if err := control.ChangeError(reply, fmt.Sprintf("fuchsiashed datacentre %s %s", ch.commandName(), ch.Name)); err != nil {
		return err
	}
	if f.Globals.JSON {
		return table.JSON(f.IO, reply)
	}
	_, err = fmt.Fprintf(f.IO.Out, "data centre %s is %s as of version %d\n", ch.Name, ch.state(), reply.Version)
	return errors.Wrap(err, "print")
}

// commandName returns the name of the command that makes the change.
func (ch Change) commandName() string {
	if ch.Out {
		return "out"
	}
	return "in"
}

// state describes the state of the data centre after the change.
func (ch Change) state() string {
	if ch.Out {
		return "out of service"
	}
	return "in service"
}
