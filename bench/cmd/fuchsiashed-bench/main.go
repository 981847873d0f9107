// Command fuchsiashed-bench measures the decisions and processes of a fleet.
package main

import (
	"os"

	"github.com/fuchsiashed/fuchsiashed/bench/internal/benchcmd"
	"github.com/fuchsiashed/fuchsiashed/fleet/iostreams"
)

func main() {
	os.Exit(benchcmd.Main(iostreams.System(), os.Args[1:]))
}
