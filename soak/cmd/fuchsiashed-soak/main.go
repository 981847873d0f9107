// Command fuchsiashed-soak runs the real processes of a deployment on loopback, injects
// faults from outside, and checks what callers, targets and operators observe.
package main

import (
	"os"

	"github.com/fuchsiashed/fuchsiashed/fleet/iostreams"

	"github.com/fuchsiashed/fuchsiashed/soak/internal/soakcmd"
)

func main() {
	os.Exit(soakcmd.Main(iostreams.System(), os.Args[1:]))
}
