// Command fuchsiashed-control runs one control replica.
package main

import (
	"os"

	"github.com/fuchsiashed/fuchsiashed/control/internal/controlcmd"
	"github.com/fuchsiashed/fuchsiashed/fleet/iostreams"
)

func main() {
	os.Exit(controlcmd.Main(iostreams.System(), os.Args[1:]))
}
