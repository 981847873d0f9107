package table

import (
	"fmt"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/iostreams"
)

// Rollouts prints a table of roll-outs.
func Rollouts(io *iostreams.IOStreams, list []fleet.Rollout) error {
	t := New(io, "service", "to", "state", "share", "number", "revision", "duration", "left")
	for _, r := range list {
		left := "-"
		if r.State == fleet.RolloutActive {
			left = r.Left.Round(100 * time.Millisecond).String()
		}
		t.Row(r.Service, r.To, r.State, fmt.Sprintf("%.3g", r.Share), r.Number, r.Revision, r.Duration, left)
	}
	return t.Print()
}
