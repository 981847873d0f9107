// Command fuchsiashed-standin stands in for a target in tests and in the demo, and
// sends requests like a caller.
package main

import (
	"os"

	"github.com/fuchsiashed/fuchsiashed/fleet/iostreams"
	"github.com/fuchsiashed/fuchsiashed/standin/internal/app"
)

func main() {
	os.Exit(app.Main(iostreams.System(), os.Args[1:]))
}
