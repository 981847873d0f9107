// Command fuchsiashed-router takes the requests of callers and sends them to targets.
package main

import (
	"os"

	"github.com/fuchsiashed/fuchsiashed/fleet/iostreams"
	"github.com/fuchsiashed/fuchsiashed/router/internal/routercmd"
)

func main() {
	os.Exit(routercmd.Main(iostreams.System(), os.Args[1:]))
}
