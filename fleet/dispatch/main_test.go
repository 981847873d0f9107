package dispatch

import (
	"flag"
	"os"
	"testing"

	// The flags set below are those of rapid.
	_ "pgregory.net/rapid"

	"github.com/fuchsiashed/fuchsiashed/fleet/invariant"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true", "rapid.shrinktime": "1s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	invariant.PanicOnViolation(true)
	os.Exit(m.Run())
}
