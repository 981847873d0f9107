// Package hash implements the command `key hash`, which prints the hash of a customer's
// key.
package hash

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/cli/internal/command"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/factory"
)

// maxKey is the maximum length of a key in bytes.
const maxKey = 4096

// Options holds the flags, arguments and dependencies of the command.
type Options struct {
	Factory *factory.Factory `no-flag:"yes"`
}

// New returns the command.
func New(f *factory.Factory) command.Command {
	return command.Command{
		Name:    "hash",
		Short:   "Print the hash of a key",
		Long:    "Reads a bearer key from standard input and prints its KeyHash for the fleet text. A line end is not part of the key.",
		Example: "  fuchsiashed key hash < key.txt",
		Options: &Options{Factory: f},
	}
}

// Execute implements flags.Commander.
func (o *Options) Execute(args []string) error {
	if err := command.RejectArgs(args); err != nil {
		return err
	}
	return run(o)
}

func run(o *Options) error {
	raw, err := io.ReadAll(io.LimitReader(o.Factory.IO.In, maxKey+1))
	if err != nil {
		return errors.Wrap(err, "read key")
	}
	key := strings.TrimRight(string(raw), "\r\n")
	if key == "" || len(key) > maxKey {
		return command.FlagErrorf("the key has %d bytes; give 1 to %d on standard input", len(key), maxKey)
	}
	sum := sha256.Sum256([]byte(key))
	_, err = fmt.Fprintln(o.Factory.IO.Out, hex.EncodeToString(sum[:]))
	return errors.Wrap(err, "print")
}
