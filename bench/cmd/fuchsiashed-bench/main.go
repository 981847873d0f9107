// Command fuchsiashed-bench measures the dispatcher's decisions in a simulated fleet, and
// the processes of a running one.
package main

import (
	"os"

	"github.com/fuchsiashed/fuchsiashed/bench/internal/benchcmd"
	"github.com/fuchsiashed/fuchsiashed/fleet/iostreams"
)

func main() {
	os.Exit(benchcmd.Main(iostreams.System(), os.Args[1:]))
}
