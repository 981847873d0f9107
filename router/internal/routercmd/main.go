package routercmd

import (
	"go.uber.org/fx"

	"github.com/fuchsiashed/fuchsiashed/fleet/iostreams"
	"github.com/fuchsiashed/fuchsiashed/fleet/program"
)

const name = "fuchsiashed-router"

// Main runs the router with the command line's arguments and returns its exit code.
func Main(io *iostreams.IOStreams, args []string) int {
	var s Settings
	return program.Main(program.Spec{
		Name:     name,
		Summary:  "Takes the requests of callers and sends them to targets.",
		Example:  "  " + name + " --settings router.ini\n  " + name + " --settings router.ini --check\n",
		Settings: &s,
		Identity: func() program.Identity {
			return program.Identity{Host: s.Host.Host, DataCentre: s.Host.DataCentre}
		},
		Modules: func() fx.Option { return modules(s) },
	}, io, args)
}
