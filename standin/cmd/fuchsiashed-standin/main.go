// Command fuchsiashed-standin simulates a target in tests, benchmarks and the demo. Its
// subcommands call and load send requests as a caller does.
package main

import (
	"os"

	"github.com/fuchsiashed/fuchsiashed/fleet/iostreams"
	"github.com/fuchsiashed/fuchsiashed/standin/internal/app"
)

func main() {
	os.Exit(app.Main(iostreams.System(), os.Args[1:]))
}
