// Command fuchsiashed-dispatcher grants the slots of targets to queued requests.
package main

import (
	"os"

	"github.com/fuchsiashed/fuchsiashed/dispatcher/internal/dispatchercmd"
	"github.com/fuchsiashed/fuchsiashed/fleet/iostreams"
)

func main() {
	os.Exit(dispatchercmd.Main(iostreams.System(), os.Args[1:]))
}
