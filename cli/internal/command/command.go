// Package command defines the commands of the command line, their groups, and the errors
// that they return.
package command

import (
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// Command is a command that can be executed.
type Command struct {
	Name string
	// Short is the line that the help of the parent shows.
	Short string
	// Long explains the command in a few sentences.
	Long string
	// Example shows one or more command lines, each on a line of its own.
	Example string
	// Options is a pointer to the struct of the command's flags; its Execute runs the command.
	Options flags.Commander
}

// Group is a command that only has subcommands, such as `fleet`.
type Group struct {
	Name     string
	Short    string
	Commands []Command
}

// commandAdder is a parser or a command, both of which can have subcommands.
type commandAdder interface {
	AddCommand(name, short, long string, data any) (*flags.Command, error)
}

// AddTo adds the command to a parser or group.
func (c Command) AddTo(parent commandAdder) error {
	_, err := parent.AddCommand(c.Name, c.Short, c.Long+"\n\nExamples:\n"+c.Example, c.Options)
	return errors.Wrapf(err, "add command %s", c.Name)
}

// AddTo adds the group and its commands to a parser.
func (g Group) AddTo(parent commandAdder) error {
	cmd, err := parent.AddCommand(g.Name, g.Short, g.Short, &struct{}{})
	if err != nil {
		return errors.Wrapf(err, "add command %s", g.Name)
	}
	for _, c := range g.Commands {
		if err := c.AddTo(cmd); err != nil {
			return err
		}
	}
	return nil
}

// RejectArgs returns a FlagError if args, the arguments left over by the parser, is not
// empty.
func RejectArgs(args []string) error {
	if len(args) > 0 {
		return FlagErrorf("argument %q is unknown; see --help", args[0])
	}
	return nil
}
