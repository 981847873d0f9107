// Package command describes the nouns and verbs of the command line and the errors
// with which they end.
package command

import (
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// Verb is a command that does something.
type Verb struct {
	Name  string
	Short string
	// Long explains the verb in a few sentences; Example shows command lines.
	Long    string
	Example string
	// Options is a pointer to the flags of the verb; it executes the verb.
	Options flags.Commander
}

// Noun is a command that groups verbs.
type Noun struct {
	Name  string
	Short string
	Verbs []Verb
}

// adder is a parser or a command, to which commands can be added.
type adder interface {
	AddCommand(name, short, long string, data any) (*flags.Command, error)
}

// AddTo adds the verb to a parser or noun.
func (v Verb) AddTo(to adder) error {
	_, err := to.AddCommand(v.Name, v.Short, v.Long+"\n\nExamples:\n"+v.Example, v.Options)
	return errors.Wrapf(err, "add command %s", v.Name)
}

// AddTo adds the noun with its verbs to a parser.
func (n Noun) AddTo(to adder) error {
	cmd, err := to.AddCommand(n.Name, n.Short, n.Short, &struct{}{})
	if err != nil {
		return errors.Wrapf(err, "add command %s", n.Name)
	}
	for _, v := range n.Verbs {
		if err := v.AddTo(cmd); err != nil {
			return err
		}
	}
	return nil
}

// NoMore returns an error unless args, which no flag or argument took, is empty.
func NoMore(args []string) error {
	if len(args) > 0 {
		return FlagErrorf("argument %q is unknown; see --help", args[0])
	}
	return nil
}
