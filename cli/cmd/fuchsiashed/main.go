// Command fuchsiashed is the operators' command line of the router fleet.
package main

import (
	"os"

	"github.com/fuchsiashed/fuchsiashed/cli/internal/root"
	"github.com/fuchsiashed/fuchsiashed/fleet/iostreams"
)

func main() {
	os.Exit(root.Main(iostreams.System(), os.Args[1:]))
}
