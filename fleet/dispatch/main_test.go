package dispatch

import (
	"flag"
	"os"
	"testing"

	// The flags set below are those of rapid.
	_ "pgregory.net/rapid"

	"github.com/fuchsiashed/fuchsiashed/fleet/invariant"
)

// TestMain fixes the seed of randomised tests unless the command line gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "15", "rapid.nofailfile": "true", "rapid.shrinktime": "1s"} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	invariant.PanicOnViolation(true)
	os.Exit(m.Run())
}
