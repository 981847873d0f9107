package routing

import (
	"flag"
	"os"
	"testing"

	"github.com/fuchsiashed/fuchsiashed/fleet/invariant"
)

// setDefault sets a flag of rapid unless the command line set it; unset is the flag's own
// default.
func setDefault(name, unset, value string) {
	f := flag.Lookup(name)
	if f == nil || f.Value.String() != unset {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

func TestMain(m *testing.M) {
	flag.Parse()
	setDefault("rapid.nofailfile", "false", "true")
	setDefault("rapid.seed", "0", "20261204")
	setDefault("rapid.checks", "100", "300")
	invariant.PanicOnViolation(true)
	os.Exit(m.Run())
}
