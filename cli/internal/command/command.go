// Package command describes the nouns and verbs of the command line and the errors
// with which they end.
package command

import (
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// Command is a command that does something.
type Command struct {
	Name  string
	Short string
	// Long explains the verb in a few sentences; Example shows command lines.
	Long    string
	Example string
	// Options is a pointer to the flags of the verb; it executes the verb.
	Options flags.Commander
}

// Group is a command that groups verbs.
type Group struct {
	Name     string
	Short    string
	Commands []Command
}

// commandAdder is a parser or a command, to which commands can be added.
type commandAdder interface {
	AddCommand(name, short, long string, data any) (*flags.Command, error)
}

// AddTo adds the verb to a parser or noun.
func (c Command) AddTo(parent commandAdder) error {
	_, err := parent.AddCommand(c.Name, c.Short, c.Long+"\n\nExamples:\n"+c.Example, c.Options)
	return errors.Wrapf(err, "add command %s", c.Name)
}

// AddTo adds the noun with its verbs to a parser.
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

// RejectArgs returns an error unless args, which no flag or argument took, is empty.
func RejectArgs(args []string) error {
	if len(args) > 0 {
		return FlagErrorf("argument %q is unknown; see --help", args[0])
	}
	return nil
}
